package main

import "fmt"

// fleetCounters lists the fleet's counters that GET /metrics shows. The names are without their
// prefix fleet_.
var fleetCounters = []string{
	"packets_in", "packets_out", "bytes_in", "bytes_out",
	"failed", "refuted", "conflict", "strangers",
	"other_versions", "other_fleets", "unopened", "broken_packets",
	"over_budget", "crowded_out",
}

// AppendMetrics appends the fleet's metrics in the text format of Prometheus.
func (f *fleetServices) AppendMetrics(text []byte) []byte {
	status := f.Status()
	byState := map[string]int{}
	for i := range status.Members {
		byState[status.Members[i].State]++
	}
	text = append(text, "# TYPE app_fleet_members gauge\n"...)
	for _, state := range []string{"alive", "suspect", "failed", "left"} {
		text = fmt.Appendf(text, "app_fleet_members{state=%q} %d\n", state, byState[state])
	}
	text = append(text, "# TYPE app_fleet_stance gauge\n"...)
	for _, state := range []string{"together", "partial", "alone"} {
		active := 0
		if state == status.Connectivity {
			active = 1
		}
		text = fmt.Appendf(text, "app_fleet_stance{stance=%q} %d\n", state, active)
	}
	text = appendGauge(text, "known", status.Known)
	text = appendGauge(text, "slowness", status.HealthScore)
	text = appendGauge(text, "bans", len(status.Bans))
	text = appendGauge(text, "deferred_enables", len(status.DeferredEnables))
	for _, name := range fleetCounters {
		total := f.metrics.Counter("fleet_" + name).Load()
		text = fmt.Appendf(text, "# TYPE app_fleet_%s_total counter\napp_fleet_%s_total %d\n", name, name, total)
	}
	return text
}

func appendGauge(text []byte, name string, value int) []byte {
	return fmt.Appendf(text, "# TYPE app_fleet_%s gauge\napp_fleet_%s %d\n", name, name, value)
}
