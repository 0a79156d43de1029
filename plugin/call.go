package plugin

import (
	"context"
	"sync"
	"time"

	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/durationpb"

	"garnetline/internal/clock"
	"garnetline/internal/dispatch"
	"garnetline/routing"
)

const codeNotDescribed = codes.FailedPrecondition

// unaryCall carries the attempts of one unary RPC out.
type unaryCall struct {
	plugin *Plugin
	ctx    context.Context
	invoke func(ctx context.Context) error

	mu       sync.Mutex
	finished bool
	inFlight sync.WaitGroup
	lastErr  error // of the latest attempt
}

// interceptUnary carries a unary RPC out by the core's decisions.
func (p *Plugin) interceptUnary(ctx context.Context, method string, req, reply any, cc *grpc.ClientConn, invoker grpc.UnaryInvoker, opts ...grpc.CallOption) error {
	r, err := p.newRequest(ctx, method, req)
	if err != nil {
		return err
	}
	c := &unaryCall{plugin: p, ctx: ctx, invoke: func(ctx context.Context) error { return invoker(ctx, method, req, reply, cc, opts...) }}
	a, err := p.submit(ctx, r, c)
	c.finish()
	if err != nil {
		return err
	}
	return c.result(a)
}

// submit hands a request to the core and waits for its answer, or for the
// caller to leave.
func (p *Plugin) submit(ctx context.Context, r *dispatch.Request, c dispatch.Transport) (dispatch.Response, error) {
	answers := make(chan dispatch.Response, 1)
	r.Transport, r.Respond = c, func(a dispatch.Response) { answers <- a }
	if !p.dispatcher.Submit(r) {
		return dispatch.Response{}, status.Error(codes.Canceled, "garnetline: the plugin is closed")
	}
	select {
	case a := <-answers:
		return a, nil
	case <-ctx.Done():
		p.dispatcher.Disconnect(r)
		return dispatch.Response{}, status.FromContextError(ctx.Err()).Err()
	case <-p.stopped:
		return dispatch.Response{}, status.Error(codes.Canceled, "garnetline: the plugin is closed")
	}
}

// finish lets no further attempt begin and waits for the one that is out: it
// still writes to the caller's reply.
func (c *unaryCall) finish() {
	c.mu.Lock()
	c.finished = true
	c.mu.Unlock()
	c.inFlight.Wait()
}

// result turns the core's answer into that of the RPC.
func (c *unaryCall) result(a dispatch.Response) error {
	switch a.Kind {
	case dispatch.Served, dispatch.NotModified:
		return c.lastErr
	case dispatch.Rejected:
		s := status.New(codes.Unavailable, "garnetline: refused, a retry is harmless")
		if t, err := s.WithDetails(&errdetails.RetryInfo{RetryDelay: durationpb.New(clock.Duration(a.RetryAfter))}); err == nil {
			s = t
		}
		return s.Err()
	}
	if c.lastErr != nil {
		return c.lastErr
	}
	return status.Error(codes.DeadlineExceeded, "garnetline: no answer in time")
}

// Send begins an attempt.
func (c *unaryCall) Send(a *dispatch.Attempt) *dispatch.Completion {
	addr, ok := c.plugin.serverAddress(a.Decision.Server)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !ok || c.finished {
		return dispatch.Unsent(a, routing.NotSent)
	}
	ctx, stop := context.WithDeadline(c.ctx, time.Now().Add(clock.Duration(a.ExpiresAt-c.plugin.clock.Now())))
	a.TransportState = cancelRPC(stop)
	c.inFlight.Add(1)
	go func() {
		defer c.inFlight.Done()
		defer stop()
		to := &selectedServer{address: addr}
		err := c.invoke(context.WithValue(withAttemptTraceparent(ctx, a.Trace), selectedServerKey{}, to))
		c.mu.Lock()
		c.lastErr = err
		c.mu.Unlock()
		c.plugin.dispatcher.Complete(completionOf(a, err, to.picked.Load()))
	}()
	return nil
}

// cancelRPC cancels the RPC of an attempt: gRPC resets its stream, and the invoker returns.
type cancelRPC context.CancelFunc

// Cancel implements dispatch.TransportState.
func (c cancelRPC) Cancel(*dispatch.Attempt) { c() }

// Release implements dispatch.TransportState. Nothing is counted.
func (c cancelRPC) Release(*dispatch.Attempt) {}

// completionOf tells what the end of an RPC says of its attempt. What is no word
// of the transport is the application's, and is an answer.
func completionOf(a *dispatch.Attempt, err error, picked bool) dispatch.Completion {
	e := dispatch.Completion{Attempt: a, Load: dispatch.UnknownLoad(), Response: dispatch.Response{Kind: dispatch.Served, Server: a.Decision.Server}}
	switch code := status.Code(err); {
	case code == codes.OK:
	case !picked && code == codes.Unavailable:
		e.Result = routing.ConnectFailed // no connection was there to write to
	case code == codes.Unavailable:
		e.Result = routing.ConnectionLost
	case code == codes.Canceled:
		e.Result = routing.Canceled
	case code == codes.DeadlineExceeded:
		e.Result = routing.TimedOut
	case code == codes.ResourceExhausted && a.Class.Idempotency == routing.Idempotent:
		e.Result = routing.Rejected
	case code == codes.Internal, code == codes.DataLoss, code == codes.Aborted, code == codes.ResourceExhausted:
		e.Result = routing.ServerError
	}
	return e
}

// resolveOnlyTransport carries a stream's attempt out: it is over once its server is named.
type resolveOnlyTransport struct{ plugin *Plugin }

func (n resolveOnlyTransport) Send(a *dispatch.Attempt) *dispatch.Completion {
	if _, ok := n.plugin.serverAddress(a.Decision.Server); !ok {
		return dispatch.Unsent(a, routing.NotSent)
	}
	return dispatch.Resolved(a)
}

// interceptStream has the core choose a stream's server. A stream is not tried again:
// what was sent on it can't be.
func (p *Plugin) interceptStream(ctx context.Context, desc *grpc.StreamDesc, cc *grpc.ClientConn, method string, streamer grpc.Streamer, opts ...grpc.CallOption) (grpc.ClientStream, error) {
	r, err := p.newRequest(ctx, method, nil)
	if err != nil {
		return nil, err
	}
	a, err := p.submit(ctx, r, resolveOnlyTransport{p})
	if err != nil {
		return nil, err
	}
	addr, ok := p.serverAddress(a.Server)
	if a.Kind != dispatch.Served || !ok {
		return nil, (&unaryCall{}).result(dispatch.Response{Kind: dispatch.Rejected, RetryAfter: a.RetryAfter})
	}
	return streamer(context.WithValue(ctx, selectedServerKey{}, &selectedServer{address: addr}), desc, cc, method, opts...)
}
