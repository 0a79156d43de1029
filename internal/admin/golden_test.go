package admin

import (
	"context"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"garnetline/internal/discovery"
	"garnetline/internal/fleet"
	"garnetline/internal/fleet/bans"
	"garnetline/internal/fleet/leasemanager"
	"garnetline/internal/golden"
	"garnetline/routing"
)

// fakeFleet answers /fleet and appends one metric.
type fakeFleet struct{}

func (fakeFleet) Handle(_ context.Context, method, path string) (int, []byte, bool) {
	return 200, []byte("fleet's " + method + "\n"), path == "/fleet"
}

func (fakeFleet) AppendMetrics(b []byte) []byte { return append(b, "app_fleet_figure 1\n"...) }

// TestGoldenCalls compares the paths, methods, statuses and bodies of the admin API with a golden
// file.
func TestGoldenCalls(t *testing.T) {
	ready := true
	handler := &Handler{Ready: func() bool { return ready },
		Metrics: func() Metrics {
			return Metrics{Classes: []ClassMetrics{{Name: "part", Served: 1, Rejected: 2, Failed: 3}, {Name: "a \"b\"", Served: 4}}, Relayed: 5,
				OpenRequests: 6, ListedServers: 7, UnavailableServers: 8, ReloadsAccepted: 9, ReloadsRejected: 10,
				PendingTimers: 11, HeapBytes: 12, WatchFrames: 13, WatchStale: 1, Processes: 2, ResidentBytes: 14, MemoryBudgetBytes: 15,
				Memory: []MemoryMetrics{{Account: "bodies", Bytes: 16, Refused: 17}, {Account: "responses", Bytes: 18}}}
		},
		SetDisabled: func(_ context.Context, id routing.ServerID, _ bool) error {
			switch id {
			case 8:
				return discovery.ErrUnknownServer
			case 9:
				return context.DeadlineExceeded
			}
			return nil
		}}
	var out strings.Builder
	for _, handler.Fleet = range []Fleet{nil, fakeFleet{}} {
		for _, ready = range []bool{true, false} {
			fmt.Fprintf(&out, "== fleet %v, ready %v\n", handler.Fleet != nil, ready)
			for _, path := range []string{"/ready", "/metrics", "/caches/disable/s-00000001", "/caches/enable/s-00000001",
				"/caches/disable/s-00000008", "/caches/disable/s-00000009", "/caches/disable/8", "/caches/disable", "/fleet", "/fleet/other", "/"} {
				for _, method := range []string{"GET", "POST"} {
					status, body := handler.Handle(t.Context(), method, path)
					fmt.Fprintf(&out, "%s %s: %d\n%s", method, path, status, body)
				}
			}
		}
	}
	golden.Compare(t, "pages.golden", []byte(out.String()))
}

// jsonKeys writes the path and the kind of each JSON key that encoding/json produces for a type.
func jsonKeys(out *strings.Builder, path string, value reflect.Type) {
	switch value.Kind() {
	case reflect.Pointer:
		jsonKeys(out, path, value.Elem())
	case reflect.Slice:
		jsonKeys(out, path+"[]", value.Elem())
	case reflect.Struct:
		for i := range value.NumField() {
			field := value.Field(i)
			name, options, _ := strings.Cut(field.Tag.Get("json"), ",")
			if name == "" {
				name = field.Name
			}
			if options != "" {
				options = "," + options
			}
			jsonKeys(out, path+"."+name+options, field.Type)
		}
	default:
		fmt.Fprintf(out, "%s %s\n", path, value.Kind())
	}
}

// TestGoldenJSON compares the keys of the JSON responses at and below /fleet with a golden file.
func TestGoldenJSON(t *testing.T) {
	var out strings.Builder
	for _, page := range []struct {
		path    string
		content any
	}{
		{"/fleet ", fleet.Status{}}, {"/fleet/duties register", leasemanager.Status{}}, {"/fleet/duties held[]", leasemanager.Lease{}}, {"/fleet/bans ", bans.Status{}},
	} {
		jsonKeys(&out, page.path, reflect.TypeOf(page.content))
	}
	golden.Compare(t, "json.golden", []byte(out.String()))
}
