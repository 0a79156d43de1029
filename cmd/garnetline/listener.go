package main

import (
	"context"
	"fmt"
	"net"

	"golang.org/x/sys/unix"

	"garnetline/internal/platformconfig"
)

// openListener opens the listening socket for clients. It binds the configured address, or uses
// the inherited descriptor of a socket that the platform passes on from one process to the next.
func openListener(ctx context.Context, config *platformconfig.Config) (net.Listener, error) {
	if config.ListenFD == 0 {
		var listenConfig net.ListenConfig
		listener, err := listenConfig.Listen(ctx, "tcp", config.Listen.String())
		if err != nil {
			return nil, fmt.Errorf("listen: %w", err)
		}
		return listener, nil
	}
	listener, err := newInheritedListener(config.ListenFD)
	if err != nil {
		return nil, fmt.Errorf("EDGE_LISTEN_FD: descriptor %d: %w", config.ListenFD, err)
	}
	_ = unix.Close(config.ListenFD) // the listener uses a duplicate
	return listener, nil
}
