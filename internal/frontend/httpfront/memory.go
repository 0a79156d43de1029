package httpfront

import (
	"time"

	"garnetline/internal/memorybudget"
)

// Memory that the server reserves before it holds something, in bytes.
const (
	connectionBytes = 14 << 10 // goroutine and buffers of a connection without a request
	requestBytes    = 6 << 10  // a request with a short head, and the goroutine that reads ahead
)

// memoryPatience is how long a request waits for memory before it is rejected. Meanwhile, the server
// evicts connections that hold memory and make no progress.
const memoryPatience = 200 * time.Millisecond

// reserve reserves memory of the connection's current request. The error is a *requestError.
func (c *conn) reserve(account memorybudget.Account, bytes int64) error {
	c.text.LeaveGate()
	if c.memory.Grow(account, bytes, memoryPatience) != nil {
		return errOutOfMemory
	}
	c.held.Add(bytes)
	return nil
}

// reserveBody reserves memory for more bytes of a request's body.
func (c *conn) reserveBody(bytes int) error { return c.reserve(memorybudget.Bodies, int64(bytes)) }

// reserveReadAhead reserves memory for more bytes that follow the open request.
func (c *conn) reserveReadAhead(bytes int) error {
	if err := c.readAheadMemory.Grow(memorybudget.ReadAhead, int64(bytes), 0); err != nil {
		return err
	}
	c.held.Add(int64(bytes))
	return nil
}

// reserveLongLine reserves memory for the rest of a head that has a line longer than the read buffer.
func (c *conn) reserveLongLine() error {
	if c.memory.Bytes(memorybudget.Requests) > requestBytes {
		return nil // reserved for an earlier line of the head
	}
	return c.reserve(memorybudget.Requests, maxHeaderBytes)
}

// releaseRequest releases the memory of the last request.
func (c *conn) releaseRequest() {
	c.memory.Release()
	if !c.text.HasReadAhead() {
		c.readAheadMemory.Release()
	}
	c.held.Store(c.readAheadMemory.Bytes(memorybudget.ReadAhead))
}

// releaseAll releases all memory of a connection that has ended.
func (c *conn) releaseAll() {
	c.memory.Release()
	c.readAheadMemory.Release()
	c.server.Memory.Release(memorybudget.Connections, connectionBytes)
}

// isEvicted reports whether the server evicted the connection.
func (c *conn) isEvicted() bool {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	return c.evicted
}

// isEvictedForMemory reports whether the server evicted the connection because of the memory that it
// held.
func (c *conn) isEvictedForMemory() bool {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	return c.evictedForMemory
}
