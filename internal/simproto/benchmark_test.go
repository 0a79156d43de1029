package simproto

import (
	"bytes"
	"io"
	"os"
	"path/filepath"
	"testing"
	"time"

	"garnetline/routing"
)

// invalidBatch is the first line of the last batch in testdata/session.txt. The batch has an invalid
// line.
const invalidBatch = "TURN 8412252\n"

// readSession returns the valid batches of testdata/session.txt and their number.
func readSession(tb testing.TB) ([]byte, int) {
	tb.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", "session.txt"))
	if err != nil {
		tb.Fatal(err)
	}
	session, _, found := bytes.Cut(text, []byte(invalidBatch))
	if !found {
		tb.Fatalf("session.txt does not contain the batch start %q", invalidBatch)
	}
	return session, bytes.Count(session, []byte("TURN "))
}

// repeatedInput is an endless reader that repeats the same text.
type repeatedInput struct {
	text []byte
	read int // bytes of the current repetition that were read
}

func (r *repeatedInput) Read(p []byte) (int, error) {
	n := copy(p, r.text[r.read:])
	r.read = (r.read + n) % len(r.text)
	return n, nil
}

// benchmarkReader measures reading text, which holds the given number of batches.
func benchmarkReader(b *testing.B, text []byte, batches int) {
	b.Helper()
	reader := NewReader(&repeatedInput{text: text})
	b.SetBytes(int64(len(text)))
	b.ReportAllocs()
	for b.Loop() {
		for range batches {
			if _, err := reader.Next(); err != nil {
				b.Fatal(err)
			}
		}
	}
}

// BenchmarkReaderNext reads a session that contains every message. Parsing settings takes most of
// the time.
func BenchmarkReaderNext(b *testing.B) {
	session, batches := readSession(b)
	benchmarkReader(b, session, batches)
}

// BenchmarkReaderNextEvents reads a batch of 100 requests with their outcomes. Most batches hold
// only such events.
func BenchmarkReaderNextEvents(b *testing.B) {
	text := []byte("TURN 8412250\nSELECT 3\n")
	for range 100 {
		text = append(text, "INGRESS 3184874432926148 11 240000 3 0 3 91f03b7c55d20a64 640.5 0\n"...)
		text = append(text, "VERDICT 3184874432926148 served 51530247 9400 3 18500 2 1 -\n"...)
	}
	benchmarkReader(b, append(text, "END\n"...), 1)
}

// BenchmarkAppendAction writes one action of each kind.
func BenchmarkAppendAction(b *testing.B) {
	actions := []routing.Action{
		routing.SendAttempt{ID: 1<<52 - 1, Server: 1<<32 - 1, FillSource: 7, CopyRank: 3, Deadline: 9 * time.Second, JoinFill: true},
		routing.Reject{ID: 5, RetryAfter: 250 * time.Millisecond},
		routing.Fail{ID: 6},
		routing.CancelAttempt{ID: 7, Attempt: 2},
		routing.SetTimer{Delay: 500 * time.Millisecond, Token: 1 << 63},
		routing.Subscribe{},
	}
	var reply []byte
	b.ReportAllocs()
	for b.Loop() {
		reply = reply[:0]
		for _, action := range actions {
			reply = AppendAction(reply, action)
		}
	}
	if _, err := io.Discard.Write(reply); err != nil {
		b.Fatal(err)
	}
}
