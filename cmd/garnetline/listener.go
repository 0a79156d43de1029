package main

import (
	"context"
	"fmt"
	"net"
	"os"

	"garnetline/internal/platformconfig"
)

// openListener binds the clients' socket, or takes the one that the platform holds and passes
// on from one process to the next as a descriptor.
func openListener(ctx context.Context, config *platformconfig.Config) (net.Listener, error) {
	if config.ListenFD == 0 {
		var listenConfig net.ListenConfig
		listener, err := listenConfig.Listen(ctx, "tcp", config.Listen.String())
		if err != nil {
			return nil, fmt.Errorf("listen: %w", err)
		}
		return listener, nil
	}
	file := os.NewFile(uintptr(config.ListenFD), "listen")
	defer file.Close() //nolint:errcheck // the listener has a descriptor of its own
	listener, err := net.FileListener(file)
	if err != nil {
		return nil, fmt.Errorf("EDGE_LISTEN_FD: %w", err)
	}
	return listener, nil
}
