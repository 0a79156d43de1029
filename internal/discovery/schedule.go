package discovery

import "slices"

// Times of the connections to the change log, in milliseconds.
const (
	// heartbeatInterval is the longest time between two frames of a change log that is not delayed.
	heartbeatInterval = 1000.0
	// silenceTimeout is the time without a frame after which another connection is opened. It applies to a
	// connection that has received no frame yet, and to a change log whose frames are known to come late.
	silenceTimeout = 1600.0
	// silenceMargin replaces silenceTimeout for a change log whose frames come in time: another connection
	// is opened if a frame is overdue by more than silenceMargin.
	silenceMargin = 450.0
	// dialTimeout is the time after which another connection is opened beside one that is not established.
	// It also limits the write of the request.
	dialTimeout = 500.0
	// answerTimeout is the time without a received byte after which a connection is closed. The router must
	// follow an event within 7 s, so it waits that long for the answer to each request.
	answerTimeout = 7000.0
	// maxAnswerTimeout bounds the timeout of the oldest connection, which doubles each time.
	maxAnswerTimeout = 8 * answerTimeout
)

const (
	// maxConnections is the maximum number of open connections to the change log.
	maxConnections = 3
	// gapDecay is the share of the passed time by which the longest gap between frames is shortened.
	gapDecay = 0.01
)

// connectionID identifies a connection to the change log within its Watcher. No connection has the id 0.
type connectionID uint64

// scheduledConnection is an open connection as its connectionSchedule knows it. Times are in ms.
type scheduledConnection struct {
	id             connectionID
	waitingSince   float64 // time of the opening, of the establishment or of the latest frame
	lastActivityAt float64 // time of the opening, of the establishment or of the latest received byte
	receivedBytes  bool
	receivedFrame  bool
}

// connectionSchedule decides when the watcher opens a connection to the change log, and which connections it
// closes. It does no I/O.
//
// If no frame arrives for a while, the schedule cannot tell a dead connection from a slow change log. It
// therefore opens another connection and leaves the earlier ones open, so that a slow answer is still
// received. The first connection that receives a frame is kept, and the others are closed.
//
// At most maxConnections connections are open. The newest one without a received byte is closed to make room
// for another. A connection that receives nothing for answerTimeout is closed. For the oldest connection,
// this timeout doubles each time it expires, so that even a slower answer is received at last.
type connectionSchedule struct {
	backoff       reconnectBackoff
	open          []scheduledConnection // in the order in which they were opened
	lastID        connectionID
	delay         float64 // ms; delay after the newest connection, see reconnectBackoff
	nextOpenAt    float64 // time at which another connection is opened, unless a frame arrives
	answerTimeout float64 // ms; timeout of the oldest connection
	longestGap    float64 // ms; longest time between two frames lately
}

// scheduleStep is the result of one step of a connectionSchedule.
type scheduleStep struct {
	closed []connectionID // connections to close
	opened connectionID   // connection to open; 0: none
	wakeAt float64        // time of the next step, in ms
}

// restart forgets all connections and what was learned about the change log. The next step opens a
// connection.
func (s *connectionSchedule) restart(now float64) {
	s.backoff.reset()
	s.open = nil
	s.nextOpenAt = now
	s.answerTimeout = answerTimeout
	s.longestGap = heartbeatInterval
}

// step advances the schedule to the time now.
func (s *connectionSchedule) step(now float64) scheduleStep {
	var result scheduleStep
	result.closed = s.closeInactive(now)
	if now >= s.nextOpenAt {
		if len(s.open) >= maxConnections {
			result.closed = append(result.closed, s.closeReplaceable())
		}
		result.opened = s.openConnection(now)
	}
	result.wakeAt = s.nextOpenAt
	for i := range s.open {
		result.wakeAt = min(result.wakeAt, s.open[i].lastActivityAt+s.inactivityTimeout(i))
	}
	return result
}

func (s *connectionSchedule) openConnection(now float64) connectionID {
	s.lastID++
	s.open = append(s.open, scheduledConnection{id: s.lastID, waitingSince: now, lastActivityAt: now})
	s.delay = s.backoff.nextDelay(false)
	s.nextOpenAt = now + dialTimeout + s.delay
	return s.lastID
}

// closeInactive closes the connections that have received no byte for too long, and returns their ids.
func (s *connectionSchedule) closeInactive(now float64) (closed []connectionID) {
	for i := 0; i < len(s.open); {
		connection := s.open[i]
		if now < connection.lastActivityAt+s.inactivityTimeout(i) {
			i++
			continue
		}
		if i == 0 && !connection.receivedFrame {
			s.answerTimeout = min(2*s.answerTimeout, maxAnswerTimeout)
		}
		closed = append(closed, connection.id)
		s.open = slices.Delete(s.open, i, i+1)
	}
	return closed
}

// inactivityTimeout returns the time without a received byte after which the connection at an index of open
// is closed.
func (s *connectionSchedule) inactivityTimeout(index int) float64 {
	if index == 0 && !s.open[index].receivedFrame {
		return s.answerTimeout
	}
	return answerTimeout
}

// closeReplaceable closes the newest connection that has received no byte, or the newest one if all have
// received some. It returns the connection's id.
func (s *connectionSchedule) closeReplaceable() connectionID {
	replaced := len(s.open) - 1
	for i := range s.open {
		if !s.open[i].receivedBytes {
			replaced = i
		}
	}
	id := s.open[replaced].id
	s.open = slices.Delete(s.open, replaced, replaced+1)
	return id
}

// find returns the open connection with an id, or nil if there is none.
func (s *connectionSchedule) find(id connectionID) *scheduledConnection {
	i := slices.IndexFunc(s.open, func(connection scheduledConnection) bool { return connection.id == id })
	if i < 0 {
		return nil
	}
	return &s.open[i]
}

// recordEstablished records that a connection has been established and its request written.
func (s *connectionSchedule) recordEstablished(id connectionID, now float64) {
	connection := s.find(id)
	if connection == nil {
		return
	}
	connection.waitingSince = now
	connection.lastActivityAt = now
	if id == s.lastID {
		s.nextOpenAt = now + silenceTimeout + s.delay
	}
}

// recordActivity records the time at which a connection last received bytes.
func (s *connectionSchedule) recordActivity(id connectionID, at float64) {
	connection := s.find(id)
	if connection != nil && at > connection.lastActivityAt {
		connection.lastActivityAt = at
		connection.receivedBytes = true
	}
}

// recordFrame records that a connection has received a frame. It returns the other connections, which the
// caller closes. The next connection is opened once the following frame is overdue. If frames keep coming
// late, the delay of that connection is not reset, so that a slow change log gets fewer and fewer requests.
func (s *connectionSchedule) recordFrame(id connectionID, now float64) (closed []connectionID) {
	received := s.find(id)
	if received == nil {
		return nil
	}
	gap := now - received.waitingSince
	if received.receivedFrame {
		s.recordGap(gap)
	}
	for _, connection := range s.open {
		if connection.id == id {
			continue
		}
		if connection.receivedFrame { // it has fallen silent
			s.recordGap(now - connection.waitingSince)
		}
		closed = append(closed, connection.id)
	}
	if gap <= silenceTimeout || !received.receivedFrame {
		s.delay = s.backoff.nextDelay(true)
	}
	s.answerTimeout = answerTimeout
	s.open = []scheduledConnection{{id: id, waitingSince: now, lastActivityAt: now, receivedBytes: true, receivedFrame: true}}
	s.nextOpenAt = now + min(silenceTimeout, s.longestGap+silenceMargin) + s.delay
	return closed
}

// recordGap records the time between two frames.
func (s *connectionSchedule) recordGap(gap float64) {
	s.longestGap = max(gap, s.longestGap-gapDecay*gap, heartbeatInterval)
}

// recordEnd records that a connection has ended. receivedFrame tells whether it had received a frame, also
// one that could not be applied.
func (s *connectionSchedule) recordEnd(id connectionID, now float64, receivedFrame bool) {
	i := slices.IndexFunc(s.open, func(connection scheduledConnection) bool { return connection.id == id })
	if i < 0 {
		return
	}
	s.open = slices.Delete(s.open, i, i+1)
	switch {
	case receivedFrame && len(s.open) == 0:
		s.nextOpenAt = now + s.backoff.nextDelay(true)
	case id == s.lastID || len(s.open) == 0:
		s.nextOpenAt = min(s.nextOpenAt, now+s.delay)
	}
}
