package plugin

import (
	"context"
	"hash/fnv"
	"time"

	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/durationpb"

	"garnetline/internal/clock"
	"garnetline/internal/dispatch"
	"garnetline/routing"
)

// newRequest returns the request that the dispatcher gets for an RPC. message is nil for a stream.
// The error has codes.FailedPrecondition if Options.Operations has no operation for the RPC.
func (p *Plugin) newRequest(ctx context.Context, fullMethod string, message any) (*dispatch.Request, error) {
	operation, ok := p.options.Operations.Find(fullMethod)
	if !ok {
		return nil, status.Errorf(codes.FailedPrecondition, "garnetline: no operation for RPC %s in Options.Operations", fullMethod)
	}
	var key Key
	if p.options.Key != nil {
		key = p.options.Key(fullMethod, message)
	}
	key = key.withDefaults(fullMethod)
	class := p.classes.indexOf(operation)
	remaining := remainingTime(ctx, p.classes.routing[class].Deadline)
	request := &dispatch.Request{
		Class:      class,
		Object:     routing.ObjectID(key.Object),
		Chunk:      key.Chunk,
		PurgeGroup: key.Group,
		Deadline:   p.clock.Now() + clock.Millis(remaining),
	}
	if p.recorder != nil {
		request.Client = &dispatch.ClientInfo{ReceivedAt: p.clock.Now(), TraceParent: callerTraceparent(ctx)}
	}
	return request, nil
}

// remainingTime returns the time until the deadline of ctx, or the argument defaultTime if ctx has
// no deadline.
func remainingTime(ctx context.Context, defaultTime time.Duration) time.Duration {
	if deadline, ok := ctx.Deadline(); ok {
		return time.Until(deadline)
	}
	return defaultTime
}

// submit submits a request to the dispatcher and waits until the dispatcher responds, ctx is done
// or the plugin is closed. It returns an error if ctx is done or the plugin is closed.
func (p *Plugin) submit(ctx context.Context, request *dispatch.Request, transport dispatch.Transport) (dispatch.Response, error) {
	responses := make(chan dispatch.Response, 1)
	request.Transport = transport
	request.Respond = func(response dispatch.Response) { responses <- response }
	if !p.dispatcher.Submit(request) {
		return dispatch.Response{}, errClosed()
	}
	select {
	case response := <-responses:
		return response, nil
	case <-ctx.Done():
		p.dispatcher.Disconnect(request)
		return dispatch.Response{}, status.FromContextError(ctx.Err()).Err()
	case <-p.stopped:
		return dispatch.Response{}, errClosed()
	}
}

// errClosed returns the error of an RPC that begins after the plugin is closed, or that has no
// response when the plugin is closed.
func errClosed() error { return status.Error(codes.Canceled, "garnetline: the plugin is closed") }

// rejectedError returns the error of an RPC that was not served and that the caller may safely
// retry. Its RetryInfo tells the caller how long to wait before a retry.
func rejectedError(retryAfterMs float64) error {
	rejected := status.New(codes.Unavailable, "garnetline: RPC not served; a retry is safe")
	retryInfo := &errdetails.RetryInfo{RetryDelay: durationpb.New(clock.Duration(retryAfterMs))}
	if detailed, err := rejected.WithDetails(retryInfo); err == nil {
		rejected = detailed
	}
	return rejected.Err()
}

// hashString returns a hash of a text. The hash is never 0, because a Key whose Object is 0 has no
// object id.
func hashString(text string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(text)) // never fails
	return max(hash.Sum64(), 1)
}
