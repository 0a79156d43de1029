package soak

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	maxBodyBytes     = 48_000
	shortFieldsBytes = 16_000  // size of a head of short fields
	trailerBytes     = 380_000 // size of trailers
	slowWritePause   = 100 * time.Millisecond
	slowWriteBytes   = 2_000
	redialPause      = 20 * time.Millisecond
)

// Picture is a way in which a client misbehaves. Its function plays one connection. It returns at the
// end of the connection or of ctx.
type Picture struct {
	Name string
	play func(ctx context.Context, connection *client)
}

// MemoryPictures are the pictures of clients that make the router hold memory.
var MemoryPictures = []Picture{
	{"silent", func(context.Context, *client) {}},
	{"half-head", playText(func() string {
		return "GET /v1/part/00000000000000a1 HTTP/1.1\r\nHost: x\r\nX-Filler: " + strings.Repeat("f", 15_000)
	})},
	{"short-fields", playText(func() string { return newRead(0).fields(shortFieldsBytes) })},
	{"half-short-fields", playText(func() string { return strings.TrimSuffix(newRead(0).fields(shortFieldsBytes), "\r\n\r\n") })},
	{"half-body", playText(func() string { return newRead(0).head(maxBodyBytes) + strings.Repeat("b", maxBodyBytes-1) })},
	{"slow-body", playSlowBody},
	{"half-chunks", playText(func() string { return chunkedHead() + halfChunks })},
	{"trailers", playText(func() string { return chunkedHead() + "1\r\nc\r\n0\r\n" + shortFields(trailerBytes) })},
	{"read-nothing", playText(func() string { return newRead(LargeObject).text() })},
	{"read-ahead", playText(func() string {
		return newRead(LargeObject).text() + strings.Repeat(newRead(LargeObject).text(), 400)
	})},
}

// halfChunks is a body of the smallest chunks that is not complete.
var halfChunks = strings.Repeat("1\r\nc\r\n", maxBodyBytes-1)

// newRead returns a read of an object of the given kind.
func newRead(kind uint64) request {
	return request{id: newID(), object: newObject(kind), timeout: 60 * time.Second}
}

// fields returns the request with short header fields of the given size.
func (r request) fields(size int) string {
	r.header = shortFields(size)
	return r.text()
}

// shortFieldLines are header lines with different short names and no values.
var shortFieldLines = func() string {
	var lines strings.Builder
	for i := 0; lines.Len() < trailerBytes; i++ {
		fmt.Fprintf(&lines, "%x:\r\n", i)
	}
	return lines.String()
}()

// shortFields returns whole lines of shortFieldLines of about the given size.
func shortFields(size int) string {
	return shortFieldLines[:strings.LastIndexByte(shortFieldLines[:size], '\n')+1]
}

// chunkedHead returns the head of a write with a chunked body.
func chunkedHead() string {
	head := request{id: newID(), object: newObject(0), timeout: 60 * time.Second}
	return strings.Replace(head.head(1), "Content-Length: 1\r\n", "Transfer-Encoding: chunked\r\n", 1)
}

// playText writes a text and then neither reads nor writes.
func playText(text func() string) func(context.Context, *client) {
	return func(_ context.Context, connection *client) { _ = connection.write(text()) }
}

// playSlowBody writes a large body slowly, and stops before its end.
func playSlowBody(ctx context.Context, connection *client) {
	if connection.write(newRead(0).head(maxBodyBytes)) != nil {
		return
	}
	for sent := 0; sent+slowWriteBytes < maxBodyBytes && pause(ctx, slowWritePause); sent += slowWriteBytes {
		if connection.write(strings.Repeat("s", slowWriteBytes)) != nil {
			return
		}
	}
}

// pause waits. It returns false if ctx has ended.
func pause(ctx context.Context, duration time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(duration):
		return true
	}
}

// playing is a number of connections that play pictures again and again.
type playing struct {
	cancel  context.CancelFunc
	clients sync.WaitGroup
}

// startPlaying starts connections to addr. Connection i plays the picture i modulo their number.
func startPlaying(addr string, connections int, pictures []Picture) *playing {
	ctx, cancel := context.WithCancel(context.Background())
	started := &playing{cancel: cancel}
	for i := range connections {
		started.clients.Go(func() { pictures[i%len(pictures)].repeat(ctx, addr) })
	}
	return started
}

// stop ends the connections.
func (p *playing) stop() {
	p.cancel()
	p.clients.Wait()
}

// repeat plays the picture on one connection after another until ctx ends.
func (p Picture) repeat(ctx context.Context, addr string) {
	for pause(ctx, redialPause) {
		connection, err := dial(addr)
		if err != nil {
			continue
		}
		closeAtEnd := context.AfterFunc(ctx, connection.reset)
		_ = connection.SetWriteDeadline(time.Now().Add(5 * time.Second))
		p.play(ctx, connection)
		connection.waitClosed(ctx)
		closeAtEnd()
		connection.close()
	}
}

// waitClosed waits until the router has closed the connection, without reading what it has sent.
func (c *client) waitClosed(ctx context.Context) {
	for pause(ctx, 50*time.Millisecond) {
		if c.peerClosed() {
			return
		}
	}
}
