package admin

import (
	"context"
	"strings"
	"testing"

	"garnetline/internal/discovery"
	"garnetline/routing"
)

// TestHandle checks the statuses and the metrics of the admin API, and that servers are disabled
// and enabled.
func TestHandle(t *testing.T) {
	var disabled []routing.ServerID
	ready := false
	handler := &Handler{Ready: func() bool { return ready },
		Metrics: func() Metrics {
			return Metrics{Classes: []ClassMetrics{{Name: "part", Served: 812, Rejected: 3, Failed: 1}}, Relayed: 900, OpenRequests: 14, ListedServers: 9, UnavailableServers: 2}
		},
		SetDisabled: func(_ context.Context, id routing.ServerID, disable bool) error {
			switch {
			case id == 8:
				return discovery.ErrUnknownServer
			case id == 9:
				return context.DeadlineExceeded
			case disable:
				disabled = append(disabled, id)
			default:
				disabled = nil
			}
			return nil
		}}
	for _, test := range []struct {
		method, path string
		status       int
		disabled     int // number of disabled servers after the request
	}{
		{"GET", "/ready", 503, 0},
		{"GET", "/other", 404, 0},
		{"POST", "/ready", 405, 0},
		{"GET", "/caches/disable/s-00000007", 405, 0},
		{"POST", "/caches/disable/7", 404, 0},
		{"POST", "/caches/disable/s-00000008", 404, 0},
		{"POST", "/caches/disable/s-00000009", 503, 0},
		{"POST", "/caches/disable/s-00c41f7a", 200, 1},
		{"POST", "/caches/enable/s-00c41f7a", 200, 0},
	} {
		if status, _ := handler.Handle(t.Context(), test.method, test.path); status != test.status || len(disabled) != test.disabled {
			t.Errorf("%s %s: got status %d and disabled servers %v, want status %d and %d disabled servers", test.method, test.path, status, disabled, test.status, test.disabled)
		}
	}
	ready = true
	if status, _ := handler.Handle(t.Context(), "GET", "/ready"); status != 200 {
		t.Error(status)
	}
	_, page := handler.Handle(t.Context(), "GET", "/metrics")
	for _, want := range []string{`app_operations_total{priority="part",status="fulfilled"} 812`, `{priority="part",status="throttled"} 3`,
		`{priority="part",status="faulted"} 1`, "\napp_relayed_total 900\n", "\napp_open_requests 14\n", "\napp_registry_entries 9\n", "\napp_out_of_rotation 2\n"} {
		if !strings.Contains(string(page), want) {
			t.Errorf("metrics: want %q in\n%s", want, page)
		}
	}
}
