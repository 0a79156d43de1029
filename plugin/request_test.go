package plugin

import (
	"context"
	"testing"
	"time"

	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"garnetline/internal/clock"
)

func TestCallerDeadlineOverridesClassDeadline(t *testing.T) {
	const classDeadline, callerDeadline = time.Minute, time.Hour
	if got := remainingTime(t.Context(), classDeadline); got != classDeadline {
		t.Errorf("without a deadline of the caller: got remaining time %v, want %v", got, classDeadline)
	}
	ctx, cancel := context.WithTimeout(t.Context(), callerDeadline)
	defer cancel()
	if got := remainingTime(ctx, classDeadline); got <= classDeadline || got > callerDeadline {
		t.Errorf("with a deadline of the caller: got remaining time %v, want at most %v and more than the deadline of the class", got, callerDeadline)
	}
}

func TestNewRequest(t *testing.T) {
	options := Options{
		Classes: []Class{
			{Name: "part", LatencyObjective: time.Second, Deadline: 2 * time.Second},
			{Name: "form", LatencyObjective: time.Second, Deadline: 3 * time.Second},
		},
		Operations: Operations{"Solve": {ID: "Solve", Class: "form", Effect: IdempotentWithKey}},
		Key:        func(string, any) Key { return Key{Object: 7, Chunk: 5, Group: 2} },
	}
	const now = 1.7e12 // ms
	plugin, err := newPlugin(options, clock.NewManual(now))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(plugin.Close)
	request, err := plugin.newRequest(t.Context(), "/puzzles.Solutions/Solve", nil)
	if err != nil {
		t.Fatal(err)
	}
	for name, field := range map[string]struct{ got, want any }{
		"class":    {plugin.classes.routing[request.Class].Name, "form"},
		"effect":   {Idempotency(plugin.classes.routing[request.Class].Idempotency), IdempotentWithKey},
		"object":   {uint64(request.Object), uint64(7)},
		"chunk":    {request.Chunk, 5},
		"group":    {request.PurgeGroup, 2},
		"deadline": {request.Deadline, now + 3000.0},
		"traced":   {request.Client != nil, false},
	} {
		if field.got != field.want {
			t.Errorf("%s: got %v, want %v", name, field.got, field.want)
		}
	}
}

func TestRejectedErrorTellsWhenToRetry(t *testing.T) {
	got := status.Convert(rejectedError(250))
	if want := "garnetline: RPC not served; a retry is safe"; got.Code() != codes.Unavailable || got.Message() != want {
		t.Errorf("got status %v %q, want %v %q", got.Code(), got.Message(), codes.Unavailable, want)
	}
	details := got.Details()
	if len(details) != 1 {
		t.Fatalf("got status details %v, want one", details)
	}
	retry, ok := details[0].(*errdetails.RetryInfo)
	if !ok {
		t.Fatalf("got status detail of type %T, want %T", details[0], retry)
	}
	if delay := retry.RetryDelay.AsDuration(); delay != 250*time.Millisecond {
		t.Errorf("got retry delay %v, want 250ms", delay)
	}
}
