package simproto

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"garnetline/internal/golden"
	"garnetline/routing"
)

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
		for _, it := range b.Messages {
			printItem(text, it)
		}
	}
	golden.Compare(t, "session.read.txt", []byte(text.String()))
}

func printItem(text *strings.Builder, it Message) {
	fmt.Fprintf(text, "instance=%d kind=%d ", it.Instance, int(it.Kind))
	switch ev := it.Event.(type) {
	case nil:
		fmt.Fprintf(text, "seed=%d\n", it.Seed)
		if it.Kind == InstanceStart {
			printSettings(text, &it.Settings)
		}
	case routing.EndpointUpdate:
		fmt.Fprintf(text, "list full=%t failed=%t\n", ev.Snapshot, ev.Failed)
		for _, s := range ev.Servers {
			fmt.Fprintf(text, "  server=%d zone=%d kind=%d cell=%d phase=%d weight=%v started=%d\n",
				uint64(s.ID), s.Zone, s.Kind, s.Cell, int(s.Phase), s.Weight, int64(s.StartedAt))
		}
	case routing.Request:
		fmt.Fprintf(text, "request=%d class=%d object=%x part=%d group=%d left=%d size=%v repeat=%t\n", uint64(ev.ID), ev.Class,
			uint64(ev.Object), ev.Chunk, ev.PurgeGroup, int64(ev.Timeout), ev.SizeKB, ev.ClientRetry)
	case routing.Outcome:
		fmt.Fprintf(text, "outcome request=%d attempt=%d server=%d result=%d note=%d waited=%d took=%d bytes=%d done=%t load=%v,%v,%v,%v\n",
			uint64(ev.ID), ev.Attempt, uint64(ev.Server), int(ev.Result), int(ev.CacheStatus), int64(ev.SourceWait), int64(ev.Duration), ev.BodyBytes,
			ev.RequestDone, ev.Load.Inflight, ev.Load.CPUUtilization, ev.Load.HitRatio, ev.Load.LinkUtilization)
	case routing.TimerFired:
		fmt.Fprintf(text, "timer token=%d\n", ev.Token)
	case routing.Purge:
		fmt.Fprintf(text, "purge object=%x group=%d age=%d\n", uint64(ev.Object), ev.Group, int64(ev.Age))
	case routing.ClientDisconnected:
		fmt.Fprintf(text, "left request=%d\n", uint64(ev.ID))
	default:
		fmt.Fprintln(text, "unknown event")
	}
}

func printSettings(text *strings.Builder, s *routing.Settings) {
	fmt.Fprintf(text, "  zones=%d zone=%d kinds=%d parent=%d origin=%d seats=%v routers=%d attempts=%d backoff=%d\n", s.Zones, s.Zone,
		s.Kinds, s.ParentKind, s.OriginKind, s.RoutersByZone, s.Routers, s.MaxAttempts, int64(s.MaxRetryAfter))
	fmt.Fprintf(text, "  cancel=%t join=%t direct=%t flow=%v bytes=%v sized=%t hits=%t falls=%t ask=%t\n", s.CanCancel, s.CanJoinFill,
		s.AllowBypass, s.TransferKBPerSecond, s.BodyBytesPerSecond, s.WeightIsCapacity, s.HitStatusOnly, s.OriginStopsOnOverload, s.MustSubscribe)
	fmt.Fprintf(text, "  drain=%d purge=%d purged=%d\n", int64(s.DrainGrace), int64(s.PurgeGrace), int64(s.PurgeRetention))
	for _, r := range []routing.SlowStart{s.CacheSlowStart, s.ParentSlowStart} {
		fmt.Fprintf(text, "  ramp from=%v warm=%d multiple=%v span=%d\n", r.InitialCapacity, int64(r.Duration), r.OverloadFactor, int64(r.OverloadWindow))
	}
	for _, c := range s.Classes {
		fmt.Fprintf(text, "  class name=%q effect=%d group=%d window=%d aim=%d stretch=%v deadline=%d worth=%v late=%v write=%t fresh=%d grace=%d\n",
			c.Name, int(c.Idempotency), int(c.KeyScope), int64(c.KeyWindow), int64(c.LatencyObjective), c.ObjectiveTransferFactor, int64(c.Deadline), c.PriorityWeight, c.LateWeightFactor,
			c.Write, int64(c.FreshnessLifetime), int64(c.MaxStale))
	}
}

// TestGoldenOutput pins the line of each action.
func TestGoldenOutput(t *testing.T) {
	us := time.Microsecond
	text := AppendInstance(nil, 12)
	for _, a := range []routing.Action{
		routing.SendAttempt{ID: 1<<52 - 1, Server: 1<<32 - 1, FillSource: 7, CopyRank: 3, MaxAge: 1_500_000*us + 999, Deadline: 9312250 * us},
		routing.SendAttempt{ID: 5, Server: 6, FillSource: 7, CopyRank: 1, JoinFill: true}, routing.SendAttempt{ID: 5, Server: 6, FillSource: 7, Revalidate: true},
		routing.SendAttempt{ID: 5, Server: 6, FillSource: 7, OnlyIfCached: true},
		routing.Reject{ID: 5}, routing.Reject{ID: 5, RetryAfter: 250_000 * us}, routing.Fail{ID: 6}, routing.CancelAttempt{ID: 7, Attempt: 2},
		routing.SetTimer{Delay: 500 * us, Token: 1 << 63}, routing.Subscribe{},
	} {
		text = AppendAction(text, a)
	}
	golden.Compare(t, "reply.txt", AppendReplyEnd(text))
}
