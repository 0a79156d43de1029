package plugin

import (
	"context"
	"sync/atomic"

	"google.golang.org/grpc/balancer"
	"google.golang.org/grpc/balancer/base"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// balancerName is the name of the balancer in gRPC's registry of balancers and in the service
// config.
const balancerName = "garnetline"

func init() {
	balancer.Register(base.NewBalancerBuilder(balancerName, pickerBuilder{}, base.Config{}))
}

// selectedServer is the server that the dispatcher selected for an RPC. The interceptors pass
// it to the picker in the RPC's context.
type selectedServer struct {
	address string
	picked  atomic.Bool // whether the picker found a connection to the server
}

type selectedServerKey struct{}

// withSelectedServer returns a context for an RPC and the selectedServer that the context holds.
// The picker sends an RPC with this context to the server at the given address.
func withSelectedServer(ctx context.Context, address string) (context.Context, *selectedServer) {
	server := &selectedServer{address: address}
	return context.WithValue(ctx, selectedServerKey{}, server), server
}

// pickerBuilder builds pickers for the servers with ready connections.
type pickerBuilder struct{}

// Build implements base.PickerBuilder.
func (pickerBuilder) Build(info base.PickerBuildInfo) balancer.Picker {
	connections := picker{}
	for connection, details := range info.ReadySCs {
		connections[details.Address.Addr] = connection
	}
	return connections
}

// picker maps the address of each connected server to its connection. For each RPC, it picks the
// connection to the selected server.
type picker map[string]balancer.SubConn

// Pick implements balancer.Picker.
func (p picker) Pick(info balancer.PickInfo) (balancer.PickResult, error) {
	server, ok := info.Ctx.Value(selectedServerKey{}).(*selectedServer)
	if !ok {
		return balancer.PickResult{}, status.Error(codes.Internal, "garnetline: no server selected for the RPC: expected a ClientConn that uses the interceptors of Plugin.DialOptions")
	}
	connection, ok := p[server.address]
	if !ok {
		return balancer.PickResult{}, status.Errorf(codes.Unavailable, "garnetline: no ready connection to the selected server %s", server.address)
	}
	server.picked.Store(true)
	return balancer.PickResult{SubConn: connection}, nil
}
