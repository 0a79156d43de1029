package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"time"
)

const (
	pipelineDepth = 50
	loudTimeout   = 5 * time.Second
)

// LoudPictures are clients that send small requests on one connection at full speed.
var LoudPictures = []Picture{
	{"unsound pipelined", playLoud(pipelineDepth, unsoundRequest)},
	{"unsound one by one", playLoud(1, unsoundRequest)},
	{"sound pipelined", playLoud(pipelineDepth, func() string { return newRead(0).text() })},
	{"sound one by one", playLoud(1, func() string { return newRead(0).text() })},
	{"writes one by one", playLoud(1, func() string {
		return request{id: newID(), object: newObject(0), timeout: loudTimeout, body: "w"}.text()
	})},
	{"new names", playLoud(pipelineDepth, requestOfNewNames)},
	{"garbage", playGarbage},
}

// unsoundRequest returns a request that the router answers without an attempt and without closing the
// connection.
func unsoundRequest() string {
	return strings.Replace(newRead(0).text(), "/v1/part/", fmt.Sprintf("/v1/class%x/", rand.Uint32()), 1)
}

// requestOfNewNames returns a sound read in which each name that a client can choose is new.
func requestOfNewNames() string {
	asked := newRead(0)
	name := rand.Uint64()
	asked.header = fmt.Sprintf("X-Family: %d\r\nX-Working-Set-Kb: %d\r\nX-Txn-Key: k%x\r\nIf-None-Match: \"%x\"\r\nX-%x: %x\r\nTraceparent: 00-%032x-%016x-01\r\n",
		name%256, name%1000, name, name, name, name, name, name|1)
	return strings.Replace(asked.text(), "?block=0", fmt.Sprintf("?block=%d&n%x=1", name%(1<<30), name), 1)
}

// playLoud sends requests and reads their responses. At most depth requests wait for a response.
func playLoud(depth int, next func() string) func(context.Context, *client) {
	return func(ctx context.Context, connection *client) {
		for ctx.Err() == nil {
			_ = connection.SetDeadline(time.Now().Add(loudTimeout))
			var text strings.Builder
			for range depth {
				text.WriteString(next())
			}
			if connection.write(text.String()) != nil {
				return
			}
			for range depth {
				if _, err := connection.read(); err != nil {
					return
				}
			}
		}
	}
}

// playGarbage sends bytes that are no request, and discards what comes back.
func playGarbage(_ context.Context, connection *client) {
	go func() { _, _ = io.Copy(io.Discard, connection) }()
	for connection.write(strings.Repeat("\x16garbage\x00", 100)+"\r\n\r\n") == nil {
	}
}
