package fakeserver

import (
	"bytes"
	"sync"
)

// Output records the data that goroutines or processes write to it. It is safe for concurrent use.
type Output struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

// Write records p. It never fails.
func (o *Output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buffer.Write(p)
}

// String returns all data written so far.
func (o *Output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buffer.String()
}
