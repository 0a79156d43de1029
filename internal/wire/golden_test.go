package wire

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"garnetline/decide"
)

// update has the golden files written anew: go test ./internal/wire -run TestGolden -update
var update = flag.Bool("update", false, "write the golden files anew")

// compareGolden holds a text against a file of testdata, to the byte.
func compareGolden(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		if err := os.WriteFile(path, []byte(got), 0o666); err != nil {
			t.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if string(want) != got {
		t.Errorf("%s: got\n%s\nwant\n%s", path, got, want)
	}
}

// TestGoldenInput pins how each line of the simulator is read: testdata/session.txt has every
// message, status, note and setting, session.read.txt what was understood of it, field by field.
func TestGoldenInput(t *testing.T) {
	in, err := os.Open(filepath.Join("testdata", "session.txt"))
	if err != nil {
		t.Fatal(err)
	}
	defer in.Close()
	text := &strings.Builder{}
	r := NewReader(in)
	for {
		b, err := r.Next()
		if err != nil {
			fmt.Fprintln(text, err)
			break
		}
		fmt.Fprintf(text, "now=%d\n", int64(b.Now))
		for _, it := range b.Items {
			printItem(text, it)
		}
	}
	compareGolden(t, "session.read.txt", text.String())
}

func printItem(text *strings.Builder, it Item) {
	fmt.Fprintf(text, "instance=%d kind=%d ", it.Instance, int(it.Kind))
	switch ev := it.Event.(type) {
	case nil:
		fmt.Fprintf(text, "seed=%d\n", it.Seed)
		if it.Kind == Begin {
			printSettings(text, &it.Settings)
		}
	case decide.Members:
		fmt.Fprintf(text, "list full=%t failed=%t\n", ev.Full, ev.Failed)
		for _, s := range ev.Servers {
			fmt.Fprintf(text, "  server=%d zone=%d kind=%d cell=%d phase=%d weight=%v started=%d\n",
				uint64(s.ID), s.Zone, s.Kind, s.Cell, int(s.Phase), s.Weight, int64(s.Started))
		}
	case decide.Request:
		fmt.Fprintf(text, "request=%d class=%d object=%x part=%d group=%d left=%d size=%v repeat=%t\n", uint64(ev.ID), ev.Class,
			uint64(ev.Object), ev.Part, ev.Group, int64(ev.Left), ev.SizeKB, ev.Repeat)
	case decide.Outcome:
		fmt.Fprintf(text, "outcome request=%d attempt=%d server=%d result=%d note=%d waited=%d took=%d bytes=%d done=%t load=%v,%v,%v,%v\n",
			uint64(ev.ID), ev.Attempt, uint64(ev.Server), int(ev.Result), int(ev.Note), int64(ev.Waited), int64(ev.Took), ev.Bytes,
			ev.Done, ev.Load.Inflight, ev.Load.Busy, ev.Load.HitShare, ev.Load.Link)
	case decide.Timer:
		fmt.Fprintf(text, "timer token=%d\n", ev.Token)
	case decide.Purge:
		fmt.Fprintf(text, "purge object=%x group=%d age=%d\n", uint64(ev.Object), ev.Group, int64(ev.Age))
	case decide.Left:
		fmt.Fprintf(text, "left request=%d\n", uint64(ev.ID))
	default:
		fmt.Fprintln(text, "unknown event")
	}
}

func printSettings(text *strings.Builder, s *decide.Settings) {
	fmt.Fprintf(text, "  zones=%d zone=%d kinds=%d parent=%d origin=%d seats=%v routers=%d attempts=%d backoff=%d\n", s.Zones, s.Zone,
		s.Kinds, s.ParentKind, s.OriginKind, s.SeatsByZone, s.Routers, s.MaxAttempts, int64(s.MaxBackoff))
	fmt.Fprintf(text, "  cancel=%t join=%t direct=%t flow=%v bytes=%v sized=%t hits=%t falls=%t ask=%t\n", s.CanCancel, s.CanJoin,
		s.Direct, s.FlowKBps, s.BytesPerS, s.WeightsSize, s.HitsOnly, s.OriginFalls, s.MustAsk)
	fmt.Fprintf(text, "  drain=%d purge=%d purged=%d\n", int64(s.DrainGrace), int64(s.PurgeGrace), int64(s.PurgeDone))
	for _, r := range []decide.Ramp{s.Cache, s.Parent} {
		fmt.Fprintf(text, "  ramp from=%v warm=%d multiple=%v span=%d\n", r.From, int64(r.Warm), r.Multiple, int64(r.Span))
	}
	for _, c := range s.Classes {
		fmt.Fprintf(text, "  class name=%q effect=%d group=%d window=%d aim=%d stretch=%v deadline=%d worth=%v late=%v write=%t fresh=%d grace=%d\n",
			c.Name, int(c.Effect), int(c.Group), int64(c.Window), int64(c.Aim), c.AimStretch, int64(c.Deadline), c.Worth, c.LateWorth,
			c.Write, int64(c.Fresh), int64(c.Grace))
	}
}

// TestGoldenOutput pins the line of each action.
func TestGoldenOutput(t *testing.T) {
	us := time.Microsecond
	text := AppendBy(nil, 12)
	for _, a := range []decide.Action{
		decide.Get{ID: 1<<52 - 1, Server: 1<<32 - 1, Source: 7, Keep: 3, MaxAge: 1_500_000*us + 999, Until: 9312250 * us},
		decide.Get{ID: 5, Server: 6, Source: 7, Keep: 1, Join: true}, decide.Get{ID: 5, Server: 6, Source: 7, Renew: true},
		decide.Get{ID: 5, Server: 6, Source: 7, HeldOnly: true},
		decide.Refuse{ID: 5}, decide.Refuse{ID: 5, Backoff: 250_000 * us}, decide.Fail{ID: 6}, decide.Cancel{ID: 7, Attempt: 2},
		decide.Wake{After: 500 * us, Token: 1 << 63}, decide.Watch{},
	} {
		text = AppendAction(text, a)
	}
	compareGolden(t, "reply.txt", string(AppendEnd(text)))
}
