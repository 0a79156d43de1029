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

// ErrMalformedFrame reports a frame that cannot be decoded.
var ErrMalformedFrame = errors.New("discovery: malformed frame")

// A frame is its length (4 bytes, which count all that follows), the number of the event
// (8), its kind (1) and a payload. All numbers are big-endian.
const (
	lengthSize     = 4
	headerSize     = 8 + 1
	maxFrameLength = headerSize + recordSize*(8<<10) // a list longer than that of any fleet
)

// frameKind tells what a frame carries. The values are the protocol's.
type frameKind byte

const (
	kindHeartbeat   frameKind = iota // nothing new; the number is that of the last event
	kindSnapshot                     // records of all servers
	kindChanges                      // records of the servers that changed
	kindObjectPurge                  // object 8, time 8
	kindGroupPurge                   // group 2, time 8
)

const (
	objectPurgeSize = 8 + 8
	groupPurgeSize  = 2 + 8
)

// A record is a server's id (4), IPv4 address (4), port (2), state (1), zone (1), kind (1),
// cell (2), weight in thousandths (4) and start in Unix milliseconds (8).
const (
	recordAddress = 4
	recordPort    = 8
	recordState   = 10
	recordZone    = 11
	recordKind    = 12
	recordCell    = 13
	recordWeight  = 15
	recordStart   = 19
	recordSize    = 27
)

// recordPhases are the phases by a record's state.
var recordPhases = [...]routing.Phase{routing.Ready, routing.Draining, routing.Removed}

// maxStart is the latest start, in Unix milliseconds, that a time.Duration holds.
const maxStart = math.MaxInt64 / 1_000_000

// frame is one decoded frame.
type frame struct {
	kind  frameKind
	event platformconfig.WatchEvent
}

// frameResult is a frame, or the error that ended its connection.
type frameResult struct {
	frame
	err error
}

// readFrame reads one frame. Records must name one of so many zones and kinds.
func readFrame(conn *textconn.Conn, zones, kinds int) (frame, error) {
	conn.LimitRead(lengthSize + maxFrameLength)
	prefix, err := conn.ReadBody(lengthSize)
	if err != nil {
		return frame{}, err
	}
	length := binary.BigEndian.Uint32(prefix)
	if length < headerSize || length > maxFrameLength {
		return frame{}, fmt.Errorf("%w: length %d", ErrMalformedFrame, length)
	}
	content, err := conn.ReadBody(int(length))
	if err != nil {
		return frame{}, err
	}
	result, err := parseFrame(content, zones, kinds)
	conn.ShrinkReadBuffer()
	return result, err
}

// parseFrame decodes what follows the length of a frame.
func parseFrame(content []byte, zones, kinds int) (frame, error) {
	result := frame{kind: frameKind(content[headerSize-1])}
	event := &result.event
	event.Seq = binary.BigEndian.Uint64(content)
	payload := content[headerSize:]
	var err error
	switch result.kind {
	case kindHeartbeat:
	case kindSnapshot, kindChanges:
		event.ListUpdate = true
		event.Snapshot = result.kind == kindSnapshot
		event.Endpoints, err = parseRecords(payload, zones, kinds)
	case kindObjectPurge:
		event.Purge, err = parseObjectPurge(payload)
	case kindGroupPurge:
		event.Purge, err = parseGroupPurge(payload)
	default:
		err = fmt.Errorf("%w: kind %d", ErrMalformedFrame, result.kind)
	}
	return result, err
}

// parseRecords decodes the records of a list.
func parseRecords(payload []byte, zones, kinds int) ([]platformconfig.Endpoint, error) {
	if len(payload)%recordSize != 0 {
		return nil, fmt.Errorf("%w: %d bytes of records", ErrMalformedFrame, len(payload))
	}
	var endpoints []platformconfig.Endpoint
	for ; len(payload) > 0; payload = payload[recordSize:] {
		endpoint, err := parseRecord(payload[:recordSize], zones, kinds)
		if err != nil {
			return nil, err
		}
		endpoints = append(endpoints, endpoint)
	}
	return endpoints, nil
}

func parseRecord(record []byte, zones, kinds int) (platformconfig.Endpoint, error) {
	state, zone, kind := int(record[recordState]), int(record[recordZone]), int(record[recordKind])
	if state >= len(recordPhases) || zone >= zones || kind >= kinds {
		return platformconfig.Endpoint{}, fmt.Errorf("%w: state %d, zone %d, kind %d", ErrMalformedFrame, state, zone, kind)
	}
	start := binary.BigEndian.Uint64(record[recordStart:])
	if start > maxStart {
		return platformconfig.Endpoint{}, fmt.Errorf("%w: started %d", ErrMalformedFrame, start)
	}
	address := netip.AddrFrom4([4]byte(record[recordAddress:recordPort]))
	return platformconfig.Endpoint{
		Server: routing.Server{
			ID:        routing.ServerID(binary.BigEndian.Uint32(record)),
			Zone:      zone,
			Kind:      kind,
			Cell:      int(binary.BigEndian.Uint16(record[recordCell:])),
			Phase:     recordPhases[state],
			Weight:    float64(binary.BigEndian.Uint32(record[recordWeight:])) / 1000,
			StartedAt: platformconfig.StartTime(float64(start)),
		},
		Addr: netip.AddrPortFrom(address, binary.BigEndian.Uint16(record[recordPort:])),
	}, nil
}

// parseObjectPurge decodes the purge of one object. It returns nil for object 0, which the
// routing module takes for none and no front accepts.
func parseObjectPurge(payload []byte) (*platformconfig.Purge, error) {
	if len(payload) != objectPurgeSize {
		return nil, fmt.Errorf("%w: %d bytes for an object", ErrMalformedFrame, len(payload))
	}
	object := binary.BigEndian.Uint64(payload)
	if object == 0 {
		return nil, nil
	}
	purgedAt := binary.BigEndian.Uint64(payload[8:])
	return &platformconfig.Purge{Object: routing.ObjectID(object), At: float64(purgedAt)}, nil
}

// parseGroupPurge decodes the purge of a group of objects.
func parseGroupPurge(payload []byte) (*platformconfig.Purge, error) {
	if len(payload) != groupPurgeSize {
		return nil, fmt.Errorf("%w: %d bytes for a group", ErrMalformedFrame, len(payload))
	}
	group := binary.BigEndian.Uint16(payload)
	purgedAt := binary.BigEndian.Uint64(payload[2:])
	return &platformconfig.Purge{Group: int(group), At: float64(purgedAt)}, nil
}
