package plugin

import (
	"context"
	"sync"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"garnetline/internal/clock"
	"garnetline/internal/dispatch"
	"garnetline/routing"
)

// interceptUnary executes a unary RPC. The dispatcher decides how many attempts are made and
// to which servers they go.
func (p *Plugin) interceptUnary(
	ctx context.Context, fullMethod string, message, reply any,
	conn *grpc.ClientConn, invoker grpc.UnaryInvoker, options ...grpc.CallOption,
) error {
	request, err := p.newRequest(ctx, fullMethod, message)
	if err != nil {
		return err
	}
	call := &unaryCall{plugin: p, ctx: ctx}
	call.invoke = func(ctx context.Context) error {
		return invoker(ctx, fullMethod, message, reply, conn, options...)
	}
	response, err := p.submit(ctx, request, call)
	call.finish()
	if err != nil {
		return err
	}
	return call.result(response)
}

// unaryCall is one unary RPC. It is also the dispatch.Transport that executes the attempts of
// that RPC.
type unaryCall struct {
	plugin *Plugin
	ctx    context.Context                 // the caller's context
	invoke func(ctx context.Context) error // makes one attempt and writes its response to the caller's reply

	mu       sync.Mutex
	finished bool           // if true, no further attempt is started
	lastErr  error          // the error of the attempt that completed last; nil if it succeeded
	inFlight sync.WaitGroup // the running attempts
}

// finish prevents further attempts. It waits for the attempts in flight, because they may still
// write to the caller's reply.
func (c *unaryCall) finish() {
	c.mu.Lock()
	c.finished = true
	c.mu.Unlock()
	c.inFlight.Wait()
}

// result converts the dispatcher's response to the error that the RPC returns, which is nil if the
// RPC succeeded. finish must be called before result.
func (c *unaryCall) result(response dispatch.Response) error {
	switch response.Kind {
	case dispatch.Served, dispatch.NotModified:
		return c.lastErr
	case dispatch.Rejected:
		return rejectedError(response.RetryAfter)
	}
	if c.lastErr != nil {
		return c.lastErr
	}
	return status.Error(codes.DeadlineExceeded, "garnetline: no response from any server before the deadline")
}

// Send implements dispatch.Transport. It starts an attempt in a goroutine, and finish waits for
// that goroutine.
func (c *unaryCall) Send(attempt *dispatch.Attempt) *dispatch.Completion {
	address, listed := c.plugin.serverAddress(attempt.Decision.Server)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !listed || c.finished {
		return dispatch.Unsent(attempt, routing.NotSent)
	}
	remaining := clock.Duration(attempt.ExpiresAt - c.plugin.clock.Now())
	ctx, cancel := context.WithTimeout(c.ctx, remaining)
	attempt.TransportState = cancelRPC(cancel)
	c.inFlight.Add(1)
	go func() {
		defer c.inFlight.Done()
		defer cancel()
		c.runAttempt(ctx, attempt, address)
	}()
	return nil
}

// runAttempt executes an attempt and reports its result to the dispatcher.
func (c *unaryCall) runAttempt(ctx context.Context, attempt *dispatch.Attempt, address string) {
	ctx = withAttemptTraceparent(ctx, attempt.Trace)
	ctx, server := withSelectedServer(ctx, address)
	err := c.invoke(ctx)
	c.mu.Lock()
	c.lastErr = err
	c.mu.Unlock()
	c.plugin.dispatcher.Complete(dispatch.Completion{
		Attempt:  attempt,
		Result:   attemptResult(status.Code(err), server.picked.Load(), attempt.Class.Idempotency),
		Load:     dispatch.UnknownLoad(),
		Response: dispatch.Response{Kind: dispatch.Served, Server: attempt.Decision.Server},
	})
}

// cancelRPC cancels the RPC of an attempt. gRPC then resets the RPC's stream, and the invoker
// returns.
type cancelRPC context.CancelFunc

// Cancel implements dispatch.TransportState.
func (c cancelRPC) Cancel(*dispatch.Attempt) { c() }

// Release implements dispatch.TransportState. It does nothing, because the attempt's goroutine
// releases the context itself.
func (c cancelRPC) Release(*dispatch.Attempt) {}

// attemptResult converts the status code of an attempt's RPC to the result that the plugin reports
// to the dispatcher. Codes that gRPC itself or an overloaded or broken server returns are failures.
// Any other code comes from the application and counts as a response. The argument picked tells
// whether the picker found a connection to the server.
func attemptResult(code codes.Code, picked bool, idempotency routing.Idempotency) routing.Result {
	switch code {
	case codes.Unavailable:
		if !picked {
			return routing.ConnectFailed
		}
		return routing.ConnectionLost
	case codes.Canceled:
		return routing.Canceled
	case codes.DeadlineExceeded:
		return routing.TimedOut
	case codes.ResourceExhausted:
		// The dispatcher may retry a rejected RPC. The server may have executed part of this RPC,
		// so it counts as rejected only if its operation is idempotent.
		if idempotency == routing.Idempotent {
			return routing.Rejected
		}
		return routing.ServerError
	case codes.Internal, codes.DataLoss, codes.Aborted:
		return routing.ServerError
	}
	return routing.Served
}
