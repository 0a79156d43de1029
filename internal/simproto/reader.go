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
type Kind int

// The kinds of items in a batch.
const (
	Event Kind = iota // an event for a running instance
	Start             // an instance starts, with nothing but its settings
	Stop              // an instance was killed
)

// Item is one message of a batch, for one instance.
type Message struct {
	Instance int
	Kind     Kind
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
	maxToken        = 1 << 63
	maxMicroseconds = math.MaxInt64 / 1000 // microseconds that fit a time.Duration
	maxIndex        = 1 << 31
)

// Reader reads batches. The numbered server lists outlive a batch, since
// later messages may name them.
type Reader struct {
	input      *bufio.Reader
	line       int
	catalogs   map[uint64][]routing.Server
	loadFields map[int][]string // names of the values of a load report, by instance
	instance   int
	fields     fields
}

// NewReader returns a Reader on in.
func NewReader(in io.Reader) *Reader {
	return &Reader{input: bufio.NewReaderSize(in, 1<<20), catalogs: map[uint64][]routing.Server{}, loadFields: map[int][]string{}}
}

// Next reads one batch. It returns io.EOF where the input ends between
// batches, and an *Error for anything else that is not as it should be.
func (r *Reader) Next() (Batch, error) {
	var b Batch
	name, err := r.readLine()
	if err != nil {
		return b, err
	}
	if name != "TURN" {
		return b, r.errorf("message", "want TURN, got %q", name)
	}
	b.Now = r.fields.duration("clock_us")
	if err := r.fields.end(); err != nil {
		return b, err
	}
	r.instance = -1
	for {
		name, err := r.readLine()
		if err == io.EOF {
			return b, r.errorf("message", "input ends inside a batch")
		}
		if err != nil {
			return b, err
		}
		if name == "END" {
			return b, r.fields.end()
		}
		it, ok, err := r.parseMessage(name)
		if err != nil {
			return b, err
		}
		if ok {
			b.Messages = append(b.Messages, it)
		}
	}
}

func (r *Reader) errorf(field, why string, a ...any) error {
	return &ParseError{r.line, field, fmt.Sprintf(why, a...)}
}

// read takes the next line and splits it; it returns the message's name.
func (r *Reader) readLine() (string, error) {
	s, err := r.input.ReadString('\n')
	if err == io.EOF && s == "" {
		return "", io.EOF
	}
	if err != nil && err != io.EOF {
		return "", fmt.Errorf("read: %w", err)
	}
	r.line++
	if err == io.EOF {
		return "", r.errorf("message", "line is cut short")
	}
	name, rest, more := strings.Cut(strings.TrimSuffix(s, "\n"), " ")
	r.fields = fields{line: r.line, rest: rest, more: more}
	return name, nil
}

// message parses one message; ok is false where it makes no item by itself.
func (r *Reader) parseMessage(name string) (it Message, ok bool, err error) {
	f := &r.fields
	switch name {
	case "SELECT":
		r.instance = int(f.unsigned("who", maxIndex))
		return it, false, f.end()
	case "CATALOG":
		return it, false, r.readCatalog()
	}
	if r.instance < 0 {
		return it, false, r.errorf("message", "%q before any SELECT, or unknown", name)
	}
	it.Instance = r.instance
	switch name {
	case "BEGIN":
		it.Kind = Start
		it.Seed = f.unsigned("random_seed", math.MaxUint64)
		var report []string
		it.Settings, report = f.settings()
		r.loadFields[r.instance] = report
	case "TEARDOWN":
		it.Kind = Stop
	case "DIRECTORY_UPDATE":
		it.Event = r.endpointUpdate()
	case "INGRESS":
		it.Event = f.request()
	case "VERDICT":
		it.Event = f.outcome(r.loadFields[r.instance])
	case "WAKEUP":
		it.Event = routing.TimerFired{Token: f.unsigned("nonce", maxToken)}
	case "OUTDATED":
		it.Event = routing.Purge{Group: int(f.unsigned("set_no", maxIndex)), Age: f.duration("how_old_us"), Object: f.object("key")}
	case "LEFT":
		it.Event = routing.ClientDisconnected{ID: routing.RequestID(f.unsigned("id", maxRequestID))}
	case "FIRST_BYTE":
		f.unsigned("id", maxRequestID)
		f.duration("cost_time_us")
		f.unsigned("server", maxServerID)
		f.unsigned("leg", maxIndex)
	case "PROBED":
		f.duration("cost_time_us")
		f.result("status")
		f.unsigned("server", maxServerID)
		f.load("pressure", r.loadFields[r.instance])
	case "MEMO":
		f.unsigned("author", maxIndex)
		f.nextValue("msg")
	default:
		return it, false, r.errorf("message", "unknown message %q", name)
	}
	return it, it.Kind != Event || it.Event != nil, f.end()
}

// catalog reads a numbered list of servers.
func (r *Reader) readCatalog() error {
	no, n := r.fields.unsigned("roster_id", 15), r.fields.unsigned("rows_in", maxIndex)
	if err := r.fields.end(); err != nil {
		return err
	}
	var list []routing.Server
	for ; n > 0; n-- {
		name, err := r.readLine()
		if err != nil && err != io.EOF {
			return err
		}
		if name != "ITEM" {
			return r.errorf("message", "want ITEM, got %q", name)
		}
		f := &r.fields
		s := routing.Server{
			ID:        routing.ServerID(f.unsigned("server", maxServerID)),
			Zone:      int(f.unsigned("site", maxIndex)),
			Kind:      int(f.unsigned("model", maxIndex)),
			Cell:      int(f.unsigned("pack", maxIndex)),
			Phase:     routing.Phase(f.unsigned("phase", 2)),
			Weight:    f.float("power_hint"),
			StartedAt: f.duration("last_start_us"),
		}
		if err := f.end(); err != nil {
			return err
		}
		list = append(list, s)
	}
	r.catalogs[no] = list
	return nil
}

func (r *Reader) endpointUpdate() routing.Event {
	f := &r.fields
	form := f.unsigned("form", 3)
	f.unsigned("revision", math.MaxUint64)
	if form == 3 {
		f.nextValue("roster_id")
		return routing.EndpointUpdate{Failed: true}
	}
	no := f.unsigned("roster_id", 15)
	list, known := r.catalogs[no]
	if !known && f.err == nil {
		f.fail("roster_id", "no CATALOG with this number")
	}
	return routing.EndpointUpdate{Snapshot: form != 1, Servers: list}
}

// fields takes the values of one line in turn. The first error sticks.
type fields struct {
	line int
	rest string
	more bool
	err  error
}

func (f *fields) fail(field, why string) {
	if f.err == nil {
		f.err = &ParseError{f.line, field, why}
	}
}

// end reports the first error, or that values are left over.
func (f *fields) end() error {
	if f.more {
		f.fail("end of line", "too many values")
	}
	return f.err
}

func (f *fields) nextValue(field string) string {
	if !f.more {
		f.fail(field, "missing")
		return "-"
	}
	var s string
	s, f.rest, f.more = strings.Cut(f.rest, " ")
	if s == "" {
		f.fail(field, "empty")
	}
	return s
}

// num reads a whole number up to max; an absent one is 0.
func (f *fields) unsigned(field string, max uint64) uint64 {
	s := f.nextValue(field)
	if s == "-" {
		return 0
	}
	n, err := strconv.ParseUint(s, 10, 64)
	if err != nil || n > max {
		f.fail(field, fmt.Sprintf("%q is not a whole number up to %d", s, max))
		return 0
	}
	return n
}

func (f *fields) duration(field string) time.Duration {
	return time.Duration(f.unsigned(field, maxMicroseconds)) * time.Microsecond
}

// real reads a number that is not negative; an absent one is 0.
func (f *fields) float(field string) float64 {
	s := f.nextValue(field)
	if s == "-" {
		return 0
	}
	x, err := strconv.ParseFloat(s, 64)
	if err != nil || !(x >= 0) || math.IsInf(x, 0) {
		f.fail(field, fmt.Sprintf("%q is not a number from 0", s))
		return 0
	}
	return x
}

// object reads 16 hex digits; 0 and an absent one are no object.
func (f *fields) object(field string) routing.ObjectID {
	s := f.nextValue(field)
	if s == "-" || s == "0" {
		return 0
	}
	n, err := strconv.ParseUint(s, 16, 64)
	if err != nil || len(s) != 16 {
		f.fail(field, fmt.Sprintf("%q is not 16 hex digits", s))
	}
	return routing.ObjectID(n)
}

func (f *fields) request() routing.Event {
	q := routing.Request{
		ID:         routing.RequestID(f.unsigned("id", maxRequestID)),
		PurgeGroup: int(f.unsigned("label_no", maxIndex)),
		Timeout:    f.duration("grace_us"),
		Chunk:      int(f.unsigned("slice", maxIndex)),
	}
	f.unsigned("project", maxIndex)
	q.ClientRetry = f.unsigned("opts", maxIndex)&2 != 0
	q.Object = f.object("key")
	q.SizeKB = f.float("length_kb")
	q.Class = int(f.unsigned("class", maxIndex))
	return q
}

var results = map[string]routing.Result{
	"served": routing.Served, "server_error": routing.ServerError, "turned_away": routing.Rejected,
	"no_answer": routing.TimedOut, "no_connection": routing.ConnectFailed, "connection_lost": routing.ConnectionLost,
	"called_off": routing.Canceled, "not_sent": routing.NotSent, "not_stored": routing.NotCached,
}

func (f *fields) result(field string) routing.Result {
	s := f.nextValue(field)
	res, ok := results[s]
	if !ok {
		f.fail(field, fmt.Sprintf("unknown status %q", s))
	}
	return res
}

func (f *fields) outcome(report []string) routing.Event {
	o := routing.Outcome{
		ID:          routing.RequestID(f.unsigned("id", maxRequestID)),
		Result:      f.result("status"),
		Server:      routing.ServerID(f.unsigned("server", maxServerID)),
		SourceWait:  f.duration("waited_us"),
		CacheStatus: routing.CacheStatus(f.unsigned("note", 10)),
		Duration:    f.duration("cost_time_us"),
	}
	o.Attempt = int(f.unsigned("leg", maxIndex))
	o.RequestDone = f.unsigned("done_flag", 1) == 1
	o.Load = f.load("pressure", report)
	return o
}

// load reads a load report, whose values come in the order of names.
func (f *fields) load(field string, names []string) routing.LoadReport {
	nan := math.NaN()
	l := routing.LoadReport{Inflight: nan, CPUUtilization: nan, HitRatio: nan, LinkUtilization: nan}
	s := f.nextValue(field)
	if s == "-" {
		return l
	}
	values := strings.Split(s, ",")
	if len(values) != len(names) {
		f.fail(field, fmt.Sprintf("%d values, want %d", len(values), len(names)))
		return l
	}
	for i, v := range values {
		if v == "-" {
			continue
		}
		x, err := strconv.ParseFloat(v, 64)
		if err != nil || math.IsNaN(x) || math.IsInf(x, 0) {
			f.fail(field, fmt.Sprintf("%q is not a number", v))
			return l
		}
		switch names[i] {
		case "active":
			l.Inflight = x
		case "cpu":
			l.CPUUtilization = x
		case "x0":
			l.HitRatio = x
		case "x1":
			l.LinkUtilization = x
		}
	}
	return l
}

// AppendBy appends the line that gives the following actions to an instance.
func AppendInstance(dst []byte, instance int) []byte {
	return append(strconv.AppendInt(append(dst, "BY "...), int64(instance), 10), '\n')
}

// AppendEnd appends the line that ends a reply.
func AppendReplyEnd(dst []byte) []byte { return append(dst, "NEXT\n"...) }

// AppendAction appends the line of one action.
func AppendAction(dst []byte, a routing.Action) []byte {
	var v [7]int64
	vals, name := v[:0], ""
	us := func(d time.Duration) int64 { return int64(d / time.Microsecond) }
	switch a := a.(type) {
	case routing.SendAttempt:
		name = "SERVE_OR_FILL"
		how := int64(0)
		if a.JoinFill {
			how |= 1
		}
		if a.OnlyIfCached {
			how |= 2
		}
		if a.Revalidate {
			how |= 8
		}
		vals = append(vals, int64(a.ID), int64(a.CopyRank), how, us(a.Deadline), int64(a.Server), int64(a.FillSource), us(a.MaxAge))
	case routing.Reject:
		name, vals = "REFUSE", append(vals, int64(a.ID), us(a.RetryAfter))
	case routing.Fail:
		name, vals = "ABORT", append(vals, int64(a.ID))
	case routing.CancelAttempt:
		name, vals = "REVOKE", append(vals, int64(a.ID), int64(a.Attempt))
	case routing.SetTimer:
		return fmt.Appendf(dst, "SCHEDULE %d %d\n", us(a.Delay), a.Token)
	case routing.Subscribe:
		return append(dst, "FOLLOW 1\n"...)
	default:
		panic(fmt.Sprintf("wire: unknown action %T", a))
	}
	dst = append(dst, name...)
	for _, n := range vals {
		dst = strconv.AppendInt(append(dst, ' '), n, 10)
	}
	return append(dst, '\n')
}
