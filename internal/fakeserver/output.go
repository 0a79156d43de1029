package fakeserver

import (
	"bytes"
	"sync"
)

// Output keeps what is written to it, by several goroutines or a process, and tells what
// there is so far.
type Output struct {
	mu sync.Mutex
	buffer  bytes.Buffer
}

// Write keeps p.
func (o *Output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buffer.Write(p)
}

// String returns what has been written.
func (o *Output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buffer.String()
}
