package fakeserver

import (
	"bytes"
	"sync"
)

// Output records what is written to it, by several goroutines or by a process. It may be read
// at any time.
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

// String returns what has been written so far.
func (o *Output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buffer.String()
}
