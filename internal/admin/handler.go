// Package door answers the calls of staff: whether the router is ready, its figures,
// and which caches it leaves out. It speaks no wire; a front carries it.
package admin

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"garnetline/internal/discovery"
	"garnetline/routing"
)

// callTimeout is how long a call may wait for the list's actor: a caller waits 1 s.
const callTimeout = 800 * time.Millisecond

// Handler is what the pages are made of.
type Handler struct {
	Ready       func() bool
	Metrics     func() Metrics // as of now
	SetDisabled func(ctx context.Context, id routing.ServerID, out bool) error
	Fleet       Fleet // nil: the router knows no others, and has no such calls
}

// Fleet is what the router knows of the others: the calls below /fleet, and figures for
// /metrics.
type Fleet interface {
	Handle(ctx context.Context, method, path string) (status int, body []byte, ok bool)
	AppendMetrics(metrics []byte) []byte
}

// Metrics are the numbers that staff see.
type Metrics struct {
	Classes            []ClassMetrics
	Relayed            int64 // attempts written whole to caches
	OpenRequests       int64 // requests taken and not ended
	ListedServers      int64 // servers on the list
	UnavailableServers int64 // of those, how many get nothing new
	ReloadsAccepted    int64 // configurations gone over to
	ReloadsRejected    int64 // and refused
}

// ClassMetrics counts the requests of one class by how they ended.
type ClassMetrics struct {
	Name                     string
	Served, Rejected, Failed int64
}

// Handle answers one call.
func (d *Handler) Handle(ctx context.Context, method, path string) (status int, body []byte) {
	if d.Fleet != nil && strings.HasPrefix(path, "/fleet") {
		ctx, stop := context.WithTimeout(ctx, callTimeout)
		defer stop()
		if status, body, ok := d.Fleet.Handle(ctx, method, path); ok {
			return status, body
		}
	}
	want := "GET"
	id, disable := strings.CutPrefix(path, "/caches/disable/")
	enable := false
	if !disable {
		id, enable = strings.CutPrefix(path, "/caches/enable/")
	}
	switch {
	case disable || enable:
		want = "POST"
	case path != "/ready" && path != "/metrics":
		return 404, []byte("no such call\n")
	}
	switch {
	case method != want:
		return 405, []byte(want + " only\n")
	case want == "POST":
		return d.setDisabled(ctx, id, disable)
	case path == "/metrics" && d.Fleet != nil:
		return 200, d.Fleet.AppendMetrics(d.Metrics().AppendPrometheus(nil))
	case path == "/metrics":
		return 200, d.Metrics().AppendPrometheus(nil)
	case !d.Ready():
		return 503, []byte("not ready\n")
	}
	return 200, []byte("ready\n")
}

// setDisabled takes a cache out of use, or back.
func (d *Handler) setDisabled(ctx context.Context, text string, out bool) (int, []byte) {
	id, err := routing.ParseServerID(text)
	if err != nil {
		return 404, []byte(err.Error() + "\n")
	}
	ctx, stop := context.WithTimeout(ctx, callTimeout)
	defer stop()
	switch err := d.SetDisabled(ctx, id, out); {
	case errors.Is(err, discovery.ErrUnknownServer):
		return 404, []byte(err.Error() + "\n")
	case err != nil:
		return 503, []byte(err.Error() + "\n")
	}
	return 200, []byte("done\n")
}

// AppendPrometheus appends the figures in the text form of Prometheus.
func (f Metrics) AppendPrometheus(b []byte) []byte {
	b = append(b, "# TYPE app_operations_total counter\n"...)
	for _, c := range f.Classes {
		for _, x := range []struct {
			status string
			n      int64
		}{{"fulfilled", c.Served}, {"throttled", c.Rejected}, {"faulted", c.Failed}} {
			b = fmt.Appendf(b, "app_operations_total{priority=%q,status=%q} %d\n", c.Name, x.status, x.n)
		}
	}
	for _, x := range []struct {
		name, kind string
		n          int64
	}{
		{"relayed_total", "counter", f.Relayed}, {"open_requests", "gauge", f.OpenRequests},
		{"registry_entries", "gauge", f.ListedServers}, {"out_of_rotation", "gauge", f.UnavailableServers},
		{"cfg_accepted_total", "counter", f.ReloadsAccepted}, {"cfg_invalid_total", "counter", f.ReloadsRejected},
	} {
		b = fmt.Appendf(b, "# TYPE app_%s %s\napp_%s %d\n", x.name, x.kind, x.name, x.n)
	}
	return b
}
