package plugin

import (
	"context"
	"sync/atomic"

	"google.golang.org/grpc/balancer"
	"google.golang.org/grpc/balancer/base"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// balancerName is the name of the balancer in gRPC's registry and in the service config.
const balancerName = "garnetline"

func init() {
	balancer.Register(base.NewBalancerBuilder(balancerName, pickerBuilder{}, base.Config{}))
}

// selectedServer is the server that the dispatcher chose for an RPC. It travels from the
// interceptors to the picker in the RPC's context.
type selectedServer struct {
	address string
	picked  atomic.Bool // the picker found a connection to it
}

type selectedServerKey struct{}

// withSelectedServer returns a context whose RPC goes to the server at an address.
func withSelectedServer(ctx context.Context, address string) (context.Context, *selectedServer) {
	server := &selectedServer{address: address}
	return context.WithValue(ctx, selectedServerKey{}, server), server
}

// pickerBuilder makes pickers for the servers that are connected.
type pickerBuilder struct{}

// Build implements base.PickerBuilder.
func (pickerBuilder) Build(info base.PickerBuildInfo) balancer.Picker {
	connections := picker{}
	for connection, details := range info.ReadySCs {
		connections[details.Address.Addr] = connection
	}
	return connections
}

// picker finds the connection to the selected server. It holds connections by address.
type picker map[string]balancer.SubConn

// Pick implements balancer.Picker.
func (p picker) Pick(info balancer.PickInfo) (balancer.PickResult, error) {
	server, ok := info.Ctx.Value(selectedServerKey{}).(*selectedServer)
	if !ok {
		return balancer.PickResult{}, status.Error(codes.Internal, "garnetline: the plugin's interceptors are not in use")
	}
	connection, ok := p[server.address]
	if !ok {
		return balancer.PickResult{}, status.Errorf(codes.Unavailable, "garnetline: %s is not connected", server.address)
	}
	server.picked.Store(true)
	return balancer.PickResult{SubConn: connection}, nil
}
