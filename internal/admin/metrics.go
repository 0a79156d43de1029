package admin

import (
	"fmt"

	"garnetline/internal/discovery"
)

// Metrics holds the router's own values for GET /metrics. The fleet's metrics are not among them.
type Metrics struct {
	Classes            []ClassMetrics
	Relayed            int64 // attempts whose request was completely written to a server
	OpenRequests       int64 // requests accepted and not yet ended
	ListedServers      int64
	UnavailableServers int64 // listed servers that get no new requests
	ReloadsAccepted    int64
	ReloadsRejected    int64
	PendingTimers      int64 // timers of the dispatcher that have not fired yet
	WatchFrames        int64 // frames received from the change log
	WatchStale         int64 // 1 if the change log is cut off or not heard yet, so that events may be missing; 0 otherwise
	WatchStaleSince    int64 // if WatchStale is 1: time of the latest frame, or of the start, in Unix ms; 0 otherwise
	WatchStaleReason   discovery.StaleReason
	HeapBytes          int64 // memory of the objects in the Go heap, those not collected yet included
	Processes          int64 // running processes of the router, which share its limits
	ResidentBytes      int64 // memory of this process as the system counts it
	MemoryBudgetBytes  int64 // memory that this process may hold for clients
	Memory             []MemoryMetrics
}

// MemoryMetrics is what this process holds for clients in one account of its memory budget.
type MemoryMetrics struct {
	Account string
	Bytes   int64
	Refused int64 // reservations for which the budget had no room
}

// ClassMetrics counts the requests of one class by outcome.
type ClassMetrics struct {
	Name                     string
	Served, Rejected, Failed int64
}

// AppendPrometheus appends the metrics in the text format of Prometheus.
func (m Metrics) AppendPrometheus(text []byte) []byte {
	text = append(text, "# TYPE app_operations_total counter\n"...)
	for _, class := range m.Classes {
		text = appendOperations(text, class.Name, "fulfilled", class.Served)
		text = appendOperations(text, class.Name, "throttled", class.Rejected)
		text = appendOperations(text, class.Name, "faulted", class.Failed)
	}
	text = appendMetric(text, "relayed_total", "counter", m.Relayed)
	text = appendMetric(text, "open_requests", "gauge", m.OpenRequests)
	text = appendMetric(text, "registry_entries", "gauge", m.ListedServers)
	text = appendMetric(text, "out_of_rotation", "gauge", m.UnavailableServers)
	text = appendMetric(text, "cfg_accepted_total", "counter", m.ReloadsAccepted)
	text = appendMetric(text, "cfg_invalid_total", "counter", m.ReloadsRejected)
	text = appendMetric(text, "pending_timers", "gauge", m.PendingTimers)
	text = appendMetric(text, "heap_bytes", "gauge", m.HeapBytes)
	text = appendMetric(text, "watch_frames_total", "counter", m.WatchFrames)
	text = appendMetric(text, "watch_stale", "gauge", m.WatchStale)
	text = appendMetric(text, "watch_stale_since_ms", "gauge", m.WatchStaleSince)
	text = appendReasons(text, m.WatchStaleReason)
	text = appendMetric(text, "processes", "gauge", m.Processes)
	text = appendMetric(text, "resident_bytes", "gauge", m.ResidentBytes)
	text = appendMetric(text, "memory_budget_bytes", "gauge", m.MemoryBudgetBytes)
	text = append(text, "# TYPE app_memory_held_bytes gauge\n"...)
	for _, account := range m.Memory {
		text = fmt.Appendf(text, "app_memory_held_bytes{holder=%q} %d\n", account.Account, account.Bytes)
	}
	text = append(text, "# TYPE app_memory_refused_total counter\n"...)
	for _, account := range m.Memory {
		text = fmt.Appendf(text, "app_memory_refused_total{holder=%q} %d\n", account.Account, account.Refused)
	}
	return text
}

// appendReasons appends a metric for each reason for which the watch of the change log may be stale: 1 for
// the current reason, 0 for the others.
func appendReasons(text []byte, current discovery.StaleReason) []byte {
	text = append(text, "# TYPE app_watch_stale_reason gauge\n"...)
	for _, reason := range discovery.StaleReasons {
		value := 0
		if reason == current {
			value = 1
		}
		text = fmt.Appendf(text, "app_watch_stale_reason{reason=%q} %d\n", reason, value)
	}
	return text
}

func appendOperations(text []byte, class, status string, count int64) []byte {
	return fmt.Appendf(text, "app_operations_total{priority=%q,status=%q} %d\n", class, status, count)
}

func appendMetric(text []byte, name, kind string, value int64) []byte {
	return fmt.Appendf(text, "# TYPE app_%[1]s %[2]s\napp_%[1]s %[3]d\n", name, kind, value)
}
