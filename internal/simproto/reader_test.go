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

const startLine = "SELECT 3\nBEGIN 7 areas=hub,edge zone=1 machine_types=a,parent,origin family_info.second_tier_kind=1 " +
	"family_info.root_kind=2 classes.count=2 classes.0.aim_us=600000 classes.0.deadline_us=6000000 " +
	"classes.1.effect=idempotency_key classes.1.group=zone classes.1.deadline_us=3000000 " +
	"family_info.class_write=false,true family_info.seats_by_zone=0,1 telemetry.fields=cpu,x0,x1 " +
	"limits.try_limit=6 limits.retry_after=true limits.max_retry_after_us=500000 new_key=x weights=rough\n"

func batch(lines string) string { return "TURN 8412250\n" + lines + "END\n" }

// read returns the items of all batches.
func readAll(s string) (items []Message, err error) {
	r := NewReader(strings.NewReader(s))
	for {
		b, err := r.Next()
		if errors.Is(err, io.EOF) {
			return items, nil
		}
		if err != nil {
			return items, err
		}
		items = append(items, b.Messages...)
	}
}

func TestEvents(t *testing.T) {
	list := "CATALOG 0 2\nITEM 51530247 0 0 0 1 1 -\nITEM 747639282 1 2 5 2 1.5 6100000\n"
	us := time.Microsecond
	for line, want := range map[string]routing.Event{
		"INGRESS 3184874432926148 11 240000 3 0 3 91f03b7c55d20a64 640.5 0": routing.Request{ID: 3184874432926148, PurgeGroup: 11,
			Timeout: 240000 * us, Chunk: 3, ClientRetry: true, Object: 0x91f03b7c55d20a64, SizeKB: 640.5},
		"INGRESS 5 - 240000 - - - - - 1": routing.Request{ID: 5, Timeout: 240000 * us, Class: 1},
		"VERDICT 5 not_stored 51530247 9400 4 18500 2 1 0.62,0.4,1.25": routing.Outcome{ID: 5, Attempt: 2, Server: 51530247,
			Result: routing.NotCached, CacheStatus: routing.JoinedFill, SourceWait: 9400 * us, Duration: 18500 * us, RequestDone: true,
			Load: routing.LoadReport{Inflight: -1, CPUUtilization: 0.62, HitRatio: 0.4, LinkUtilization: 1.25}},
		"WAKEUP 77":                          routing.TimerFired{Token: 77},
		"OUTDATED 11 85000 0000007c55d20a01": routing.Purge{Group: 11, Age: 85000 * us, Object: 0x7c55d20a01},
		"OUTDATED 11 85000 -":                routing.Purge{Group: 11, Age: 85000 * us},
		"LEFT 3789381167950617":              routing.ClientDisconnected{ID: 3789381167950617},
		"DIRECTORY_UPDATE 3 41 0":            routing.EndpointUpdate{Failed: true},
		"DIRECTORY_UPDATE 2 41 0": routing.EndpointUpdate{Snapshot: true, Servers: []routing.Server{
			{ID: 51530247, Phase: routing.Ready, Weight: 1},
			{ID: 747639282, Zone: 1, Kind: 2, Cell: 5, Phase: routing.Draining, Weight: 1.5, StartedAt: 6100000 * us}}},
	} {
		items, err := readAll(batch(list + startLine + line + "\n"))
		if err != nil || len(items) != 2 {
			t.Errorf("%s: %v, %v", line, items, err)
			continue
		}
		got := items[1].Event
		if o, ok := got.(routing.Outcome); ok && math.IsNaN(o.Load.Inflight) {
			o.Load.Inflight = -1
			got = o
		}
		if items[1].Instance != 3 || !reflect.DeepEqual(got, want) {
			t.Errorf("%s:\n got %+v\nwant %+v", line, got, want)
		}
	}
}

func TestSettings(t *testing.T) {
	items, err := readAll(batch(startLine))
	if err != nil {
		t.Fatal(err)
	}
	s := items[0].Settings
	if s.Zones != 2 || s.Zone != 1 || s.ParentKind != 1 || s.OriginKind != 2 || !s.WeightIsCapacity ||
		s.MaxRetryAfter != 500*time.Millisecond || len(s.RoutersByZone) != 2 || len(s.Classes) != 2 {
		t.Errorf("settings %+v", s)
	}
	if c := s.Classes[1]; c.Idempotency != routing.IdempotentWithKey || c.KeyScope != routing.KeyScopeZone || !c.Write {
		t.Errorf("class %+v", c)
	}
	if s.Routers != 1 || s.AllowBypass || s.Classes[0].Idempotency != routing.Idempotent || s.HitStatusOnly || s.OriginStopsOnOverload {
		t.Errorf("defaults: %+v", s)
	}
	items, err = readAll(batch(strings.Replace(startLine, "new_key=x", "family_info.note_level=hit family_info.origin_limit_factor=2.5", 1)))
	if err != nil || !items[0].Settings.HitStatusOnly || !items[0].Settings.OriginStopsOnOverload {
		t.Errorf("hits alone, and an origin that stops: %+v %v", items, err)
	}
}

func TestBadInput(t *testing.T) {
	for _, c := range []struct{ name, in, want string }{
		{"unknown message", batch("SELECT 3\nNONSENSE 1\n"), "line 3: field message"},
		{"no instance", batch("WAKEUP 1\n"), "line 2: field message"},
		{"not a batch", "END\n", "line 1: field message"},
		{"inside a batch", "TURN 5\nSELECT 3\n", "line 2: field message"},
		{"cut short", "TURN 5\nSEL", "line 2: field message"},
		{"no clock", "TURN\n", "line 1: field clock_us"},
		{"negative", batch("SELECT -3\n"), "line 2: field who"},
		{"too few", batch(startLine + "INGRESS 5 1 2\n"), "line 4: field slice"},
		{"too many", batch(startLine + "WAKEUP 5 6\n"), "line 4: field end of line"},
		{"request id", batch(startLine + "LEFT 4503599627370496\n"), "line 4: field id"},
		{"server id", batch("CATALOG 0 1\nITEM 4294967296 0 0 0 1 1 -\n"), "line 3: field server"},
		{"phase", batch("CATALOG 0 1\nITEM 1 0 0 0 3 1 -\n"), "line 3: field phase"},
		{"no item", batch("CATALOG 0 1\n"), "line 3: field message"},
		{"no catalog", batch(startLine + "DIRECTORY_UPDATE 2 41 9\n"), "line 4: field roster_id"},
		{"status", batch(startLine + "VERDICT 5 fine 1 - - 5 0 1 -\n"), "line 4: field status"},
		{"note", batch(startLine + "VERDICT 5 served 1 - 11 5 0 1 -\n"), "line 4: field note"},
		{"report", batch(startLine + "VERDICT 5 served 1 - 1 5 0 1 0.5\n"), "line 4: field pressure"},
		{"not a number", batch(startLine + "VERDICT 5 served 1 - 1 5 0 1 a,b,c\n"), "line 4: field pressure"},
		{"object", batch(startLine + "OUTDATED 1 5 zz\n"), "line 4: field key"},
		{"time", batch(startLine + "OUTDATED 1 99999999999999999999 -\n"), "line 4: field how_old_us"},
		{"setting", batch("SELECT 3\nBEGIN 7 zone=x\n"), "line 3: field zone"},
		{"no pair", batch("SELECT 3\nBEGIN 7 zone\n"), "line 3: field info"},
		{"word", batch("SELECT 3\nBEGIN 7 classes.count=1 classes.0.effect=maybe\n"), "field classes.0.effect"},
		{"lists", batch("SELECT 3\nBEGIN 7 classes.count=2 family_info.class_write=true\n"), "field family_info.class_write"},
	} {
		if _, err := readAll(c.in); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: error %v, want %s", c.name, err, c.want)
		}
	}
}

func TestActions(t *testing.T) {
	us := time.Microsecond
	for want, a := range map[string]routing.Action{
		"SERVE_OR_FILL 5 2 11 9312250 51530247 747639282 1500000\n": routing.SendAttempt{ID: 5, Server: 51530247, FillSource: 747639282,
			CopyRank: 2, MaxAge: 1500000 * us, Deadline: 9312250 * us, JoinFill: true, Revalidate: true, OnlyIfCached: true},
		"REFUSE 5 250000\n": routing.Reject{ID: 5, RetryAfter: 250 * time.Millisecond},
		"ABORT 5\n":         routing.Fail{ID: 5},
		"REVOKE 5 1\n":      routing.CancelAttempt{ID: 5, Attempt: 1},
		"SCHEDULE 500 77\n": routing.SetTimer{Delay: 500 * us, Token: 77},
		"FOLLOW 1\n":        routing.Subscribe{},
	} {
		if got := string(AppendAction(nil, a)); got != want {
			t.Errorf("%T: got %q, want %q", a, got, want)
		}
	}
	if got := string(AppendReplyEnd(AppendInstance(nil, 3))); got != "BY 3\nNEXT\n" {
		t.Errorf("got %q", got)
	}
}

func FuzzReader(f *testing.F) {
	f.Add(batch(startLine + "INGRESS 5 1 240000 3 0 1 91f03b7c55d20a64 640 0\nWAKEUP 1\n"))
	f.Add(batch("CATALOG 0 1\nITEM 1 0 0 0 1 1 -\n" + startLine + "DIRECTORY_UPDATE 2 41 0\n"))
	f.Add("TURN 5\nEND\nTURN")
	f.Fuzz(func(t *testing.T, in string) {
		_, err := readAll(in)
		var e *ParseError
		if err != nil && (!errors.As(err, &e) || e.Line < 1 || e.Field == "") {
			t.Errorf("error without line or field: %v", err)
		}
	})
}
