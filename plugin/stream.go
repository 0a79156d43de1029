package plugin

import (
	"context"

	"google.golang.org/grpc"

	"garnetline/internal/dispatch"
	"garnetline/routing"
)

// interceptStream opens a stream to the server that the dispatcher selects. A stream is not
// retried, because the messages that were sent on it cannot be sent again.
func (p *Plugin) interceptStream(
	ctx context.Context, desc *grpc.StreamDesc, conn *grpc.ClientConn,
	fullMethod string, streamer grpc.Streamer, options ...grpc.CallOption,
) (grpc.ClientStream, error) {
	request, err := p.newRequest(ctx, fullMethod, nil)
	if err != nil {
		return nil, err
	}
	response, err := p.submit(ctx, request, resolveOnlyTransport{p})
	if err != nil {
		return nil, err
	}
	address, listed := p.serverAddress(response.Server)
	if response.Kind != dispatch.Served || !listed {
		return nil, rejectedError(response.RetryAfter)
	}
	ctx, _ = withSelectedServer(ctx, address)
	return streamer(ctx, desc, conn, fullMethod, options...)
}

// resolveOnlyTransport is the dispatch.Transport of a stream. It sends nothing. An attempt
// completes as soon as its server is selected. The dispatcher does not learn whether the stream
// succeeds.
type resolveOnlyTransport struct{ plugin *Plugin }

// Send implements dispatch.Transport.
func (t resolveOnlyTransport) Send(attempt *dispatch.Attempt) *dispatch.Completion {
	if _, listed := t.plugin.serverAddress(attempt.Decision.Server); !listed {
		return dispatch.Unsent(attempt, routing.NotSent)
	}
	return dispatch.Resolved(attempt)
}
