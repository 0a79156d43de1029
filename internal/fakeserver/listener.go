package fakeserver

import (
	"context"
	"net"
)

// listenLoopback opens a TCP listener on a free port of the loopback address.
func listenLoopback() (net.Listener, error) {
	var config net.ListenConfig
	return config.Listen(context.Background(), "tcp", "127.0.0.1:0")
}

// acceptLoop accepts connections until the listener is closed. It calls handle for each connection,
// and accepts the next connection when handle has returned.
func acceptLoop(listener net.Listener, handle func(net.Conn)) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		handle(conn)
	}
}
