// Package admin answers the calls of the admin API: whether the router is ready, its metrics,
// and which servers operators disable. It opens no socket; a front carries the calls. A
// Handler owns no state and may be called from any goroutine.
package admin

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"garnetline/internal/discovery"
	"garnetline/routing"
)

// callTimeout bounds how long a call waits for the watcher of the endpoint list; callers wait
// for one second.
const callTimeout = 800 * time.Millisecond

// Paths of the API. The id of a server follows the last two.
const (
	pathFleet   = "/fleet" // and all below it
	pathReady   = "/ready"
	pathMetrics = "/metrics"
	pathDisable = "/caches/disable/"
	pathEnable  = "/caches/enable/"
)

// Handler answers calls from what the rest of the router tells it.
type Handler struct {
	// Ready reports whether requests can be served.
	Ready func() bool
	// Metrics returns the current values.
	Metrics func() Metrics
	// SetDisabled disables or enables a server. It returns discovery.ErrUnknownServer for
	// one that there is not.
	SetDisabled func(ctx context.Context, server routing.ServerID, disabled bool) error
	// Fleet answers the calls below /fleet. It is nil where the router knows no others.
	Fleet Fleet
}

// Fleet is what the admin API needs of the part that knows the other routers.
type Fleet interface {
	// Handle answers a call below /fleet; ok is false if there is no such call.
	Handle(ctx context.Context, method, path string) (status int, body []byte, ok bool)
	// AppendMetrics appends further metrics in the text format of Prometheus.
	AppendMetrics(metrics []byte) []byte
}

// Handle answers one call.
func (h *Handler) Handle(ctx context.Context, method, path string) (status int, body []byte) {
	if h.Fleet != nil && strings.HasPrefix(path, pathFleet) {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		if status, body, ok := h.Fleet.Handle(ctx, method, path); ok {
			return status, body
		}
	}
	if server, ok := strings.CutPrefix(path, pathDisable); ok {
		return h.setDisabled(ctx, method, server, true)
	}
	if server, ok := strings.CutPrefix(path, pathEnable); ok {
		return h.setDisabled(ctx, method, server, false)
	}
	switch path {
	case pathReady:
		return h.ready(method)
	case pathMetrics:
		return h.metrics(method)
	}
	return http.StatusNotFound, []byte("no such call\n")
}

// ready answers whether the router is ready.
func (h *Handler) ready(method string) (int, []byte) {
	switch {
	case method != http.MethodGet:
		return wrongMethod(http.MethodGet)
	case !h.Ready():
		return http.StatusServiceUnavailable, []byte("not ready\n")
	}
	return http.StatusOK, []byte("ready\n")
}

// metrics answers with the metrics of the router and of its fleet.
func (h *Handler) metrics(method string) (int, []byte) {
	if method != http.MethodGet {
		return wrongMethod(http.MethodGet)
	}
	body := h.Metrics().AppendPrometheus(nil)
	if h.Fleet != nil {
		body = h.Fleet.AppendMetrics(body)
	}
	return http.StatusOK, body
}

// setDisabled disables or enables the server that a path names.
func (h *Handler) setDisabled(ctx context.Context, method, server string, disabled bool) (int, []byte) {
	if method != http.MethodPost {
		return wrongMethod(http.MethodPost)
	}
	id, err := routing.ParseServerID(server)
	if err != nil {
		return http.StatusNotFound, []byte(err.Error() + "\n")
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err = h.SetDisabled(ctx, id, disabled)
	switch {
	case errors.Is(err, discovery.ErrUnknownServer):
		return http.StatusNotFound, []byte(err.Error() + "\n")
	case err != nil:
		return http.StatusServiceUnavailable, []byte(err.Error() + "\n")
	}
	return http.StatusOK, []byte("done\n")
}

func wrongMethod(want string) (int, []byte) {
	return http.StatusMethodNotAllowed, []byte(want + " only\n")
}
