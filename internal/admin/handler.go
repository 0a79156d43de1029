// Package admin implements the admin API: it answers whether the router is ready, shows its
// metrics, and lets operators disable and enable servers. The package opens no socket; an HTTP
// front end passes the requests to a Handler. A Handler has no state of its own and is safe for
// concurrent use.
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

// callTimeout bounds how long a request waits for the watcher of the endpoint list or for the
// fleet. It is shorter than the one second that API clients wait.
const callTimeout = 800 * time.Millisecond

// Paths of the API. A server id follows pathDisable and pathEnable.
const (
	pathFleet   = "/fleet" // Fleet answers this path and all paths below it
	pathReady   = "/ready"
	pathMetrics = "/metrics"
	pathDisable = "/caches/disable/"
	pathEnable  = "/caches/enable/"
)

// Handler answers requests to the admin API. Its functions connect it to the rest of the router.
type Handler struct {
	// Ready reports whether the router can serve requests.
	Ready func() bool
	// Metrics returns the current values of the metrics.
	Metrics func() Metrics
	// SetDisabled disables a server if disabled is true, and enables it otherwise. It returns
	// discovery.ErrUnknownServer if the server is unknown.
	SetDisabled func(ctx context.Context, server routing.ServerID, disabled bool) error
	// Fleet answers the requests at and below /fleet. It is nil if the router has no fleet.
	Fleet Fleet
}

// Fleet is the part of the admin API that covers the fleet of routers.
type Fleet interface {
	// Handle answers a request at or below /fleet. It returns ok == false if it does not support the
	// path or the method.
	Handle(ctx context.Context, method, path string) (status int, body []byte, ok bool)
	// AppendMetrics appends the fleet's metrics in the text format of Prometheus.
	AppendMetrics(metrics []byte) []byte
}

// Handle answers one request with an HTTP status and a body.
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
	return http.StatusNotFound, []byte("not found\n")
}

// ready answers with status 200 if the router is ready, else with 503.
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

// setDisabled disables or enables a server, whose id is the last segment of the path.
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
