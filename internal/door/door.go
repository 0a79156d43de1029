// Package door answers the calls of staff: whether the router is ready, its figures,
// and which caches it leaves out. It speaks no wire; a front carries it.
package door

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"garnetline/decide"
	"garnetline/internal/changelog"
)

// answerIn is how long a call may wait for the list's actor: a caller waits 1 s.
const answerIn = 800 * time.Millisecond

// Door is what the pages are made of.
type Door struct {
	Ready   func() bool
	Figures func() Figures // as of now
	Switch  func(ctx context.Context, id decide.ServerID, out bool) error
	Fleet   Fleet // nil: the router knows no others, and has no such calls
}

// Fleet is what the router knows of the others: the calls below /fleet, and figures for
// /metrics.
type Fleet interface {
	Page(ctx context.Context, method, path string) (status int, body []byte, ok bool)
	Append(metrics []byte) []byte
}

// Figures are the numbers that staff see.
type Figures struct {
	Classes  []Class
	Relayed  int64 // attempts written whole to caches
	Open     int64 // requests taken and not ended
	Listed   int64 // servers on the list
	Avoided  int64 // of those, how many get nothing new
	Accepted int64 // configurations gone over to
	Invalid  int64 // and refused
}

// Class counts the requests of one class by how they ended.
type Class struct {
	Name                    string
	Served, Refused, Failed int64
}

// Page answers one call.
func (d *Door) Page(ctx context.Context, method, path string) (status int, body []byte) {
	if d.Fleet != nil && strings.HasPrefix(path, "/fleet") {
		ctx, stop := context.WithTimeout(ctx, answerIn)
		defer stop()
		if status, body, ok := d.Fleet.Page(ctx, method, path); ok {
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
		return d.turn(ctx, id, disable)
	case path == "/metrics" && d.Fleet != nil:
		return 200, d.Fleet.Append(d.Figures().Append(nil))
	case path == "/metrics":
		return 200, d.Figures().Append(nil)
	case !d.Ready():
		return 503, []byte("not ready\n")
	}
	return 200, []byte("ready\n")
}

// turn takes a cache out of use, or back.
func (d *Door) turn(ctx context.Context, text string, out bool) (int, []byte) {
	id, err := decide.ParseServerID(text)
	if err != nil {
		return 404, []byte(err.Error() + "\n")
	}
	ctx, stop := context.WithTimeout(ctx, answerIn)
	defer stop()
	switch err := d.Switch(ctx, id, out); {
	case errors.Is(err, changelog.ErrUnknown):
		return 404, []byte(err.Error() + "\n")
	case err != nil:
		return 503, []byte(err.Error() + "\n")
	}
	return 200, []byte("done\n")
}

// Append appends the figures in the text form of Prometheus.
func (f Figures) Append(b []byte) []byte {
	b = append(b, "# TYPE app_operations_total counter\n"...)
	for _, c := range f.Classes {
		for _, x := range []struct {
			status string
			n      int64
		}{{"fulfilled", c.Served}, {"throttled", c.Refused}, {"faulted", c.Failed}} {
			b = fmt.Appendf(b, "app_operations_total{priority=%q,status=%q} %d\n", c.Name, x.status, x.n)
		}
	}
	for _, x := range []struct {
		name, kind string
		n          int64
	}{
		{"relayed_total", "counter", f.Relayed}, {"open_requests", "gauge", f.Open},
		{"registry_entries", "gauge", f.Listed}, {"out_of_rotation", "gauge", f.Avoided},
		{"cfg_accepted_total", "counter", f.Accepted}, {"cfg_invalid_total", "counter", f.Invalid},
	} {
		b = fmt.Appendf(b, "# TYPE app_%s %s\napp_%s %d\n", x.name, x.kind, x.name, x.n)
	}
	return b
}
