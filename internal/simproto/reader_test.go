package simproto

import (
	"errors"
	"io"
	"math"
	"reflect"
	"strings"
	"testing"
	"time"

	"garnetline/routing"
)

const (
	// startLines holds the lines that start instance 3, as lines 2 and 3 of a batch.
	startLines = "SELECT 3\nBEGIN 7 areas=hub,edge zone=1 machine_types=a,parent,origin family_info.second_tier_kind=1 " +
		"family_info.root_kind=2 classes.count=2 classes.0.aim_us=600000 classes.0.deadline_us=6000000 " +
		"classes.1.effect=idempotency_key classes.1.group=zone classes.1.deadline_us=3000000 " +
		"family_info.class_write=false,true family_info.seats_by_zone=0,1 telemetry.fields=cpu,x0,x1 " +
		"limits.try_limit=6 limits.retry_after=true limits.max_retry_after_us=500000 new_key=x weights=rough\n"

	// serverListLines holds the lines of server list 0.
	serverListLines = "CATALOG 0 2\nITEM 51530247 0 0 0 1 1 -\nITEM 747639282 1 2 5 2 1.5 6100000\n"
)

// batchOf returns a batch with the given lines, which begin on line 2.
func batchOf(lines string) string { return "TURN 8412250\n" + lines + "END\n" }

// readAll returns the messages of all batches up to the first error, and that error.
func readAll(input string) ([]Message, error) {
	reader := NewReader(strings.NewReader(input))
	var messages []Message
	for {
		batch, err := reader.Next()
		if errors.Is(err, io.EOF) {
			return messages, nil
		}
		if err != nil {
			return messages, err
		}
		messages = append(messages, batch.Messages...)
	}
}

func TestReaderReadsEvents(t *testing.T) {
	const microsecond = time.Microsecond
	for _, test := range []struct {
		name string
		line string
		want routing.Event
	}{
		{
			name: "request",
			line: "INGRESS 3184874432926148 11 240000 3 0 3 91f03b7c55d20a64 640.5 0",
			want: routing.Request{
				ID: 3184874432926148, PurgeGroup: 11, Timeout: 240000 * microsecond, Chunk: 3,
				ClientRetry: true, Object: 0x91f03b7c55d20a64, SizeKB: 640.5,
			},
		},
		{
			name: "request with absent values",
			line: "INGRESS 5 - 240000 - - - - - 1",
			want: routing.Request{ID: 5, Timeout: 240000 * microsecond, Class: 1},
		},
		{
			name: "outcome",
			line: "VERDICT 5 not_stored 51530247 9400 4 18500 2 1 0.62,0.4,1.25",
			want: routing.Outcome{
				ID: 5, Attempt: 2, Server: 51530247, Result: routing.NotCached, CacheStatus: routing.JoinedFill,
				FillWait: 9400 * microsecond, Duration: 18500 * microsecond, RequestDone: true,
				Load: routing.LoadReport{Inflight: -1, CPUUtilization: 0.62, HitRatio: 0.4, LinkUtilization: 1.25},
			},
		},
		{"timer", "WAKEUP 77", routing.TimerFired{Token: 77}},
		{
			name: "purge of an object",
			line: "OUTDATED 11 85000 0000007c55d20a01",
			want: routing.Purge{Group: 11, Age: 85000 * microsecond, Object: 0x7c55d20a01},
		},
		{"purge of a group", "OUTDATED 11 85000 -", routing.Purge{Group: 11, Age: 85000 * microsecond}},
		{"client disconnected", "LEFT 3789381167950617", routing.ClientDisconnected{ID: 3789381167950617}},
		{"subscription failed", "DIRECTORY_UPDATE 3 41 0", routing.EndpointUpdate{Failed: true}},
		{
			name: "endpoint list",
			line: "DIRECTORY_UPDATE 2 41 0",
			want: routing.EndpointUpdate{Snapshot: true, Servers: []routing.Server{
				{ID: 51530247, Phase: routing.Ready, Weight: 1},
				{ID: 747639282, Zone: 1, Kind: 2, Cell: 5, Phase: routing.Draining, Weight: 1.5, StartedAt: 6100000 * microsecond},
			}},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			messages, err := readAll(batchOf(serverListLines + startLines + test.line + "\n"))
			if err != nil || len(messages) != 2 {
				t.Fatalf("%s: got messages %v, error %v; want two messages", test.line, messages, err)
			}
			message := messages[1]
			got := withoutNaN(message.Event)
			if message.Instance != 3 || message.Kind != InstanceEvent || !reflect.DeepEqual(got, test.want) {
				t.Errorf("%s:\n got %v for instance %d: %+v\nwant %v for instance 3: %+v",
					test.line, message.Kind, message.Instance, got, InstanceEvent, test.want)
			}
		})
	}
}

// withoutNaN makes an event comparable. In a load report without the number of requests in flight,
// that number is NaN, which does not equal itself. withoutNaN replaces it by -1.
func withoutNaN(event routing.Event) routing.Event {
	outcome, ok := event.(routing.Outcome)
	if !ok || !math.IsNaN(outcome.Load.Inflight) {
		return event
	}
	outcome.Load.Inflight = -1
	return outcome
}

// The Reader must not return events that no routing decision uses, because a router cannot handle
// them.
func TestReaderSkipsUnusedEvents(t *testing.T) {
	for _, line := range []string{
		"FIRST_BYTE 5 300 51530247 1",
		"PROBED 300 served 51530247 0.62,0.4,1.25",
		"MEMO 2 aGkgNw==",
	} {
		messages, err := readAll(batchOf(startLines + line + "\n"))
		if err != nil || len(messages) != 1 {
			t.Errorf("%s: got messages %v, error %v; want only the start message", line, messages, err)
		}
	}
}

func TestReaderReadsStartAndStop(t *testing.T) {
	messages, err := readAll(batchOf(startLines + "TEARDOWN\n"))
	if err != nil || len(messages) != 2 {
		t.Fatalf("got messages %v, error %v; want two messages", messages, err)
	}
	start, stop := messages[0], messages[1]
	if start.Kind != InstanceStart || start.Instance != 3 || start.Seed != 7 {
		t.Errorf("got %v of instance %d with seed %d, want start of instance 3 with seed 7", start.Kind, start.Instance, start.Seed)
	}
	if stop.Kind != InstanceStop || stop.Instance != 3 {
		t.Errorf("got %v of instance %d, want stop of instance 3", stop.Kind, stop.Instance)
	}
}

func TestReaderRejectsInvalidInput(t *testing.T) {
	for _, test := range []struct{ name, input, want string }{
		{"unknown message", batchOf("SELECT 3\nNONSENSE 1\n"), "line 3: field message"},
		{"no instance", batchOf("WAKEUP 1\n"), "line 2: field message"},
		{"not a batch", "END\n", "line 1: field message"},
		{"inside a batch", "TURN 5\nSELECT 3\n", "line 2: field message"},
		{"cut short", "TURN 5\nSEL", "line 2: field message"},
		{"no clock", "TURN\n", "line 1: field clock_us"},
		{"negative", batchOf("SELECT -3\n"), "line 2: field who"},
		{"too few", batchOf(startLines + "INGRESS 5 1 2\n"), "line 4: field slice"},
		{"too many", batchOf(startLines + "WAKEUP 5 6\n"), "line 4: field end of line"},
		{"request id", batchOf(startLines + "LEFT 4503599627370496\n"), "line 4: field id"},
		{"server id", batchOf("CATALOG 0 1\nITEM 4294967296 0 0 0 1 1 -\n"), "line 3: field server"},
		{"phase", batchOf("CATALOG 0 1\nITEM 1 0 0 0 3 1 -\n"), "line 3: field phase"},
		{"no server", batchOf("CATALOG 0 1\n"), "line 3: field message"},
		{"no server list", batchOf(startLines + "DIRECTORY_UPDATE 2 41 9\n"), "line 4: field roster_id"},
		{"status", batchOf(startLines + "VERDICT 5 fine 1 - - 5 0 1 -\n"), "line 4: field status"},
		{"cache status", batchOf(startLines + "VERDICT 5 served 1 - 11 5 0 1 -\n"), "line 4: field note"},
		{"load report", batchOf(startLines + "VERDICT 5 served 1 - 1 5 0 1 0.5\n"), "line 4: field pressure"},
		{"not a number", batchOf(startLines + "VERDICT 5 served 1 - 1 5 0 1 a,b,c\n"), "line 4: field pressure"},
		{"object", batchOf(startLines + "OUTDATED 1 5 zz\n"), "line 4: field key"},
		{"time", batchOf(startLines + "OUTDATED 1 99999999999999999999 -\n"), "line 4: field how_old_us"},
		{"setting", batchOf("SELECT 3\nBEGIN 7 zone=x\n"), "line 3: field zone"},
		{"no pair", batchOf("SELECT 3\nBEGIN 7 zone\n"), "line 3: field info"},
		{"word", batchOf("SELECT 3\nBEGIN 7 classes.count=1 classes.0.effect=maybe\n"), "line 3: field classes.0.effect"},
		{"list by class", batchOf("SELECT 3\nBEGIN 7 classes.count=2 family_info.class_write=true\n"), "line 3: field family_info.class_write"},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := readAll(test.input)
			if err == nil || !strings.Contains(err.Error(), test.want) {
				t.Fatalf("got error %v, want an error that contains %q", err, test.want)
			}
			var parseError *ParseError
			if !errors.As(err, &parseError) {
				t.Errorf("got error of type %T, want *ParseError", err)
			}
		})
	}
}

// failingInput is a reader whose reads all fail with err.
type failingInput struct{ err error }

func (f failingInput) Read([]byte) (int, error) { return 0, f.err }

func TestReaderWrapsReadErrors(t *testing.T) {
	broken := errors.New("broken pipe")
	_, err := NewReader(failingInput{broken}).Next()
	if !errors.Is(err, broken) || err.Error() != "read input: broken pipe" {
		t.Errorf("got error %v, want read input: broken pipe", err)
	}
}

func FuzzReader(f *testing.F) {
	f.Add(batchOf(startLines + "INGRESS 5 1 240000 3 0 1 91f03b7c55d20a64 640 0\nWAKEUP 1\n"))
	f.Add(batchOf("CATALOG 0 1\nITEM 1 0 0 0 1 1 -\n" + startLines + "DIRECTORY_UPDATE 2 41 0\n"))
	f.Add("TURN 5\nEND\nTURN")
	f.Fuzz(func(t *testing.T, input string) {
		_, err := readAll(input)
		if err == nil {
			return
		}
		var parseError *ParseError
		if !errors.As(err, &parseError) || parseError.Line < 1 || parseError.Field == "" {
			t.Errorf("got error %v, want a *ParseError with a line and a field", err)
		}
	})
}
