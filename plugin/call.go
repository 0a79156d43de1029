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

// interceptUnary carries out a unary RPC: the dispatcher decides which attempts are made,
// and at which servers.
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

// unaryCall is one unary RPC, and the transport that carries out its attempts.
type unaryCall struct {
	plugin *Plugin
	ctx    context.Context                 // of the caller
	invoke func(ctx context.Context) error // makes one attempt, which writes to the caller's reply

	mu       sync.Mutex
	finished bool // no further attempt begins
	lastErr  error
	inFlight sync.WaitGroup // attempts
}

// finish lets no further attempt begin and waits for the one in flight, which still writes
// to the caller's reply.
func (c *unaryCall) finish() {
	c.mu.Lock()
	c.finished = true
	c.mu.Unlock()
	c.inFlight.Wait()
}

// result returns the error that the caller gets for the dispatcher's response. The call must
// be finished.
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
	return status.Error(codes.DeadlineExceeded, "garnetline: no answer in time")
}

// Send implements dispatch.Transport: it begins an attempt in a goroutine that finish waits
// for.
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

// runAttempt carries out an attempt and reports its end to the dispatcher.
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

// cancelRPC cancels the RPC of an attempt: gRPC resets its stream, and the invoker returns.
type cancelRPC context.CancelFunc

// Cancel implements dispatch.TransportState.
func (c cancelRPC) Cancel(*dispatch.Attempt) { c() }

// Release implements dispatch.TransportState. The attempt's goroutine releases its context.
func (c cancelRPC) Release(*dispatch.Attempt) {}

// attemptResult returns what the status of an RPC says of its attempt. A code that neither
// gRPC nor an overloaded or broken server returns is the application's, and a response.
// picked tells whether there was a connection to write to.
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
		// The server may have executed a part: only an idempotent RPC counts as rejected.
		if idempotency == routing.Idempotent {
			return routing.Rejected
		}
		return routing.ServerError
	case codes.Internal, codes.DataLoss, codes.Aborted:
		return routing.ServerError
	}
	return routing.Served
}
