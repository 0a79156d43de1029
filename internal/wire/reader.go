package wire

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math"
	"strings"

	"garnetline/routing"
)

const readBufferBytes = 1 << 20

// noInstance is the instance before the first SELECT of a batch.
const noInstance = -1

// Reader reads batches. The numbered server lists outlive a batch, since later messages may name
// them.
type Reader struct {
	input      *bufio.Reader
	line       int
	catalogs   map[uint64][]routing.Server
	loadFields map[int][]string // names of the values of a load report, by instance
	instance   int              // that the messages are for
	fields     fields           // of the line
}

// NewReader returns a Reader on in.
func NewReader(in io.Reader) *Reader {
	return &Reader{
		input:      bufio.NewReaderSize(in, readBufferBytes),
		catalogs:   map[uint64][]routing.Server{},
		loadFields: map[int][]string{},
	}
}

// Next reads one batch. It returns io.EOF where the input ends between batches, and an *Error for
// anything else that is not as it should be.
func (r *Reader) Next() (Batch, error) {
	var batch Batch
	name, err := r.readLine()
	if err != nil {
		return batch, err
	}
	if name != "TURN" {
		return batch, r.errorf("want TURN, got %q", name)
	}
	batch.Now = r.fields.duration("clock_us")
	if err := r.fields.end(); err != nil {
		return batch, err
	}
	r.instance = noInstance
	for {
		name, err := r.readLine()
		if errors.Is(err, io.EOF) {
			return batch, r.errorf("input ends inside a batch")
		}
		if err != nil {
			return batch, err
		}
		if name == "END" {
			return batch, r.fields.end()
		}
		item, ok, err := r.parseMessage(name)
		if err != nil {
			return batch, err
		}
		if ok {
			batch.Items = append(batch.Items, item)
		}
	}
}

// errorf is an error of the message that the line has.
func (r *Reader) errorf(why string, values ...any) error {
	return &Error{r.line, "message", fmt.Sprintf(why, values...)}
}

// readLine takes the next line and splits it; it returns the message's name. io.EOF, not wrapped,
// tells that no line is left.
func (r *Reader) readLine() (string, error) {
	line, err := r.input.ReadString('\n')
	if err != nil && !errors.Is(err, io.EOF) {
		return "", fmt.Errorf("read: %w", err)
	}
	if err != nil && line == "" {
		return "", io.EOF
	}
	r.line++
	if err != nil {
		return "", r.errorf("line is cut short")
	}
	name, rest, more := strings.Cut(strings.TrimSuffix(line, "\n"), " ")
	r.fields = fields{line: r.line, rest: rest, more: more}
	return name, nil
}

// parseMessage parses one message; ok is false where it makes no item by itself.
func (r *Reader) parseMessage(name string) (item Item, ok bool, err error) {
	switch name {
	case "SELECT":
		r.instance = r.fields.index("who")
		return item, false, r.fields.end()
	case "CATALOG":
		return item, false, r.readCatalog()
	}
	if r.instance == noInstance {
		return item, false, r.errorf("%q before any SELECT, or unknown", name)
	}
	item.Instance = r.instance
	switch name {
	case "BEGIN":
		item.Kind = Begin
		item.Seed = r.fields.unsigned("random_seed", math.MaxUint64)
		item.Settings, r.loadFields[r.instance] = r.fields.settings()
		return item, true, r.fields.end()
	case "TEARDOWN":
		item.Kind = Stop
		return item, true, r.fields.end()
	}
	event, isEvent := r.parseEvent(name)
	if !isEvent && !r.skipMessage(name) {
		return item, false, r.errorf("unknown message %q", name)
	}
	item.Event = event
	return item, isEvent, r.fields.end()
}

// parseEvent parses a message that is an event for a router; ok is false where it is none.
func (r *Reader) parseEvent(name string) (event routing.Event, ok bool) {
	f := &r.fields
	switch name {
	case "DIRECTORY_UPDATE":
		return r.parseEndpointUpdate(), true
	case "INGRESS":
		return f.request(), true
	case "VERDICT":
		return f.outcome(r.loadFields[r.instance]), true
	case "WAKEUP":
		return routing.TimerFired{Token: f.unsigned("nonce", maxToken)}, true
	case "OUTDATED":
		return routing.Purge{Group: f.index("set_no"), Age: f.duration("how_old_us"), Object: f.object("key")}, true
	case "LEFT":
		return routing.ClientDisconnected{ID: f.requestID()}, true
	default:
		return nil, false
	}
}

// skipMessage checks a message that is of no use to a decision; false: it is unknown.
func (r *Reader) skipMessage(name string) bool {
	f := &r.fields
	switch name {
	case "FIRST_BYTE":
		f.requestID()
		f.duration("cost_time_us")
		f.serverID()
		f.index("leg")
	case "PROBED":
		f.duration("cost_time_us")
		f.result("status")
		f.serverID()
		f.load("pressure", r.loadFields[r.instance])
	case "MEMO":
		f.index("author")
		f.nextValue("msg")
	default:
		return false
	}
	return true
}

// readCatalog reads a numbered list of servers.
func (r *Reader) readCatalog() error {
	number := r.fields.unsigned("roster_id", maxCatalog)
	rows := r.fields.unsigned("rows_in", maxIndex)
	if err := r.fields.end(); err != nil {
		return err
	}
	var list []routing.Server
	for range rows {
		name, err := r.readLine()
		if err != nil && !errors.Is(err, io.EOF) {
			return err
		}
		if name != "ITEM" {
			return r.errorf("want ITEM, got %q", name)
		}
		list = append(list, r.fields.listedServer())
		if err := r.fields.end(); err != nil {
			return err
		}
	}
	r.catalogs[number] = list
	return nil
}

func (f *fields) listedServer() routing.Server {
	const maxPhase = uint64(routing.Draining)
	return routing.Server{
		ID:        f.serverID(),
		Zone:      f.index("site"),
		Kind:      f.index("model"),
		Cell:      f.index("pack"),
		Phase:     routing.Phase(f.unsigned("phase", maxPhase)),
		Weight:    f.float("power_hint"),
		StartedAt: f.duration("last_start_us"),
	}
}

// Forms of a DIRECTORY_UPDATE; the others are whole lists.
const (
	formChange = 1
	formFailed = 3
)

func (r *Reader) parseEndpointUpdate() routing.EndpointUpdate {
	f := &r.fields
	form := f.unsigned("form", formFailed)
	f.unsigned("revision", math.MaxUint64)
	if form == formFailed {
		f.nextValue("roster_id")
		return routing.EndpointUpdate{Failed: true}
	}
	list, known := r.catalogs[f.unsigned("roster_id", maxCatalog)]
	if !known {
		f.fail("roster_id", "no CATALOG with this number")
	}
	return routing.EndpointUpdate{Snapshot: form != formChange, Servers: list}
}

func (f *fields) request() routing.Request {
	const optionRetry = 2
	request := routing.Request{
		ID:         f.requestID(),
		PurgeGroup: f.index("label_no"),
		Timeout:    f.duration("grace_us"),
		Chunk:      f.index("slice"),
	}
	f.index("project")
	request.ClientRetry = f.index("opts")&optionRetry != 0
	request.Object = f.object("key")
	request.SizeKB = f.float("length_kb")
	request.Class = f.index("class")
	return request
}

func (f *fields) outcome(loadFields []string) routing.Outcome {
	return routing.Outcome{
		ID:          f.requestID(),
		Result:      f.result("status"),
		Server:      f.serverID(),
		SourceWait:  f.duration("waited_us"),
		CacheStatus: routing.CacheStatus(f.unsigned("note", maxCacheStatus)),
		Duration:    f.duration("cost_time_us"),
		Attempt:     f.index("leg"),
		RequestDone: f.unsigned("done_flag", 1) == 1,
		Load:        f.load("pressure", loadFields),
	}
}
