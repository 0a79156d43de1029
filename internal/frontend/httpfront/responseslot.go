package httpfront

import (
	"sync"

	"garnetline/internal/dispatch"
)

// responseSlot passes the response to a request from the dispatcher to the connection. If the
// connection has abandoned the request, the memory of the response is released at once.
type responseSlot struct {
	delivered chan dispatch.Response

	mu        sync.Mutex
	abandoned bool
}

func newResponseSlot() *responseSlot {
	return &responseSlot{delivered: make(chan dispatch.Response, 1)}
}

// deliver passes the response on. The dispatcher calls it at most once. It does not block.
func (s *responseSlot) deliver(response dispatch.Response) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.abandoned {
		response.Memory.Release()
		return
	}
	s.delivered <- response
}

// abandon releases a response that the connection has not taken, and every later one.
func (s *responseSlot) abandon() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.abandoned = true
	select {
	case response := <-s.delivered:
		response.Memory.Release()
	default:
	}
}
