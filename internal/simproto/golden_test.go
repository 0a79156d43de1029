package simproto

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"testing"
	"time"

	"garnetline/internal/golden"
	"garnetline/routing"
)

// The golden files in testdata (see package golden) hold what the simulator sends and receives.
// Some labels in them are older terms that differ from the identifiers of this package.

// TestGoldenSession checks how each line from the simulator is parsed. The file
// testdata/session.txt contains every message, status, cache status and setting. The file
// testdata/session.read.txt contains the parsed fields.
func TestGoldenSession(t *testing.T) {
	session, err := os.ReadFile(filepath.Join("testdata", "session.txt"))
	if err != nil {
		t.Fatal(err)
	}
	var text bytes.Buffer
	reader := NewReader(bytes.NewReader(session))
	for {
		batch, err := reader.Next()
		if err != nil {
			if errors.Is(err, io.EOF) {
				t.Error("got io.EOF, want the error of the invalid last batch")
			}
			fmt.Fprintln(&text, err)
			break
		}
		fmt.Fprintf(&text, "now=%d\n", int64(batch.Now))
		for _, message := range batch.Messages {
			printMessage(&text, message)
		}
	}
	golden.Compare(t, "session.read.txt", text.Bytes())
}

func printMessage(text *bytes.Buffer, message Message) {
	fmt.Fprintf(text, "instance=%d kind=%d ", message.Instance, int(message.Kind))
	if message.Event != nil {
		printEvent(text, message.Event)
		return
	}
	fmt.Fprintf(text, "seed=%d\n", message.Seed)
	if message.Kind == InstanceStart {
		printSettings(text, &message.Settings)
	}
}

func printEvent(text *bytes.Buffer, event routing.Event) {
	switch event := event.(type) {
	case routing.EndpointUpdate:
		fmt.Fprintf(text, "list full=%t failed=%t\n", event.Snapshot, event.Failed)
		for _, server := range event.Servers {
			fmt.Fprintf(text, "  server=%d zone=%d kind=%d cell=%d phase=%d weight=%v started=%d\n",
				uint64(server.ID), server.Zone, server.Kind, server.Cell,
				int(server.Phase), server.Weight, int64(server.StartedAt))
		}
	case routing.Request:
		fmt.Fprintf(text, "request=%d class=%d object=%x part=%d group=%d left=%d size=%v repeat=%t\n",
			uint64(event.ID), event.Class, uint64(event.Object), event.Chunk,
			event.PurgeGroup, int64(event.Timeout), event.SizeKB, event.ClientRetry)
	case routing.Outcome:
		fmt.Fprintf(text, "outcome request=%d attempt=%d server=%d result=%d note=%d waited=%d took=%d bytes=%d done=%t load=%v,%v,%v,%v\n",
			uint64(event.ID), event.Attempt, uint64(event.Server), int(event.Result),
			int(event.CacheStatus), int64(event.FillWait), int64(event.Duration), event.BodyBytes, event.RequestDone,
			event.Load.Inflight, event.Load.CPUUtilization, event.Load.HitRatio, event.Load.LinkUtilization)
	case routing.TimerFired:
		fmt.Fprintf(text, "timer token=%d\n", event.Token)
	case routing.Purge:
		fmt.Fprintf(text, "purge object=%x group=%d age=%d\n", uint64(event.Object), event.Group, int64(event.Age))
	case routing.ClientDisconnected:
		fmt.Fprintf(text, "left request=%d\n", uint64(event.ID))
	default:
		fmt.Fprintln(text, "unknown event")
	}
}

func printSettings(text *bytes.Buffer, settings *routing.Settings) {
	fmt.Fprintf(text, "  zones=%d zone=%d kinds=%d parent=%d origin=%d seats=%v routers=%d attempts=%d backoff=%d\n",
		settings.Zones, settings.Zone, settings.Kinds, settings.ParentKind, settings.OriginKind,
		settings.RoutersByZone, settings.Routers, settings.MaxAttempts, int64(settings.MaxRetryAfter))
	fmt.Fprintf(text, "  cancel=%t join=%t direct=%t flow=%v bytes=%v sized=%t hits=%t falls=%t ask=%t\n",
		settings.CanCancel, settings.CanJoinFill, settings.AllowBypass, settings.TransferKBPerSecond, settings.BodyBytesPerSecond,
		settings.WeightIsCapacity, settings.HitStatusOnly, settings.OriginStopsOnOverload, settings.MustSubscribe)
	fmt.Fprintf(text, "  drain=%d purge=%d purged=%d\n",
		int64(settings.DrainGrace), int64(settings.PurgeGrace), int64(settings.PurgeRetention))
	for _, slowStart := range []routing.SlowStart{settings.CacheSlowStart, settings.ParentSlowStart} {
		fmt.Fprintf(text, "  ramp from=%v warm=%d multiple=%v span=%d\n",
			slowStart.InitialCapacity, int64(slowStart.Duration), slowStart.OverloadFactor, int64(slowStart.OverloadWindow))
	}
	for _, class := range settings.Classes {
		fmt.Fprintf(text, "  class name=%q effect=%d group=%d window=%d aim=%d stretch=%v deadline=%d worth=%v late=%v write=%t fresh=%d grace=%d\n",
			class.Name, int(class.Idempotency), int(class.KeyScope), int64(class.KeyWindow),
			int64(class.LatencyObjective), class.ObjectiveTransferFactor, int64(class.Deadline),
			class.PriorityWeight, class.LateWeightFactor,
			class.Write, int64(class.FreshnessLifetime), int64(class.MaxStale))
	}
}

// TestGoldenReply checks the line of each action against testdata/reply.txt.
func TestGoldenReply(t *testing.T) {
	const microsecond = time.Microsecond
	reply := AppendInstance(nil, 12)
	for _, action := range []routing.Action{
		routing.SendAttempt{
			ID: maxRequestID, Server: maxServerID, FillSource: 7, CopyRank: 3,
			MaxAge: 1_500_000*microsecond + 999, Deadline: 9_312_250 * microsecond,
		},
		routing.SendAttempt{ID: 5, Server: 6, FillSource: 7, CopyRank: 1, JoinFill: true},
		routing.SendAttempt{ID: 5, Server: 6, FillSource: 7, Revalidate: true},
		routing.SendAttempt{ID: 5, Server: 6, FillSource: 7, OnlyIfCached: true},
		routing.Reject{ID: 5},
		routing.Reject{ID: 5, RetryAfter: 250_000 * microsecond},
		routing.Fail{ID: 6},
		routing.CancelAttempt{ID: 7, Attempt: 2},
		routing.SetTimer{Delay: 500 * microsecond, Token: maxTimerToken},
		routing.Subscribe{},
	} {
		reply = AppendAction(reply, action)
	}
	golden.Compare(t, "reply.txt", AppendReplyEnd(reply))
}
