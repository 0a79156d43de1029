package admin

import "fmt"

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
	HeapBytes          int64 // memory of the objects in the Go heap, those not collected yet included
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
	return text
}

func appendOperations(text []byte, class, status string, count int64) []byte {
	return fmt.Appendf(text, "app_operations_total{priority=%q,status=%q} %d\n", class, status, count)
}

func appendMetric(text []byte, name, kind string, value int64) []byte {
	return fmt.Appendf(text, "# TYPE app_%[1]s %[2]s\napp_%[1]s %[3]d\n", name, kind, value)
}
