// Package simproto reads and writes the line protocol between the routers'
// decisions and whatever carries them out. It parses, formats and validates;
// it decides nothing.
package simproto

import (
	"bufio"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"
	"time"

	"garnetline/routing"
)

// Kind tells what an Item is about.
type MessageKind int

// The kinds of items in a batch.
const (
	InstanceEvent MessageKind = iota // an event for a running instance
	InstanceStart                    // an instance starts, with nothing but its settings
	InstanceStop                     // an instance was killed
)

// Item is one message of a batch, for one instance.
type Message struct {
	Instance int
	Kind     MessageKind
	Event    routing.Event    // for Event; nil where it is of no use to a decision
	Seed     uint64           // for Begin
	Settings routing.Settings // for Begin
}

// Batch is all that happened at one time.
type Batch struct {
	Now      time.Duration
	Messages []Message
}

// Error tells what is wrong with a line.
type ParseError struct {
	Line   int
	Field  string
	Reason string
}

func (e *ParseError) Error() string {
	return fmt.Sprintf("line %d: field %s: %s", e.Line, e.Field, e.Reason)
}

const (
	maxRequestID    = 1<<52 - 1
	maxServerID     = 1<<32 - 1
	maxTimerToken   = 1 << 63
	maxMicroseconds = math.MaxInt64 / 1000 // microseconds that fit a time.Duration
	maxIndex        = 1 << 31
)

// Reader reads batches. The numbered server lists outlive a batch, since
// later messages may name them.
type Reader struct {
	input       *bufio.Reader
	line        int
	serverLists map[uint64][]routing.Server
	loadFields  map[int][]string // names of the values of a load report, by instance
	instance    int
	fields      fieldReader
}

// NewReader returns a Reader on in.
func NewReader(input io.Reader) *Reader {
	return &Reader{input: bufio.NewReaderSize(input, 1<<20), serverLists: map[uint64][]routing.Server{}, loadFields: map[int][]string{}}
}

// Next reads one batch. It returns io.EOF where the input ends between
// batches, and an *Error for anything else that is not as it should be.
func (r *Reader) Next() (Batch, error) {
	var batch Batch
	name, err := r.readLine()
	if err != nil {
		return batch, err
	}
	if name != "TURN" {
		return batch, r.errorf("message", "want TURN, got %q", name)
	}
	batch.Now = r.fields.duration("clock_us")
	if err := r.fields.end(); err != nil {
		return batch, err
	}
	r.instance = -1
	for {
		name, err := r.readLine()
		if err == io.EOF {
			return batch, r.errorf("message", "input ends inside a batch")
		}
		if err != nil {
			return batch, err
		}
		if name == "END" {
			return batch, r.fields.end()
		}
		message, ok, err := r.readMessage(name)
		if err != nil {
			return batch, err
		}
		if ok {
			batch.Messages = append(batch.Messages, message)
		}
	}
}

func (r *Reader) errorf(field, format string, values ...any) error {
	return &ParseError{r.line, field, fmt.Sprintf(format, values...)}
}

// read takes the next line and splits it; it returns the message's name.
func (r *Reader) readLine() (string, error) {
	text, err := r.input.ReadString('\n')
	if err == io.EOF && text == "" {
		return "", io.EOF
	}
	if err != nil && err != io.EOF {
		return "", fmt.Errorf("read: %w", err)
	}
	r.line++
	if err == io.EOF {
		return "", r.errorf("message", "line is cut short")
	}
	name, values, hasValues := strings.Cut(strings.TrimSuffix(text, "\n"), " ")
	r.fields = fieldReader{line: r.line, rest: values, hasMore: hasValues}
	return name, nil
}

// message parses one message; ok is false where it makes no item by itself.
func (r *Reader) readMessage(name string) (message Message, ok bool, err error) {
	fields := &r.fields
	switch name {
	case "SELECT":
		r.instance = int(fields.unsigned("who", maxIndex))
		return message, false, fields.end()
	case "CATALOG":
		return message, false, r.readServerList()
	}
	if r.instance < 0 {
		return message, false, r.errorf("message", "%q before any SELECT, or unknown", name)
	}
	message.Instance = r.instance
	switch name {
	case "BEGIN":
		message.Kind = InstanceStart
		message.Seed = fields.unsigned("random_seed", math.MaxUint64)
		var report []string
		message.Settings, report = fields.settings()
		r.loadFields[r.instance] = report
	case "TEARDOWN":
		message.Kind = InstanceStop
	case "DIRECTORY_UPDATE":
		message.Event = r.endpointUpdate()
	case "INGRESS":
		message.Event = fields.request()
	case "VERDICT":
		message.Event = fields.outcome(r.loadFields[r.instance])
	case "WAKEUP":
		message.Event = routing.TimerFired{Token: fields.unsigned("nonce", maxTimerToken)}
	case "OUTDATED":
		message.Event = routing.Purge{Group: int(fields.unsigned("set_no", maxIndex)), Age: fields.duration("how_old_us"), Object: fields.object("key")}
	case "LEFT":
		message.Event = routing.ClientDisconnected{ID: routing.RequestID(fields.unsigned("id", maxRequestID))}
	case "FIRST_BYTE":
		fields.unsigned("id", maxRequestID)
		fields.duration("cost_time_us")
		fields.unsigned("server", maxServerID)
		fields.unsigned("leg", maxIndex)
	case "PROBED":
		fields.duration("cost_time_us")
		fields.result("status")
		fields.unsigned("server", maxServerID)
		fields.loadReport("pressure", r.loadFields[r.instance])
	case "MEMO":
		fields.unsigned("author", maxIndex)
		fields.next("msg")
	default:
		return message, false, r.errorf("message", "unknown message %q", name)
	}
	return message, message.Kind != InstanceEvent || message.Event != nil, fields.end()
}

// catalog reads a numbered list of servers.
func (r *Reader) readServerList() error {
	number, count := r.fields.unsigned("roster_id", 15), r.fields.unsigned("rows_in", maxIndex)
	if err := r.fields.end(); err != nil {
		return err
	}
	var servers []routing.Server
	for ; count > 0; count-- {
		name, err := r.readLine()
		if err != nil && err != io.EOF {
			return err
		}
		if name != "ITEM" {
			return r.errorf("message", "want ITEM, got %q", name)
		}
		fields := &r.fields
		server := routing.Server{
			ID:        routing.ServerID(fields.unsigned("server", maxServerID)),
			Zone:      int(fields.unsigned("site", maxIndex)),
			Kind:      int(fields.unsigned("model", maxIndex)),
			Cell:      int(fields.unsigned("pack", maxIndex)),
			Phase:     routing.Phase(fields.unsigned("phase", 2)),
			Weight:    fields.float("power_hint"),
			StartedAt: fields.duration("last_start_us"),
		}
		if err := fields.end(); err != nil {
			return err
		}
		servers = append(servers, server)
	}
	r.serverLists[number] = servers
	return nil
}

func (r *Reader) endpointUpdate() routing.Event {
	fields := &r.fields
	form := fields.unsigned("form", 3)
	fields.unsigned("revision", math.MaxUint64)
	if form == 3 {
		fields.next("roster_id")
		return routing.EndpointUpdate{Failed: true}
	}
	number := fields.unsigned("roster_id", 15)
	servers, known := r.serverLists[number]
	if !known && fields.err == nil {
		fields.fail("roster_id", "no CATALOG with this number")
	}
	return routing.EndpointUpdate{Snapshot: form != 1, Servers: servers}
}

// fields takes the values of one line in turn. The first error sticks.
type fieldReader struct {
	line    int
	rest    string
	hasMore bool
	err     error
}

func (f *fieldReader) fail(field, reason string) {
	if f.err == nil {
		f.err = &ParseError{f.line, field, reason}
	}
}

// end reports the first error, or that values are left over.
func (f *fieldReader) end() error {
	if f.hasMore {
		f.fail("end of line", "too many values")
	}
	return f.err
}

func (f *fieldReader) next(field string) string {
	if !f.hasMore {
		f.fail(field, "missing")
		return "-"
	}
	var value string
	value, f.rest, f.hasMore = strings.Cut(f.rest, " ")
	if value == "" {
		f.fail(field, "empty")
	}
	return value
}

// num reads a whole number up to max; an absent one is 0.
func (f *fieldReader) unsigned(field string, limit uint64) uint64 {
	text := f.next(field)
	if text == "-" {
		return 0
	}
	number, err := strconv.ParseUint(text, 10, 64)
	if err != nil || number > limit {
		f.fail(field, fmt.Sprintf("%q is not a whole number up to %d", text, limit))
		return 0
	}
	return number
}

func (f *fieldReader) duration(field string) time.Duration {
	return time.Duration(f.unsigned(field, maxMicroseconds)) * time.Microsecond
}

// real reads a number that is not negative; an absent one is 0.
func (f *fieldReader) float(field string) float64 {
	text := f.next(field)
	if text == "-" {
		return 0
	}
	number, err := strconv.ParseFloat(text, 64)
	if err != nil || !(number >= 0) || math.IsInf(number, 0) {
		f.fail(field, fmt.Sprintf("%q is not a number from 0", text))
		return 0
	}
	return number
}

// object reads 16 hex digits; 0 and an absent one are no object.
func (f *fieldReader) object(field string) routing.ObjectID {
	text := f.next(field)
	if text == "-" || text == "0" {
		return 0
	}
	number, err := strconv.ParseUint(text, 16, 64)
	if err != nil || len(text) != 16 {
		f.fail(field, fmt.Sprintf("%q is not 16 hex digits", text))
	}
	return routing.ObjectID(number)
}

func (f *fieldReader) request() routing.Event {
	request := routing.Request{
		ID:         routing.RequestID(f.unsigned("id", maxRequestID)),
		PurgeGroup: int(f.unsigned("label_no", maxIndex)),
		Timeout:    f.duration("grace_us"),
		Chunk:      int(f.unsigned("slice", maxIndex)),
	}
	f.unsigned("project", maxIndex)
	request.ClientRetry = f.unsigned("opts", maxIndex)&2 != 0
	request.Object = f.object("key")
	request.SizeKB = f.float("length_kb")
	request.Class = int(f.unsigned("class", maxIndex))
	return request
}

var resultsByStatus = map[string]routing.Result{
	"served": routing.Served, "server_error": routing.ServerError, "turned_away": routing.Rejected,
	"no_answer": routing.TimedOut, "no_connection": routing.ConnectFailed, "connection_lost": routing.ConnectionLost,
	"called_off": routing.Canceled, "not_sent": routing.NotSent, "not_stored": routing.NotCached,
}

func (f *fieldReader) result(field string) routing.Result {
	status := f.next(field)
	result, known := resultsByStatus[status]
	if !known {
		f.fail(field, fmt.Sprintf("unknown status %q", status))
	}
	return result
}

func (f *fieldReader) outcome(loadFields []string) routing.Event {
	outcome := routing.Outcome{
		ID:          routing.RequestID(f.unsigned("id", maxRequestID)),
		Result:      f.result("status"),
		Server:      routing.ServerID(f.unsigned("server", maxServerID)),
		SourceWait:  f.duration("waited_us"),
		CacheStatus: routing.CacheStatus(f.unsigned("note", 10)),
		Duration:    f.duration("cost_time_us"),
	}
	outcome.Attempt = int(f.unsigned("leg", maxIndex))
	outcome.RequestDone = f.unsigned("done_flag", 1) == 1
	outcome.Load = f.loadReport("pressure", loadFields)
	return outcome
}

// load reads a load report, whose values come in the order of names.
func (f *fieldReader) loadReport(field string, names []string) routing.LoadReport {
	nan := math.NaN()
	report := routing.LoadReport{Inflight: nan, CPUUtilization: nan, HitRatio: nan, LinkUtilization: nan}
	text := f.next(field)
	if text == "-" {
		return report
	}
	values := strings.Split(text, ",")
	if len(values) != len(names) {
		f.fail(field, fmt.Sprintf("%d values, want %d", len(values), len(names)))
		return report
	}
	for i, value := range values {
		if value == "-" {
			continue
		}
		number, err := strconv.ParseFloat(value, 64)
		if err != nil || math.IsNaN(number) || math.IsInf(number, 0) {
			f.fail(field, fmt.Sprintf("%q is not a number", value))
			return report
		}
		switch names[i] {
		case "active":
			report.Inflight = number
		case "cpu":
			report.CPUUtilization = number
		case "x0":
			report.HitRatio = number
		case "x1":
			report.LinkUtilization = number
		}
	}
	return report
}

// AppendBy appends the line that gives the following actions to an instance.
func AppendInstance(dst []byte, instance int) []byte {
	return append(strconv.AppendInt(append(dst, "BY "...), int64(instance), 10), '\n')
}

// AppendEnd appends the line that ends a reply.
func AppendReplyEnd(dst []byte) []byte { return append(dst, "NEXT\n"...) }

// AppendAction appends the line of one action.
func AppendAction(dst []byte, action routing.Action) []byte {
	var storage [7]int64
	values, name := storage[:0], ""
	microseconds := func(d time.Duration) int64 { return int64(d / time.Microsecond) }
	switch a := action.(type) {
	case routing.SendAttempt:
		name = "SERVE_OR_FILL"
		switches := int64(0)
		if a.JoinFill {
			switches |= 1
		}
		if a.OnlyIfCached {
			switches |= 2
		}
		if a.Revalidate {
			switches |= 8
		}
		values = append(values, int64(a.ID), int64(a.CopyRank), switches, microseconds(a.Deadline), int64(a.Server), int64(a.FillSource), microseconds(a.MaxAge))
	case routing.Reject:
		name, values = "REFUSE", append(values, int64(a.ID), microseconds(a.RetryAfter))
	case routing.Fail:
		name, values = "ABORT", append(values, int64(a.ID))
	case routing.CancelAttempt:
		name, values = "REVOKE", append(values, int64(a.ID), int64(a.Attempt))
	case routing.SetTimer:
		return fmt.Appendf(dst, "SCHEDULE %d %d\n", microseconds(a.Delay), a.Token)
	case routing.Subscribe:
		return append(dst, "FOLLOW 1\n"...)
	default:
		panic(fmt.Sprintf("wire: unknown action %T", a))
	}
	dst = append(dst, name...)
	for _, value := range values {
		dst = strconv.AppendInt(append(dst, ' '), value, 10)
	}
	return append(dst, '\n')
}
