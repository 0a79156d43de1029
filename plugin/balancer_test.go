package plugin

import (
	"context"
	"testing"

	"google.golang.org/grpc/balancer"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// fakeSubConn stands for a connection to a server.
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
		t.Errorf("picked %p, want %p", got.SubConn, want)
	}
	if !server.picked.Load() {
		t.Error("the server is not marked as picked")
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
		{"no server is selected", t.Context(), codes.Internal, "garnetline: the plugin's interceptors are not in use"},
		{"not connected", selected, codes.Unavailable, "garnetline: 192.0.2.1:80 is not connected"},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := picker{"192.0.2.2:80": &fakeSubConn{}}.Pick(balancer.PickInfo{Ctx: test.ctx})
			if got := status.Convert(err); got.Code() != test.code || got.Message() != test.text {
				t.Errorf("%v %q, want %v %q", got.Code(), got.Message(), test.code, test.text)
			}
		})
	}
	if server.picked.Load() {
		t.Error("a server without a connection is marked as picked")
	}
}
