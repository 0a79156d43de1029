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
	Begin             // an instance starts, with nothing but its settings
	Stop              // an instance was killed
)

// Item is one message of a batch, for one instance.
type Item struct {
	Instance int
	Kind     Kind
	Event    routing.Event    // for Event; nil where it is of no use to a decision
	Seed     uint64           // for Begin
	Settings routing.Settings // for Begin
}

// Batch is all that happened at one time.
type Batch struct {
	Now   time.Duration
	Items []Item
}

// Error tells what is wrong with a line.
type Error struct {
	Line  int
	Field string
	Why   string
}

func (e *Error) Error() string {
	return fmt.Sprintf("line %d: field %s: %s", e.Line, e.Field, e.Why)
}

const (
	maxRequest = 1<<52 - 1
	maxServer  = 1<<32 - 1
	maxToken   = 1 << 63
	maxTime    = math.MaxInt64 / 1000 // microseconds that fit a time.Duration
	maxIndex   = 1 << 31
)

// Reader reads batches. The numbered server lists outlive a batch, since
// later messages may name them.
type Reader struct {
	in      *bufio.Reader
	line    int
	lists   map[uint64][]routing.Server
	reports map[int][]string // names of the values of a load report, by instance
	who     int
	f       fields
}

// NewReader returns a Reader on in.
func NewReader(in io.Reader) *Reader {
	return &Reader{in: bufio.NewReaderSize(in, 1<<20), lists: map[uint64][]routing.Server{}, reports: map[int][]string{}}
}

// Next reads one batch. It returns io.EOF where the input ends between
// batches, and an *Error for anything else that is not as it should be.
func (r *Reader) Next() (Batch, error) {
	var b Batch
	name, err := r.read()
	if err != nil {
		return b, err
	}
	if name != "TURN" {
		return b, r.bad("message", "want TURN, got %q", name)
	}
	b.Now = r.f.time("clock_us")
	if err := r.f.end(); err != nil {
		return b, err
	}
	r.who = -1
	for {
		name, err := r.read()
		if err == io.EOF {
			return b, r.bad("message", "input ends inside a batch")
		}
		if err != nil {
			return b, err
		}
		if name == "END" {
			return b, r.f.end()
		}
		it, ok, err := r.message(name)
		if err != nil {
			return b, err
		}
		if ok {
			b.Items = append(b.Items, it)
		}
	}
}

func (r *Reader) bad(field, why string, a ...any) error {
	return &Error{r.line, field, fmt.Sprintf(why, a...)}
}

// read takes the next line and splits it; it returns the message's name.
func (r *Reader) read() (string, error) {
	s, err := r.in.ReadString('\n')
	if err == io.EOF && s == "" {
		return "", io.EOF
	}
	if err != nil && err != io.EOF {
		return "", fmt.Errorf("read: %w", err)
	}
	r.line++
	if err == io.EOF {
		return "", r.bad("message", "line is cut short")
	}
	name, rest, more := strings.Cut(strings.TrimSuffix(s, "\n"), " ")
	r.f = fields{line: r.line, rest: rest, more: more}
	return name, nil
}

// message parses one message; ok is false where it makes no item by itself.
func (r *Reader) message(name string) (it Item, ok bool, err error) {
	f := &r.f
	switch name {
	case "SELECT":
		r.who = int(f.num("who", maxIndex))
		return it, false, f.end()
	case "CATALOG":
		return it, false, r.catalog()
	}
	if r.who < 0 {
		return it, false, r.bad("message", "%q before any SELECT, or unknown", name)
	}
	it.Instance = r.who
	switch name {
	case "BEGIN":
		it.Kind = Begin
		it.Seed = f.num("random_seed", math.MaxUint64)
		var report []string
		it.Settings, report = f.settings()
		r.reports[r.who] = report
	case "TEARDOWN":
		it.Kind = Stop
	case "DIRECTORY_UPDATE":
		it.Event = r.members()
	case "INGRESS":
		it.Event = f.request()
	case "VERDICT":
		it.Event = f.outcome(r.reports[r.who])
	case "WAKEUP":
		it.Event = routing.TimerFired{Token: f.num("nonce", maxToken)}
	case "OUTDATED":
		it.Event = routing.Purge{Group: int(f.num("set_no", maxIndex)), Age: f.time("how_old_us"), Object: f.object("key")}
	case "LEFT":
		it.Event = routing.ClientDisconnected{ID: routing.RequestID(f.num("id", maxRequest))}
	case "FIRST_BYTE":
		f.num("id", maxRequest)
		f.time("cost_time_us")
		f.num("server", maxServer)
		f.num("leg", maxIndex)
	case "PROBED":
		f.time("cost_time_us")
		f.result("status")
		f.num("server", maxServer)
		f.load("pressure", r.reports[r.who])
	case "MEMO":
		f.num("author", maxIndex)
		f.next("msg")
	default:
		return it, false, r.bad("message", "unknown message %q", name)
	}
	return it, it.Kind != Event || it.Event != nil, f.end()
}

// catalog reads a numbered list of servers.
func (r *Reader) catalog() error {
	no, n := r.f.num("roster_id", 15), r.f.num("rows_in", maxIndex)
	if err := r.f.end(); err != nil {
		return err
	}
	var list []routing.Server
	for ; n > 0; n-- {
		name, err := r.read()
		if err != nil && err != io.EOF {
			return err
		}
		if name != "ITEM" {
			return r.bad("message", "want ITEM, got %q", name)
		}
		f := &r.f
		s := routing.Server{
			ID:        routing.ServerID(f.num("server", maxServer)),
			Zone:      int(f.num("site", maxIndex)),
			Kind:      int(f.num("model", maxIndex)),
			Cell:      int(f.num("pack", maxIndex)),
			Phase:     routing.Phase(f.num("phase", 2)),
			Weight:    f.real("power_hint"),
			StartedAt: f.time("last_start_us"),
		}
		if err := f.end(); err != nil {
			return err
		}
		list = append(list, s)
	}
	r.lists[no] = list
	return nil
}

func (r *Reader) members() routing.Event {
	f := &r.f
	form := f.num("form", 3)
	f.num("revision", math.MaxUint64)
	if form == 3 {
		f.next("roster_id")
		return routing.EndpointUpdate{Failed: true}
	}
	no := f.num("roster_id", 15)
	list, known := r.lists[no]
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
		f.err = &Error{f.line, field, why}
	}
}

// end reports the first error, or that values are left over.
func (f *fields) end() error {
	if f.more {
		f.fail("end of line", "too many values")
	}
	return f.err
}

func (f *fields) next(field string) string {
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
func (f *fields) num(field string, max uint64) uint64 {
	s := f.next(field)
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

func (f *fields) time(field string) time.Duration {
	return time.Duration(f.num(field, maxTime)) * time.Microsecond
}

// real reads a number that is not negative; an absent one is 0.
func (f *fields) real(field string) float64 {
	s := f.next(field)
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
	s := f.next(field)
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
		ID:         routing.RequestID(f.num("id", maxRequest)),
		PurgeGroup: int(f.num("label_no", maxIndex)),
		Timeout:    f.time("grace_us"),
		Chunk:      int(f.num("slice", maxIndex)),
	}
	f.num("project", maxIndex)
	q.ClientRetry = f.num("opts", maxIndex)&2 != 0
	q.Object = f.object("key")
	q.SizeKB = f.real("length_kb")
	q.Class = int(f.num("class", maxIndex))
	return q
}

var results = map[string]routing.Result{
	"served": routing.Served, "server_error": routing.ServerError, "turned_away": routing.Rejected,
	"no_answer": routing.TimedOut, "no_connection": routing.ConnectFailed, "connection_lost": routing.ConnectionLost,
	"called_off": routing.Canceled, "not_sent": routing.NotSent, "not_stored": routing.NotCached,
}

func (f *fields) result(field string) routing.Result {
	s := f.next(field)
	res, ok := results[s]
	if !ok {
		f.fail(field, fmt.Sprintf("unknown status %q", s))
	}
	return res
}

func (f *fields) outcome(report []string) routing.Event {
	o := routing.Outcome{
		ID:          routing.RequestID(f.num("id", maxRequest)),
		Result:      f.result("status"),
		Server:      routing.ServerID(f.num("server", maxServer)),
		SourceWait:  f.time("waited_us"),
		CacheStatus: routing.CacheStatus(f.num("note", 10)),
		Duration:    f.time("cost_time_us"),
	}
	o.Attempt = int(f.num("leg", maxIndex))
	o.RequestDone = f.num("done_flag", 1) == 1
	o.Load = f.load("pressure", report)
	return o
}

// load reads a load report, whose values come in the order of names.
func (f *fields) load(field string, names []string) routing.LoadReport {
	nan := math.NaN()
	l := routing.LoadReport{Inflight: nan, CPUUtilization: nan, HitRatio: nan, LinkUtilization: nan}
	s := f.next(field)
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
func AppendBy(dst []byte, instance int) []byte {
	return append(strconv.AppendInt(append(dst, "BY "...), int64(instance), 10), '\n')
}

// AppendEnd appends the line that ends a reply.
func AppendEnd(dst []byte) []byte { return append(dst, "NEXT\n"...) }

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
