package discovery

import (
	"math"
	"math/rand/v2"
	"testing"
)

// Times of the simulations, in milliseconds.
const (
	simulationStep  = 5.0
	followDeadline  = 7000.0 + 1000 + 50 // after an event, the router must have followed it
	slowestAnswer   = 6500.0
	lastFrameAt     = 5000.0 // of the first connection, in the simulations of a loss
	longSimulation  = 600_000.0
	shortSimulation = 60_000.0
)

// simulatedAnswer is how a simulated change log answers a connection. Times are in ms.
type simulatedAnswer struct {
	dialing    float64 // time until the connection is established
	firstFrame float64 // after the opening
	interval   float64 // between frames
	lastFrame  float64 // time after which nothing is sent any more
	breaks     bool    // the connection ends after lastFrame; otherwise it falls silent
	byteEvery  float64 // time between the bytes of each frame; 0: the frame arrives at once
}

// punctual is a change log that answers at once and sends each heartbeat in time.
var punctual = simulatedAnswer{interval: heartbeatInterval, lastFrame: math.Inf(1)}

// dead is a connection that is established and never brings a byte.
var dead = simulatedAnswer{firstFrame: math.Inf(1), interval: heartbeatInterval, lastFrame: math.Inf(1)}

// slow is a change log that answers a connection after some time, and is punctual from then on.
func slow(firstFrame float64) simulatedAnswer {
	return simulatedAnswer{firstFrame: firstFrame, interval: heartbeatInterval, lastFrame: math.Inf(1)}
}

// slowToConnect is a change log to which each connection is established late, and which then answers at once.
func slowToConnect(dialing float64) simulatedAnswer {
	return simulatedAnswer{dialing: dialing, firstFrame: dialing + simulationStep, interval: heartbeatInterval, lastFrame: math.Inf(1)}
}

// simulation plays a connectionSchedule against a change log, on a clock of its own.
type simulation struct {
	answer func(number int) simulatedAnswer // of the connection with this number; the first is 1

	opened  []float64 // times at which connections were opened
	frames  []float64 // times at which frames were received
	maxOpen int
}

// simulatedConnection is an open connection of a simulation.
type simulatedConnection struct {
	simulatedAnswer
	openedAt  float64
	nextFrame float64
}

// run plays the schedule until the time end.
func (s *simulation) run(seed uint64, end float64) {
	schedule := connectionSchedule{backoff: reconnectBackoff{random: rand.New(rand.NewPCG(seed, 0))}}
	schedule.restart(0)
	open := map[connectionID]*simulatedConnection{}
	for now := 0.0; now < end; now += simulationStep {
		for id := schedule.lastID; id > 0; id-- {
			if connection := open[id]; connection != nil {
				s.deliver(&schedule, open, id, now)
			}
		}
		step := schedule.step(now)
		for _, id := range step.closed {
			delete(open, id)
		}
		if step.opened != 0 {
			s.opened = append(s.opened, now)
			answer := s.answer(len(s.opened))
			open[step.opened] = &simulatedConnection{simulatedAnswer: answer, openedAt: now, nextFrame: now + max(simulationStep, answer.firstFrame)}
		}
		s.maxOpen = max(s.maxOpen, len(open))
	}
}

// deliver passes on what a connection brings now.
func (s *simulation) deliver(schedule *connectionSchedule, open map[connectionID]*simulatedConnection, id connectionID, now float64) {
	connection := open[id]
	if now == connection.openedAt+max(simulationStep, connection.dialing) {
		schedule.recordEstablished(id, now)
	}
	if connection.byteEvery > 0 && now < connection.nextFrame {
		schedule.recordActivity(id, now-math.Mod(now-connection.openedAt, connection.byteEvery))
	}
	switch {
	case now > connection.lastFrame && connection.breaks:
		schedule.recordEnd(id, now, schedule.find(id).receivedFrame)
		delete(open, id)
	case now > connection.lastFrame || now < connection.nextFrame:
	default:
		connection.nextFrame = now + connection.interval
		s.frames = append(s.frames, now)
		for _, other := range schedule.recordFrame(id, now) {
			delete(open, other)
		}
	}
}

// firstFrameAfter returns the time of the first frame after a time, or +Inf if there is none.
func (s *simulation) firstFrameAfter(after float64) float64 {
	for _, at := range s.frames {
		if at > after {
			return at
		}
	}
	return math.Inf(1)
}

// simulate plays a change log that answers the first connections as listed, and all later ones like the last.
func simulate(seed uint64, end float64, answers ...simulatedAnswer) *simulation {
	played := &simulation{answer: func(number int) simulatedAnswer { return answers[min(number, len(answers))-1] }}
	played.run(seed, end)
	return played
}

// TestSlowAnswersAreReceived guards against a change log that is never heard because each connection is
// closed before its answer: at the start, after a break, and after an open connection has fallen silent. In
// each case the router follows an event that was sent right after the last frame in time.
func TestSlowAnswersAreReceived(t *testing.T) {
	lost := simulatedAnswer{interval: heartbeatInterval, lastFrame: lastFrameAt + simulationStep}
	broken := lost
	broken.breaks = true
	for delay := 0.0; delay <= slowestAnswer; delay += 50 {
		for seed := range uint64(5) {
			for name, test := range map[string]struct {
				played    *simulation
				eventAt   float64
				firstOpen int // index of the first connection after the event
			}{
				"at the start":  {simulate(seed, shortSimulation, slow(delay)), 0, 0},
				"after a break": {simulate(seed, shortSimulation, broken, slow(delay)), lastFrameAt + simulationStep, 1},
				"after silence": {simulate(seed, shortSimulation, lost, slow(delay)), lastFrameAt + simulationStep, 1},
				"after a dead one": {simulate(seed, shortSimulation, broken, dead, slow(min(delay, slowestAnswer-silenceTimeout))),
					lastFrameAt + simulationStep, 1},
			} {
				if at := test.played.firstFrameAfter(test.eventAt); at > test.eventAt+followDeadline {
					t.Errorf("%s, answers after %.0f ms, seed %d: got the first frame %.0f ms after the event, want at most %.0f ms",
						name, delay, seed, at-test.eventAt, followDeadline)
				}
				opened := len(test.played.opened) - test.firstOpen
				if most := 2 + int(delay/silenceTimeout); opened > most {
					t.Errorf("%s, answers after %.0f ms, seed %d: got %d connections, want at most %d", name, delay, seed, opened, most)
				}
			}
		}
	}
}

// TestSlowEstablishmentIsAwaited guards against a change log that is never heard because each connection is
// given up before it is established.
func TestSlowEstablishmentIsAwaited(t *testing.T) {
	for dialing := 0.0; dialing <= slowestAnswer; dialing += 50 {
		for seed := range uint64(5) {
			played := simulate(seed, shortSimulation, slowToConnect(dialing))
			if at := played.firstFrameAfter(0); at > followDeadline {
				t.Errorf("established after %.0f ms, seed %d: got the first frame after %.0f ms, want at most %.0f ms", dialing, seed, at, followDeadline)
			}
			if most := 2 + int(dialing/dialTimeout); len(played.opened) > most {
				t.Errorf("established after %.0f ms, seed %d: got %d connections, want at most %d", dialing, seed, len(played.opened), most)
			}
			if played.maxOpen > maxConnections {
				t.Errorf("established after %.0f ms, seed %d: got %d open connections, want at most %d", dialing, seed, played.maxOpen, maxConnections)
			}
		}
	}
}

// TestDeadConnectionsAreReplaced checks that waiting for slow answers does not delay the replacement of dead
// connections, and that a dead change log gets no more requests for it.
func TestDeadConnectionsAreReplaced(t *testing.T) {
	for seed := range uint64(20) {
		latest, backoff := 0.0, initialBackoff
		answers := []simulatedAnswer{}
		for count := 1; count <= 10; count++ {
			latest += silenceTimeout + backoff + 3*simulationStep
			backoff = min(2*backoff, maxBackoff)
			answers = append(answers, dead)
			played := simulate(seed, shortSimulation, append(answers, punctual)...)
			if at := played.firstFrameAfter(0); at > latest {
				t.Errorf("%d dead connections, seed %d: got the first frame after %.0f ms, want at most %.0f ms", count, seed, at, latest)
			}
		}
		played := simulate(seed, shortSimulation, dead)
		if most := 6 + int(shortSimulation/(silenceTimeout+maxBackoff/2)); len(played.opened) > most {
			t.Errorf("dead change log, seed %d: got %d connections in %.0f ms, want at most %d", seed, len(played.opened), shortSimulation, most)
		}
		if played.maxOpen > maxConnections {
			t.Errorf("dead change log, seed %d: got %d open connections, want at most %d", seed, played.maxOpen, maxConnections)
		}
	}
}

// TestLateFramesCauseFewConnections checks that a change log which is late, but not dead, is asked less and
// less. While the longest gap stays below silenceTimeout, one connection too many may be opened.
func TestLateFramesCauseFewConnections(t *testing.T) {
	for gap, most := range map[float64]int{1000: 1, 1400: 1, 1550: 2, 1800: 8, 2000: 12} {
		late := simulatedAnswer{interval: gap, lastFrame: math.Inf(1)}
		for seed := range uint64(20) {
			answer := simulatedAnswer{firstFrame: 3000, interval: gap, lastFrame: math.Inf(1)}
			played := simulate(seed, longSimulation, late, answer)
			if len(played.opened) > most {
				t.Errorf("a frame each %.0f ms, seed %d: got %d connections in %.0f ms, want at most %d", gap, seed, len(played.opened), longSimulation, most)
			}
		}
	}
}

// TestVerySlowAnswersAreReceivedAtLast checks that answers which take longer than answerTimeout are received
// after some tries.
func TestVerySlowAnswersAreReceivedAtLast(t *testing.T) {
	for _, delay := range []float64{7000, 8000, 13_000, 20_000, 50_000} {
		played := simulate(1, longSimulation, slow(delay))
		if at := played.firstFrameAfter(0); at > 4*delay {
			t.Errorf("answers after %.0f ms: got the first frame after %.0f ms, want at most %.0f ms", delay, at, 4*delay)
		}
	}
}

// TestSlowBytesAreRead checks that a frame which arrives a byte at a time is read to its end, and that the
// change log is asked no more often meanwhile than while it is dead.
func TestSlowBytesAreRead(t *testing.T) {
	const byteEvery = 50.0
	for _, records := range []float64{0, 1, 8, 300} {
		duration := byteEvery * (lengthSize + headerSize + records*recordSize)
		trickle := simulatedAnswer{firstFrame: duration, interval: duration, lastFrame: math.Inf(1), byteEvery: byteEvery}
		played := simulate(1, longSimulation, trickle)
		if at := played.firstFrameAfter(0); at > duration+2*simulationStep {
			t.Errorf("%.0f records: got the first frame after %.0f ms, want %.0f ms", records, at, duration)
		}
		if most := 6 + int(longSimulation/(silenceTimeout+maxBackoff/2)); len(played.opened) > most {
			t.Errorf("%.0f records: got %d connections in %.0f ms, want at most %d", records, len(played.opened), longSimulation, most)
		}
	}
}
