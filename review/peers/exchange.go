package peers

import (
	"fmt"
	"strings"
	"time"
)

// outcome is what a client saw of one request.
type outcome struct {
	request request
	lost    string // empty: it got a whole answer in time
}

// exchangePipelined writes all requests at once and reads their answers.
func (s *stage) exchangePipelined(number int, conn *client, requests []request, written func()) []outcome {
	var text strings.Builder
	for _, next := range requests {
		text.WriteString(next.text())
	}
	outcomes := make([]outcome, len(requests))
	err := conn.send(text.String())
	sent := time.Now()
	s.log.printf("client %d: %d requests written, %d bytes, error %v", number, len(requests), text.Len(), err)
	written()
	ended := err
	for i, next := range requests {
		outcomes[i].request = next
		if ended == nil {
			var got answer
			got, ended = conn.receive(sent.Add(next.patience + lateAnswer))
			if ended == nil {
				s.log.printf("client %d: %s answered with %d, %d bytes, close %t", number, next.id, got.status, len(got.body), got.closes)
				continue
			}
		}
		outcomes[i].lost = fmt.Sprintf("client %d: request %s has no answer: %v", number, next.id, ended)
		s.log.printf("%s", outcomes[i].lost)
	}
	return outcomes
}

// exchangeInTurn sends the requests one after another.
func (s *stage) exchangeInTurn(number int, conn *client, requests []request) []outcome {
	var outcomes []outcome
	for _, next := range requests {
		outcomes = append(outcomes, s.exchangePipelined(number, conn, []request{next}, func() {})...)
	}
	return outcomes
}

func lostOf(outcomes []outcome) []string {
	var lost []string
	for _, seen := range outcomes {
		if seen.lost != "" {
			lost = append(lost, seen.lost)
		}
	}
	return lost
}
