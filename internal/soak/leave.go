package soak

import (
	"fmt"
	"strings"
	"time"
)

// maxSendDelay is how long after a client has left an attempt for it may still begin.
const maxSendDelay = 100 * time.Millisecond

// leaver is a client that sends many requests at once and leaves without reading.
type leaver struct {
	ids    []string
	leftAt time.Time
}

// leave sends pipelined reads and leaves after stay, with a reset or with a close.
func leave(addr string, requests int, stay time.Duration, reset bool) (leaver, error) {
	var left leaver
	var text strings.Builder
	for range requests {
		asked := newRead(LargeObject)
		left.ids = append(left.ids, asked.id)
		text.WriteString(strings.Replace(newRead(0).text(), "/v1/part/", "/v1/none/", 1)) // answered without an attempt
		text.WriteString(asked.text())
	}
	connection, err := dial(addr)
	if err != nil {
		return left, err
	}
	if err := connection.SetWriteDeadline(time.Now().Add(stay)); err != nil {
		return left, err
	}
	_ = connection.write(text.String()) // the router may stop reading
	time.Sleep(stay)
	left.leftAt = time.Now()
	if reset {
		connection.reset()
	} else {
		connection.close()
	}
	return left, nil
}

// lateExecutions returns the requests of the client that servers received too long after it had left.
func (l leaver) lateExecutions(executions map[string][]time.Time) []string {
	var late []string
	for _, id := range l.ids {
		for _, at := range executions[id] {
			if delay := at.Sub(l.leftAt); delay > maxSendDelay {
				late = append(late, fmt.Sprintf("%s after %v", id, delay))
			}
		}
	}
	return late
}

// sendAndLeave sends a write and leaves without waiting for its response.
func sendAndLeave(addr string, asked request, stay time.Duration) error {
	connection, err := dial(addr)
	if err != nil {
		return err
	}
	defer connection.close()
	if err := connection.write(asked.text()); err != nil {
		return err
	}
	time.Sleep(stay)
	return nil
}

// repeatedExecutions returns the ids that servers received more than once.
func repeatedExecutions(executions map[string][]time.Time, ids []string) []string {
	var repeated []string
	for _, id := range ids {
		if count := len(executions[id]); count > 1 {
			repeated = append(repeated, fmt.Sprintf("%s %d times", id, count))
		}
	}
	return repeated
}
