package httpfront

import (
	"cmp"
	"context"
	"slices"
	"time"
)

const (
	// reclaimBytes is how much memory one round of evictions frees.
	reclaimBytes = 1 << 20

	// reclaimInterval is the time between two rounds. Evicted connections need it to release their
	// memory.
	reclaimInterval = 5 * time.Millisecond

	// sendStalledAfter is the time without progress after which a client that sends a request may be
	// evicted to free memory.
	sendStalledAfter = 50 * time.Millisecond
	// readStalledAfter is the same for a client that receives a response. It is longer, because that
	// request has been executed, and because the system reports progress only after a part of its buffer
	// has become free.
	readStalledAfter = 1000 * time.Millisecond

	// slowAfterMs is the time after which a client that still sends the same request may be evicted to
	// free memory although it makes progress.
	slowAfterMs = 1000.0
)

// evictionRank is the order in which connections are evicted to free memory.
type evictionRank int

const (
	rankFinished evictionRank = iota // the last response was written
	rankUnused                       // no byte of a first request has come for newConnGraceMs
	rankStalled                      // the client does not send the rest of its request
	rankIdle
	rankSlow   // the client still sends the same request
	rankUnread // the client does not read its response
	rankNone   // the connection may not be evicted
)

// ReclaimMemory evicts connections when the memory budget is exhausted, until ctx is done.
func (s *Server) ReclaimMemory(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.Memory.Pressure():
			s.evictForMemory()
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(reclaimInterval):
		}
	}
}

// memoryVictim is a connection that may be evicted to free memory.
type memoryVictim struct {
	conn *conn
	rank evictionRank
	held int64 // bytes
}

// evictForMemory evicts the connections that come first in the order of evictionRank, and among those
// of the same rank the ones that hold most, until reclaimBytes are freed.
func (s *Server) evictForMemory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	var victims []memoryVictim
	for c := range s.conns {
		if rank := c.memoryRank(); rank != rankNone {
			victims = append(victims, memoryVictim{conn: c, rank: rank, held: connectionBytes + c.held.Load()})
		}
	}
	slices.SortFunc(victims, func(a, b memoryVictim) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(b.held, a.held))
	})
	freed := int64(0)
	for _, victim := range victims {
		if freed >= reclaimBytes {
			return
		}
		freed += victim.held
		victim.conn.evictForMemory()
	}
}

// memoryRank returns the rank of the connection. The caller holds Server.mu.
func (c *conn) memoryRank() evictionRank {
	stalled := c.text.Stalled()
	switch {
	case c.evictedForMemory:
		return rankNone
	case c.state == stateRejected:
		return rankFinished
	case c.state == stateActive, c.state == statePaused:
		if (c.writing || c.state == statePaused) && stalled >= readStalledAfter {
			return rankUnread
		}
		return rankNone
	case c.receiving && stalled >= sendStalledAfter && !c.text.HasUnread():
		return rankStalled
	case c.receiving && c.server.Clock.Now()-c.receivingSince >= slowAfterMs:
		return rankSlow
	case c.receiving:
		return rankNone
	case c.state == stateNew && c.evictable():
		return rankUnused
	case c.state == stateIdle:
		return rankIdle
	}
	return rankNone
}

// evictForMemory makes the pending read or write of the connection fail. The caller holds Server.mu.
func (c *conn) evictForMemory() {
	c.server.Metrics.Add("connections_evicted_memory", 1)
	c.evicted = true
	c.evictedForMemory = true
	if c.writing {
		_ = c.text.NetConn.SetWriteDeadline(time.Now()) // the write that is pending fails, or the next one
		return
	}
	c.setReadTimeout(0)
}
