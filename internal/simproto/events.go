package simproto

import (
	"math"
	"strconv"
	"strings"

	"garnetline/routing"
)

// resultsByStatus maps the status of an attempt or a probe in the protocol to its result.
var resultsByStatus = map[string]routing.Result{
	"served":          routing.Served,
	"server_error":    routing.ServerError,
	"turned_away":     routing.Rejected,
	"no_answer":       routing.TimedOut,
	"no_connection":   routing.ConnectFailed,
	"connection_lost": routing.ConnectionLost,
	"called_off":      routing.Canceled,
	"not_sent":        routing.NotSent,
	"not_stored":      routing.NotCached,
}

// readEvent parses the current line as the event with the given message name. If no routing decision
// uses the message, readEvent only validates the line and returns a nil event.
func (r *Reader) readEvent(name string) (routing.Event, error) {
	fields := &r.fields
	var event routing.Event
	switch name {
	case messageEndpointUpdate:
		event = r.endpointUpdate()
	case messageRequest:
		event = fields.request()
	case messageOutcome:
		event = fields.outcome(r.loadFields[r.instance])
	case messageTimerFired:
		event = routing.TimerFired{Token: fields.unsigned("nonce", maxTimerToken)}
	case messagePurge:
		event = fields.purge()
	case messageClientDisconnected:
		event = routing.ClientDisconnected{ID: fields.requestID()}
	case messageFirstByte:
		fields.skipFirstByte()
	case messageProbeResult:
		fields.skipProbeResult(r.loadFields[r.instance])
	case messageFromPeer:
		fields.skipPeerMessage()
	default:
		return nil, r.errorf("unknown message %q", name)
	}
	return event, fields.end()
}

// endpointUpdate reads an update of the endpoint list. The line of an update contains no servers. It
// contains the number of a server list that was read earlier.
func (r *Reader) endpointUpdate() routing.EndpointUpdate {
	fields := &r.fields
	form := updateForm(fields.unsigned("form", uint64(formFailed)))
	fields.unsigned("revision", math.MaxUint64)
	if form == formFailed {
		fields.next("roster_id")
		return routing.EndpointUpdate{Failed: true}
	}
	servers, known := r.serverLists[fields.unsigned("roster_id", maxServerList)]
	if !known {
		fields.failf("roster_id", "no earlier CATALOG defines a server list with this number")
	}
	return routing.EndpointUpdate{Snapshot: form != formDelta, Servers: servers}
}

// server reads the line of one server in a server list.
func (f *fieldReader) server() (routing.Server, error) {
	server := routing.Server{
		ID:        f.serverID(),
		Zone:      f.index("site"),
		Kind:      f.index("model"),
		Cell:      f.index("pack"),
		Phase:     routing.Phase(f.unsigned("phase", uint64(routing.Draining))),
		Weight:    f.float("power_hint"),
		StartedAt: f.duration("last_start_us"),
	}
	return server, f.end()
}

// request reads the line of a client's request.
func (f *fieldReader) request() routing.Request {
	request := routing.Request{
		ID:         f.requestID(),
		PurgeGroup: f.index("label_no"),
		Timeout:    f.duration("grace_us"),
		Chunk:      f.index("slice"),
	}
	f.index("project")
	request.ClientRetry = f.index("opts")&requestOptionClientRetry != 0
	request.Object = f.object("key")
	request.SizeKB = f.float("length_kb")
	request.Class = f.index("class")
	return request
}

// outcome reads the line that reports the end of an attempt. loadFields are the names of the values
// in the load report on that line.
func (f *fieldReader) outcome(loadFields []string) routing.Outcome {
	return routing.Outcome{
		ID:          f.requestID(),
		Result:      f.result(),
		Server:      f.serverID(),
		FillWait:    f.duration("waited_us"),
		CacheStatus: routing.CacheStatus(f.unsigned("note", uint64(routing.OriginFailed))),
		Duration:    f.duration("cost_time_us"),
		Attempt:     f.index("leg"),
		RequestDone: f.flag("done_flag"),
		Load:        f.loadReport(loadFields),
	}
}

// purge reads the line that purges an object or a group of objects.
func (f *fieldReader) purge() routing.Purge {
	return routing.Purge{
		Group:  f.index("set_no"),
		Age:    f.duration("how_old_us"),
		Object: f.object("key"),
	}
}

// skipFirstByte validates the line that reports the first byte of a streamed response.
func (f *fieldReader) skipFirstByte() {
	f.requestID()
	f.duration("cost_time_us")
	f.serverID()
	f.index("leg")
}

// skipProbeResult validates the line that reports the result of a probe. loadFields are the names
// of the values in the load report on that line.
func (f *fieldReader) skipProbeResult(loadFields []string) {
	f.duration("cost_time_us")
	f.result()
	f.serverID()
	f.loadReport(loadFields)
}

// skipPeerMessage validates the line of a message from another instance.
func (f *fieldReader) skipPeerMessage() {
	f.index("author")
	f.next("msg")
}

// result reads the status of a finished attempt or probe and returns the matching result.
func (f *fieldReader) result() routing.Result {
	status := f.next("status")
	result, known := resultsByStatus[status]
	if !known {
		f.failf("status", "unknown status %q", status)
	}
	return result
}

// loadReport reads the load report of a server. loadFields are the names of the reported values, in
// the order of the values. A value that was not reported is NaN.
func (f *fieldReader) loadReport(loadFields []string) routing.LoadReport {
	const field = "pressure"
	report := routing.LoadReport{
		Inflight:        math.NaN(),
		CPUUtilization:  math.NaN(),
		HitRatio:        math.NaN(),
		LinkUtilization: math.NaN(),
	}
	text := f.next(field)
	if text == absentValue {
		return report
	}
	values := strings.Split(text, ",")
	if len(values) != len(loadFields) {
		f.failf(field, "got %d values in the load report, expected %d", len(values), len(loadFields))
		return report
	}
	for i, value := range values {
		if value == absentValue {
			continue
		}
		number, err := strconv.ParseFloat(value, 64)
		if err != nil || math.IsNaN(number) || math.IsInf(number, 0) {
			f.failf(field, "expected a finite number, got %q", value)
			return report
		}
		setLoad(&report, loadFields[i], number)
	}
	return report
}

// setLoad sets one value of a load report. loadField is the protocol's name of the value. Values
// that the router does not use are ignored.
func setLoad(report *routing.LoadReport, loadField string, value float64) {
	switch loadField {
	case loadInflight:
		report.Inflight = value
	case loadCPUUtilization:
		report.CPUUtilization = value
	case loadHitRatio:
		report.HitRatio = value
	case loadLinkUtilization:
		report.LinkUtilization = value
	}
}
