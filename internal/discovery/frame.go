package discovery

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"net/netip"

	"garnetline/internal/platformconfig"
	"garnetline/internal/textconn"
	"garnetline/routing"
)

// ErrMalformedFrame reports a frame that cannot be used.
var ErrMalformedFrame = errors.New("change log: broken frame")

// frameResult is a frame that a connection brought, or how it ended.
type frameResult struct {
	event platformconfig.WatchEvent
	kind  byte
	err   error
}

// readFrame reads one frame.
func readFrame(k *textconn.Conn, zones, kinds int) (platformconfig.WatchEvent, byte, error) {
	k.LimitRead(4 + maxFrameLength)
	head, err := k.ReadBody(4)
	if err != nil {
		return platformconfig.WatchEvent{}, 0, err
	}
	n := binary.BigEndian.Uint32(head)
	if n < headerLength || n > maxFrameLength {
		return platformconfig.WatchEvent{}, 0, fmt.Errorf("%w: length %d", ErrMalformedFrame, n)
	}
	b, err := k.ReadBody(int(n))
	if err != nil {
		return platformconfig.WatchEvent{}, 0, err
	}
	ev, err := parseFrame(b, zones, kinds)
	kind := b[8]
	k.ShrinkReadBuffer()
	return ev, kind, err
}

// parseFrame reads what follows the length of a frame.
func parseFrame(b []byte, zones, kinds int) (platformconfig.WatchEvent, error) {
	u := binary.BigEndian
	ev := platformconfig.WatchEvent{Seq: u.Uint64(b)}
	kind, b := b[8], b[headerLength:]
	switch kind {
	case 0:
	case 1, 2:
		ev.ListUpdate, ev.Snapshot = true, kind == 1
		if len(b)%recordLength != 0 {
			return ev, fmt.Errorf("%w: %d bytes of records", ErrMalformedFrame, len(b))
		}
		for ; len(b) > 0; b = b[recordLength:] {
			if b[10] > 2 || int(b[11]) >= zones || int(b[12]) >= kinds {
				return ev, fmt.Errorf("%w: state %d, zone %d, kind %d", ErrMalformedFrame, b[10], b[11], b[12])
			}
			born := u.Uint64(b[19:])
			if born > math.MaxInt64/1_000_000 {
				return ev, fmt.Errorf("%w: started %d", ErrMalformedFrame, born)
			}
			ev.Endpoints = append(ev.Endpoints, platformconfig.Endpoint{
				Server: routing.Server{ID: routing.ServerID(u.Uint32(b)), Zone: int(b[11]), Kind: int(b[12]),
					Cell: int(u.Uint16(b[13:])), Weight: float64(u.Uint32(b[15:])) / 1000, StartedAt: platformconfig.StartTime(float64(born)),
					Phase: [...]routing.Phase{routing.Ready, routing.Draining, routing.Removed}[b[10]]},
				Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[4:8])), u.Uint16(b[8:])),
			})
		}
	case 3:
		if len(b) != 16 {
			return ev, fmt.Errorf("%w: %d bytes for an object", ErrMalformedFrame, len(b))
		}
		// Object 0 is no object to the module, and no front lets it in.
		if o := u.Uint64(b); o != 0 {
			ev.Purge = &platformconfig.Purge{Object: routing.ObjectID(o), At: float64(u.Uint64(b[8:]))}
		}
	case 4:
		if len(b) != 10 {
			return ev, fmt.Errorf("%w: %d bytes for a group", ErrMalformedFrame, len(b))
		}
		ev.Purge = &platformconfig.Purge{Group: int(u.Uint16(b)), At: float64(u.Uint64(b[2:]))}
	default:
		return ev, fmt.Errorf("%w: kind %d", ErrMalformedFrame, kind)
	}
	return ev, nil
}
