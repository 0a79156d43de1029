package plugin

import (
	"context"

	"google.golang.org/grpc"

	"garnetline/internal/dispatch"
	"garnetline/routing"
)

// interceptStream opens a stream at the server that the dispatcher chooses. A stream is not
// retried: what was sent on it cannot be sent again.
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

// resolveOnlyTransport carries out the attempts of a stream. An attempt ends as soon as its
// server is known; the dispatcher does not learn how the stream fares.
type resolveOnlyTransport struct{ plugin *Plugin }

// Send implements dispatch.Transport.
func (t resolveOnlyTransport) Send(attempt *dispatch.Attempt) *dispatch.Completion {
	if _, listed := t.plugin.serverAddress(attempt.Decision.Server); !listed {
		return dispatch.Unsent(attempt, routing.NotSent)
	}
	return dispatch.Resolved(attempt)
}
