package plugin

import (
	"context"
	"testing"

	"google.golang.org/grpc/balancer"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// fakeSubConn is a stand-in for a connection to a server.
type fakeSubConn struct{ balancer.SubConn }

func TestPickerFindsTheSelectedServer(t *testing.T) {
	want := &fakeSubConn{}
	connections := picker{"192.0.2.1:80": want, "192.0.2.2:80": &fakeSubConn{}}
	ctx, server := withSelectedServer(t.Context(), "192.0.2.1:80")
	got, err := connections.Pick(balancer.PickInfo{Ctx: ctx})
	if err != nil {
		t.Fatal(err)
	}
	if got.SubConn != want {
		t.Errorf("got connection %p, want %p", got.SubConn, want)
	}
	if !server.picked.Load() {
		t.Error("got picked false for a connected server, want true")
	}
}

func TestPickerErrors(t *testing.T) {
	selected, server := withSelectedServer(t.Context(), "192.0.2.1:80")
	for _, test := range []struct {
		name string
		ctx  context.Context
		code codes.Code
		text string
	}{
		{"no server is selected", t.Context(), codes.Internal, "garnetline: no server selected for the RPC: expected a ClientConn that uses the interceptors of Plugin.DialOptions"},
		{"not connected", selected, codes.Unavailable, "garnetline: no ready connection to the selected server 192.0.2.1:80"},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := picker{"192.0.2.2:80": &fakeSubConn{}}.Pick(balancer.PickInfo{Ctx: test.ctx})
			if got := status.Convert(err); got.Code() != test.code || got.Message() != test.text {
				t.Errorf("got status %v %q, want %v %q", got.Code(), got.Message(), test.code, test.text)
			}
		})
	}
	if server.picked.Load() {
		t.Error("got picked true for a server without a connection, want false")
	}
}
