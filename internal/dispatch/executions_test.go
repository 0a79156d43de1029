package dispatch

import (
	"testing"

	"garnetline/internal/metrics"
	"garnetline/internal/replayguard"
	"garnetline/routing"
)

const repeatedID = "00000000000000a1"

// historyTest submits requests with the same id to a dispatcher with a history of executions.
type historyTest struct {
	*testHarness
	t *testing.T
}

func newHistoryTest(t *testing.T, history ExecutionHistory) *historyTest {
	t.Helper()
	harness := newHarness(t, nil)
	harness.SetExecutionHistory(history)
	return &historyTest{harness, t}
}

// submitRepeated submits a request and returns its responses.
func (h *historyTest) submitRepeated(class int) (*Request, *[]Response) {
	h.t.Helper()
	var responses []Response
	request := &Request{TransactionID: repeatedID, Class: class, Object: 1, Deadline: h.clock.Now() + 3000, Transport: &h.transport,
		Respond: func(response Response) { responses = append(responses, response) }}
	submitMessage{request}.apply(h.Dispatcher)
	return request, &responses
}

func (h *historyTest) checkSent(want int) {
	h.t.Helper()
	if got := len(h.transport.sent); got != want {
		h.t.Fatalf("got %d attempts, want %d", got, want)
	}
}

// TestIDOfDisconnectedClientIsNotExecutedAgain checks that an id that comes again after its client has
// left is not sent again: never if it is not idempotent, and after the window of its key otherwise.
func TestIDOfDisconnectedClientIsNotExecutedAgain(t *testing.T) {
	for _, test := range []struct {
		name    string
		class   int
		afterMs float64
		sent    int // attempts in all
	}{
		{"not idempotent", nonIdempotentClass, 10, 1},
		{"not idempotent, much later", nonIdempotentClass, 100_000, 1},
		{"keyed, within the window", keyedClass, 10, 2},
		{"keyed, after the window", keyedClass, 1100, 1},
		{"idempotent", idempotentClass, 10, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			harness := newHistoryTest(t, replayguard.New(metrics.New()))
			first, _ := harness.submitRepeated(test.class)
			harness.checkSent(1)
			disconnectMessage{first}.apply(harness.Dispatcher)
			complete(harness.Dispatcher, harness.transport.sent[0], routing.Canceled)
			harness.advance(test.afterMs)
			_, responses := harness.submitRepeated(test.class)
			harness.checkSent(test.sent)
			refused := len(*responses) == 1 && (*responses)[0].Kind == DuplicateID
			if refused != (test.sent == 1) {
				t.Errorf("got responses %+v after %d attempts", *responses, test.sent)
			}
			if test.class == keyedClass && test.sent == 2 && harness.transport.sent[1].SendDeadline != startTime+1000 {
				t.Errorf("got send deadline %v, want the end of the first window", harness.transport.sent[1].SendDeadline-startTime)
			}
		})
	}
}

// TestIDThatWasNotExecutedIsForwarded checks that an id may come again if no server has executed its
// request.
func TestIDThatWasNotExecutedIsForwarded(t *testing.T) {
	harness := newHistoryTest(t, replayguard.New(metrics.New()))
	first, _ := harness.submitRepeated(nonIdempotentClass)
	disconnectMessage{first}.apply(harness.Dispatcher)
	complete(harness.Dispatcher, harness.transport.sent[0], routing.NotSent)
	harness.submitRepeated(nonIdempotentClass)
	harness.checkSent(2)
}

// TestIDIsNotExecutedAtOtherProcess checks that an id that one process has sent is not sent by another
// process of the same router, in either direction.
func TestIDIsNotExecutedAtOtherProcess(t *testing.T) {
	dir := t.TempDir()
	var processes []*historyTest
	for slot := range 2 {
		guard := replayguard.New(metrics.New())
		if err := guard.Share(dir, slot); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(guard.Close)
		processes = append(processes, newHistoryTest(t, guard))
	}
	for first, second := range map[int]int{0: 1, 1: 0} {
		class := []int{nonIdempotentClass, keyedClass}[first]
		processes[first].transport.sent, processes[second].transport.sent = nil, nil
		request, _ := processes[first].submitRepeated(class)
		processes[first].checkSent(1)
		_, responses := processes[second].submitRepeated(class)
		processes[second].checkSent(0)
		if len(*responses) != 1 || (*responses)[0].Kind != DuplicateID {
			t.Errorf("got responses %+v at the other process, want a refusal", *responses)
		}
		disconnectMessage{request}.apply(processes[first].Dispatcher)
		complete(processes[first].Dispatcher, processes[first].transport.sent[0], routing.NotSent) // forgets the id
	}
}
