package discovery

import (
	"encoding/binary"
	"errors"
	"fmt"
	"net/netip"

	"garnetline/internal/platformconfig"
	"garnetline/internal/textconn"
	"garnetline/routing"
)

// ErrMalformedFrame is returned for a frame that cannot be decoded.
var ErrMalformedFrame = errors.New("discovery: malformed frame")

// A frame consists of a length (4 bytes), the number of the event (8), the kind of the frame (1)
// and a payload. The length counts the bytes that follow the length field. All integers are
// big-endian.
const (
	lengthSize     = 4
	headerSize     = 8 + 1
	maxFrameLength = headerSize + recordSize*(8<<10) // room for 8192 records; every fleet has fewer servers
)

// frameKind is the type of a frame. The protocol defines the values.
type frameKind byte

const (
	kindHeartbeat   frameKind = iota // no new event; the event number of the frame is that of the last event
	kindSnapshot                     // records of all servers
	kindChanges                      // records of the servers that changed
	kindObjectPurge                  // object id (8 bytes) and time of the purge (8)
	kindGroupPurge                   // group id (2 bytes) and time of the purge (8)
)

const (
	objectPurgeSize = 8 + 8
	groupPurgeSize  = 2 + 8
)

// A record consists of a server's id (4 bytes), IPv4 address (4), port (2), state (1), zone (1),
// kind (1), cell (2), weight in thousandths (4) and start time in Unix milliseconds (8). The
// constants are the offsets of these fields and the size of a record.
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

// recordPhases are the phases of servers, indexed by the state byte of a record.
var recordPhases = [...]routing.Phase{routing.Ready, routing.Draining, routing.Removed}

// frame is one decoded frame.
type frame struct {
	kind  frameKind
	event platformconfig.WatchEvent
}

// readFrame reads and decodes one frame. zones and kinds are the numbers of zones and kinds in the
// configuration. A record whose zone or kind is not in the configuration is malformed.
func readFrame(conn *textconn.Conn, zones, kinds int) (frame, error) {
	conn.LimitRead(lengthSize + maxFrameLength)
	prefix, err := conn.ReadBody(lengthSize)
	if err != nil {
		return frame{}, err
	}
	length := binary.BigEndian.Uint32(prefix)
	if length < headerSize || length > maxFrameLength {
		return frame{}, fmt.Errorf("%w: expected a frame length from %d to %d, got %d", ErrMalformedFrame, headerSize, maxFrameLength, length)
	}
	content, err := conn.ReadBody(int(length))
	if err != nil {
		return frame{}, err
	}
	result, err := parseFrame(content, zones, kinds)
	conn.ShrinkReadBuffer()
	return result, err
}

// parseFrame decodes the content of a frame: the bytes that follow the length field.
func parseFrame(content []byte, zones, kinds int) (frame, error) {
	result := frame{kind: frameKind(content[headerSize-1])}
	event := &result.event
	event.Seq = binary.BigEndian.Uint64(content)
	payload := content[headerSize:]
	var err error
	switch result.kind {
	case kindHeartbeat:
		if len(payload) > 0 {
			err = fmt.Errorf("%w: expected a heartbeat without a payload, got %d bytes", ErrMalformedFrame, len(payload))
		}
	case kindSnapshot, kindChanges:
		event.ListUpdate = true
		event.Snapshot = result.kind == kindSnapshot
		event.Endpoints, err = parseRecords(payload, zones, kinds)
	case kindObjectPurge:
		event.Purge, err = parseObjectPurge(payload)
	case kindGroupPurge:
		event.Purge, err = parseGroupPurge(payload)
	default:
		err = fmt.Errorf("%w: unknown frame kind %d", ErrMalformedFrame, result.kind)
	}
	return result, err
}

// parseRecords decodes the records of an endpoint list.
func parseRecords(payload []byte, zones, kinds int) ([]platformconfig.Endpoint, error) {
	if len(payload)%recordSize != 0 {
		return nil, fmt.Errorf("%w: expected a list of server records of %d bytes each, got %d bytes in total", ErrMalformedFrame, recordSize, len(payload))
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
		return platformconfig.Endpoint{}, fmt.Errorf("%w: server record has state %d, zone %d and kind %d, expected values below %d, %d and %d", ErrMalformedFrame, state, zone, kind, len(recordPhases), zones, kinds)
	}
	start := binary.BigEndian.Uint64(record[recordStart:])
	if start > platformconfig.MaxUnixMillis {
		return platformconfig.Endpoint{}, fmt.Errorf("%w: expected a start time of at most %d ms in a server record, got %d", ErrMalformedFrame, int64(platformconfig.MaxUnixMillis), start)
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

// parseObjectPurge decodes the purge of one object. It returns nil for object 0. The routing module
// uses the id 0 for "no object", and frontends do not accept requests for it.
func parseObjectPurge(payload []byte) (*platformconfig.Purge, error) {
	if len(payload) != objectPurgeSize {
		return nil, fmt.Errorf("%w: expected %d bytes for an object purge, got %d", ErrMalformedFrame, objectPurgeSize, len(payload))
	}
	purgedAt, err := parsePurgeTime(payload[8:])
	object := binary.BigEndian.Uint64(payload)
	if err != nil || object == 0 {
		return nil, err
	}
	return &platformconfig.Purge{Object: routing.ObjectID(object), At: purgedAt}, nil
}

// parseGroupPurge decodes the purge of a group of objects.
func parseGroupPurge(payload []byte) (*platformconfig.Purge, error) {
	if len(payload) != groupPurgeSize {
		return nil, fmt.Errorf("%w: expected %d bytes for a group purge, got %d", ErrMalformedFrame, groupPurgeSize, len(payload))
	}
	purgedAt, err := parsePurgeTime(payload[2:])
	if err != nil {
		return nil, err
	}
	group := binary.BigEndian.Uint16(payload)
	return &platformconfig.Purge{Group: int(group), At: purgedAt}, nil
}

// parsePurgeTime decodes the time of a purge, in Unix milliseconds.
func parsePurgeTime(field []byte) (float64, error) {
	purgedAt := binary.BigEndian.Uint64(field)
	if purgedAt > platformconfig.MaxUnixMillis {
		return 0, fmt.Errorf("%w: expected a purge time of at most %d ms, got %d", ErrMalformedFrame, int64(platformconfig.MaxUnixMillis), purgedAt)
	}
	return float64(purgedAt), nil
}
