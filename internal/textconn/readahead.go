package textconn

import (
	"slices"
	"syscall"
	"time"
)

const (
	readAheadStep = 4 << 10   // by which what is read ahead grows at first
	maxDiscarded  = 128 << 20 // bytes dropped by one Watch, after which it looks no longer
)

// ReadAhead reads ahead until the connection ends or its read deadline passes, and returns
// why. Up to most bytes wait for textproto, the rest is dropped. Nobody else may read
// meanwhile; came is called for each piece.
//
// Symptom guarded against: one byte more than a request hid it for good that the client
// had left, and what nobody wanted any more was sent on.
func (k *Conn) ReadAhead(most int, came func()) error {
	var one [1]byte // an idle watch needs no buffer
	var drop []byte
	for dropped := 0; dropped < maxDiscarded; {
		b := one[:]
		if n := len(k.readAhead); n > 0 && n < most {
			k.readAhead = slices.Grow(k.readAhead, min(max(n, readAheadStep), most-n))
			b = k.readAhead[n:min(cap(k.readAhead), most)]
		} else if n > 0 {
			if drop == nil {
				drop = make([]byte, readAheadStep)
			}
			b = drop
		}
		n, err := k.NetConn.Read(b)
		switch {
		case len(k.readAhead) >= most && n > 0:
			dropped += n
			k.discarded.Store(true)
		case n > 0:
			k.readAhead = append(k.readAhead, b[:n]...)
		}
		if n > 0 {
			came()
		}
		if err != nil {
			return err
		}
	}
	return ErrMessageTooLong
}

// Discarded tells whether Watch dropped bytes: what follows on the connection cannot be read.
func (k *Conn) Discarded() bool { return k.discarded.Load() }

// BeginMessage begins a message; Fresh tells whether any byte of it came from the socket since,
// and not from what had been read before.
func (k *Conn) BeginMessage()       { k.receivedBytes = false }
func (k *Conn) ReceivedBytes() bool { return k.receivedBytes }

// Readable tells whether something waits to be read, without waiting for it. It takes the read
// deadline away.
//
// Symptom guarded against: a read whose deadline has passed does not look at the socket
// at all, and a request that lay there whole was closed unread.
func (k *Conn) Readable() bool {
	if k.R.Buffered() > 0 || len(k.readAhead) > 0 {
		return true
	}
	sc, ok := k.NetConn.(syscall.Conn)
	if !ok || k.NetConn.SetReadDeadline(time.Time{}) != nil {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	b, n := make([]byte, readAheadStep), 0
	if raw.Read(func(fd uintptr) bool {
		n, err = syscall.Read(int(fd), b)
		return true // it does not wait
	}) != nil || err != nil || n <= 0 {
		return false
	}
	k.readAhead, k.receivedBytes = b[:n], true
	return true
}
