package plugin

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"

	"google.golang.org/grpc/codes"
	health "google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/status"

	"garnetline/internal/dispatch"
	"garnetline/routing"
)

// All RPCs for one object go to the same server. newTestClient has already checked that RPCs for
// different objects reach all servers.
func TestRPCsOfAnObjectGoToOneServer(t *testing.T) {
	client := newTestClient(t, "get", 3)
	const repeats = 3
	for i := range 30 {
		service := fmt.Sprintf("object-%d", i)
		for range repeats {
			client.mustCheck(service)
		}
		if calls := client.calls(service); !slices.Contains(calls, repeats) {
			t.Errorf("%s: got %v calls by server, want %d calls to one server", service, calls, repeats)
		}
	}
}

// An RPC that the server may have executed is retried only if the description says that its
// operation is idempotent.
func TestOnlyIdempotentRPCsAreRetried(t *testing.T) {
	for _, test := range []struct {
		method    string
		wantCalls int
		wantCode  codes.Code
	}{
		{"get", 2, codes.OK},
		{"post", 1, codes.Unavailable},
	} {
		t.Run(test.method, func(t *testing.T) {
			client := newTestClient(t, test.method, 2)
			var failed atomic.Bool
			client.setRespond(func(context.Context) error {
				if failed.CompareAndSwap(false, true) {
					return status.Error(codes.Unavailable, "going down")
				}
				return nil
			})
			err := client.check("x")
			if calls := sum(client.calls("x")); calls != test.wantCalls {
				t.Errorf("got %d calls, want %d", calls, test.wantCalls)
			}
			if code := status.Code(err); code != test.wantCode {
				t.Errorf("got error %v, want code %v", err, test.wantCode)
			}
		})
	}
}

// An error of the application counts as a response: the caller receives it without a retry.
func TestApplicationErrorsAreNotRetried(t *testing.T) {
	client := newTestClient(t, "get", 2)
	client.setRespond(func(context.Context) error { return status.Error(codes.NotFound, "no such part") })
	if err := client.check("x"); status.Code(err) != codes.NotFound {
		t.Errorf("got error %v, want code %v", err, codes.NotFound)
	}
	if calls := sum(client.calls("x")); calls != 1 {
		t.Errorf("got %d calls, want 1", calls)
	}
}

// When the caller cancels an RPC, the RPC is canceled at the server too.
func TestCanceledRPCIsCanceledAtItsServer(t *testing.T) {
	client := newTestClient(t, "get", 1)
	began, ended := make(chan struct{}), make(chan struct{})
	client.setRespond(func(ctx context.Context) error {
		close(began)
		<-ctx.Done()
		close(ended)
		return ctx.Err()
	})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() {
		<-began
		cancel()
	}()
	_, err := client.health.Check(ctx, &health.HealthCheckRequest{Service: "x"})
	if status.Code(err) != codes.Canceled {
		t.Errorf("got error %v, want code %v", err, codes.Canceled)
	}
	<-ended
}

func TestAttemptResults(t *testing.T) {
	const connected, notConnected = true, false
	for _, test := range []struct {
		code        codes.Code
		picked      bool
		idempotency routing.Idempotency
		want        routing.Result
	}{
		{codes.OK, connected, routing.Idempotent, routing.Served},
		{codes.NotFound, connected, routing.NonIdempotent, routing.Served},
		{codes.Unknown, connected, routing.Idempotent, routing.Served},
		{codes.Unavailable, notConnected, routing.NonIdempotent, routing.ConnectFailed},
		{codes.Unavailable, connected, routing.Idempotent, routing.ConnectionLost},
		{codes.Canceled, connected, routing.Idempotent, routing.Canceled},
		{codes.DeadlineExceeded, connected, routing.Idempotent, routing.TimedOut},
		{codes.ResourceExhausted, connected, routing.Idempotent, routing.Rejected},
		{codes.ResourceExhausted, connected, routing.IdempotentWithKey, routing.ServerError},
		{codes.ResourceExhausted, connected, routing.NonIdempotent, routing.ServerError},
		{codes.Internal, connected, routing.Idempotent, routing.ServerError},
		{codes.DataLoss, connected, routing.Idempotent, routing.ServerError},
		{codes.Aborted, connected, routing.Idempotent, routing.ServerError},
	} {
		t.Run(fmt.Sprintf("%v, picked %v, idempotency %d", test.code, test.picked, test.idempotency), func(t *testing.T) {
			if got := attemptResult(test.code, test.picked, test.idempotency); got != test.want {
				t.Errorf("got result %v, want %v", got, test.want)
			}
		})
	}
}

func TestUnaryCallResult(t *testing.T) {
	lost := status.Error(codes.Unavailable, "going down")
	for _, test := range []struct {
		name    string
		lastErr error
		kind    dispatch.ResponseKind
		code    codes.Code
		text    string
	}{
		{"served", nil, dispatch.Served, codes.OK, ""},
		{"served with the application's error", status.Error(codes.NotFound, "no such part"), dispatch.Served, codes.NotFound, "no such part"},
		{"rejected", lost, dispatch.Rejected, codes.Unavailable, "garnetline: RPC not served; a retry is safe"},
		{"failed after an attempt", lost, dispatch.Failed, codes.Unavailable, "going down"},
		{"failed without an attempt", nil, dispatch.Failed, codes.DeadlineExceeded, "garnetline: no response from any server before the deadline"},
	} {
		t.Run(test.name, func(t *testing.T) {
			call := &unaryCall{lastErr: test.lastErr}
			got := status.Convert(call.result(dispatch.Response{Kind: test.kind}))
			if got.Code() != test.code || got.Message() != test.text {
				t.Errorf("got status %v %q, want %v %q", got.Code(), got.Message(), test.code, test.text)
			}
		})
	}
}

func TestStreamIsServed(t *testing.T) {
	client := newTestClient(t, "get", 2)
	stream, err := client.health.Watch(t.Context(), &health.HealthCheckRequest{Service: "x"})
	if err != nil {
		t.Fatal(err)
	}
	response, err := stream.Recv()
	if err != nil {
		t.Fatal(err)
	}
	if response.Status != health.HealthCheckResponse_SERVING {
		t.Errorf("got status %v, want %v", response.Status, health.HealthCheckResponse_SERVING)
	}
}

func TestUndescribedRPCIsRejected(t *testing.T) {
	client := newTestClient(t, "get", 1)
	err := client.plugin.interceptUnary(t.Context(), "/a.B/Other", nil, nil, nil, nil)
	if status.Code(err) != codes.FailedPrecondition {
		t.Errorf("got error %v, want code %v", err, codes.FailedPrecondition)
	}
}
