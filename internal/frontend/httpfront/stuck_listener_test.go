package httpfront

import (
	"net"
	"testing"
	"time"
)

// stuckListener is a listener whose Accept and Close wait until release is closed, as those of a socket may that another
// process has made blocking.
type stuckListener struct {
	net.Listener
	release chan struct{}
}

func (l *stuckListener) Accept() (net.Conn, error) {
	<-l.release
	return nil, net.ErrClosed
}

func (l *stuckListener) Close() error {
	<-l.release
	return l.Listener.Close()
}

// TestStuckListener guards against a process that stands still because its listening socket does: StopAccepting and
// Shutdown return, and meanwhile the server's connections can change their state.
func TestStuckListener(t *testing.T) {
	const returnTimeout = 5 * time.Second
	for name, end := range map[string]func(*Server){"StopAccepting": (*Server).StopAccepting, "Shutdown": (*Server).Shutdown} {
		t.Run(name, func(t *testing.T) {
			server := newServer(&fakeDispatcher{})
			listener := &stuckListener{listen(t), make(chan struct{})}
			served := make(chan error, 1)
			go func() { served <- server.Serve(listener) }()
			waitFor(t, "the server accepts", func() bool {
				held, _ := server.openListener()
				return held != nil
			})
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				end(server)
			}()
			waitFor(t, "the end has begun", server.keepAlivesDisabled.Load)
			for range 100 {
				server.connCount() // needs the server's lock
			}
			select {
			case <-ended:
			case <-time.After(returnTimeout):
				t.Errorf("%s waits for the listener", name)
			}
			close(listener.release)
			if err := <-served; err != nil {
				t.Errorf("Serve: %v", err)
			}
			<-ended
		})
	}
}
