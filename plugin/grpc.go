package plugin

import (
	"context"
	"hash/fnv"
	"net"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc/balancer"
	"google.golang.org/grpc/balancer/base"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/resolver"
	"google.golang.org/grpc/status"

	"garnetline/internal/platformconfig"
	"garnetline/routing"
)

const (
	balancerName  = "garnetline"
	targetScheme  = "garnetline"
	lookupTimeout = 2 * time.Second
)

func init() { balancer.Register(base.NewBalancerBuilder(balancerName, pickerBuilder{}, base.Config{})) }

// selectedServer is the server that the core chose for an RPC.
type selectedServer struct {
	address string
	picked  atomic.Bool // a connection to it was there
}

type selectedServerKey struct{}

// pickerBuilder makes the picker of the servers that are connected.
type pickerBuilder struct{}

func (pickerBuilder) Build(info base.PickerBuildInfo) balancer.Picker {
	p := picker{}
	for sc, i := range info.ReadySCs {
		p[i.Address.Addr] = sc
	}
	return p
}

// picker finds the connection to the server that was chosen.
type picker map[string]balancer.SubConn

func (p picker) Pick(info balancer.PickInfo) (balancer.PickResult, error) {
	c, ok := info.Ctx.Value(selectedServerKey{}).(*selectedServer)
	if !ok {
		return balancer.PickResult{}, status.Error(codes.Internal, "garnetline: the plugin's interceptors are not in use")
	}
	sc, ok := p[c.address]
	if !ok {
		return balancer.PickResult{}, status.Errorf(codes.Unavailable, "garnetline: %s is not connected", c.address)
	}
	c.picked.Store(true)
	return balancer.PickResult{SubConn: sc}, nil
}

// Scheme is that of the targets that the plugin resolves, as in
// garnetline://DNSSERVER/NAME; without a DNS server the system's is asked.
func (p *Plugin) Scheme() string { return targetScheme }

// Build starts to follow the SRV records of the target's name.
func (p *Plugin) Build(target resolver.Target, cc resolver.ClientConn, _ resolver.BuildOptions) (resolver.Resolver, error) {
	ctx, stop := context.WithCancel(context.Background())
	w := &srvResolver{plugin: p, conn: cc, name: target.Endpoint(), cancel: stop, lookupRequested: make(chan struct{}, 1), dns: net.DefaultResolver}
	if server := target.URL.Host; server != "" {
		if _, _, err := net.SplitHostPort(server); err != nil {
			server = net.JoinHostPort(server, "53")
		}
		w.dns = &net.Resolver{PreferGo: true, Dial: func(ctx context.Context, network, _ string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, network, server)
		}}
	}
	w.running.Add(1)
	go w.run(ctx)
	return w, nil
}

// srvResolver is the actor that follows the list of servers in DNS.
type srvResolver struct {
	plugin          *Plugin
	conn            resolver.ClientConn
	dns             *net.Resolver
	name            string
	lookupRequested chan struct{}
	cancel          context.CancelFunc
	running         sync.WaitGroup
}

// ResolveNow asks for a lookup before the next is due.
func (w *srvResolver) ResolveNow(resolver.ResolveNowOptions) {
	select {
	case w.lookupRequested <- struct{}{}:
	default:
	}
}

// Close ends the resolver.
func (w *srvResolver) Close() {
	w.cancel()
	w.running.Wait()
}

func (w *srvResolver) run(ctx context.Context) {
	defer w.running.Done()
	tick := time.NewTicker(w.plugin.options.RefreshInterval)
	defer tick.Stop()
	for {
		if hosts, err := w.lookup(ctx); err == nil {
			w.publish(hosts)
		} else if ctx.Err() == nil {
			w.plugin.metrics.Add("lookups_failed", 1)
			w.conn.ReportError(err) // the last list stands
		}
		select {
		case <-tick.C:
		case <-w.lookupRequested:
			select { // no more often than ten times a refresh
			case <-time.After(w.plugin.options.RefreshInterval / 10):
			case <-ctx.Done():
			}
		case <-ctx.Done():
			return
		}
	}
}

// lookup asks for the servers of the name: the SRV records of the lowest
// priority and their addresses.
func (w *srvResolver) lookup(ctx context.Context) ([]platformconfig.Endpoint, error) {
	ctx, stop := context.WithTimeout(ctx, lookupTimeout)
	defer stop()
	_, records, err := w.dns.LookupSRV(ctx, "", "", w.name)
	if err != nil {
		return nil, err
	}
	var hosts []platformconfig.Endpoint
	for _, r := range records { // sorted by priority
		if r.Priority != records[0].Priority {
			break
		}
		addrs, err := w.dns.LookupNetIP(ctx, "ip", strings.TrimSuffix(r.Target, ".")+".")
		if err != nil {
			return nil, err
		}
		for _, a := range addrs {
			at := netip.AddrPortFrom(a.Unmap(), r.Port)
			hosts = append(hosts, platformconfig.Endpoint{Addr: at, Server: routing.Server{ID: routing.ServerID(hashString(at.String())),
				Phase: routing.Ready, Weight: max(float64(r.Weight), 1)}})
		}
	}
	return hosts, nil
}

// publish hands a list to gRPC, which connects, and to the core. A server that
// is no longer on it gets nothing from here on, whatever was decided before.
func (w *srvResolver) publish(hosts []platformconfig.Endpoint) {
	servers, state := map[routing.ServerID]string{}, resolver.State{}
	for _, h := range hosts {
		servers[h.ID] = h.Addr.String()
		state.Addresses = append(state.Addresses, resolver.Address{Addr: h.Addr.String()})
	}
	w.plugin.servers.Store(&servers)
	w.plugin.dispatcher.HandleWatchEvent(platformconfig.WatchEvent{ListUpdate: true, Snapshot: true, Endpoints: hosts})
	if err := w.conn.UpdateState(state); err != nil {
		w.plugin.metrics.Add("lists_not_taken", 1)
	}
}

func hashString(s string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(s))
	return max(h.Sum64(), 1)
}
