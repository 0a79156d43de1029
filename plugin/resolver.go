package plugin

import (
	"context"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"

	"google.golang.org/grpc/resolver"

	"garnetline/internal/platformconfig"
	"garnetline/routing"
)

const (
	// targetScheme is the scheme of the targets that the plugin resolves.
	targetScheme = "garnetline"

	defaultDNSPort = "53"

	// lookupTimeout bounds one lookup: the SRV query and the queries for its targets.
	lookupTimeout = 2 * time.Second

	// maxLookupsPerInterval bounds how often lookups are made in a refresh interval, however
	// often gRPC requests one.
	maxLookupsPerInterval = 10
)

// Names of counters.
const (
	lookupsFailedCounter = "lookups_failed"
	listsNotTakenCounter = "lists_not_taken"
)

// Scheme returns the scheme of the targets that the plugin resolves. Targets have the form
// garnetline://DNSSERVER/NAME; without a DNS server the system's resolver is used. It is part
// of gRPC's resolver.Builder.
func (p *Plugin) Scheme() string { return targetScheme }

// Build starts to follow the SRV records of the target's name. It is part of gRPC's
// resolver.Builder.
func (p *Plugin) Build(target resolver.Target, conn resolver.ClientConn, _ resolver.BuildOptions) (resolver.Resolver, error) {
	ctx, cancel := context.WithCancel(context.Background())
	r := &srvResolver{
		plugin:          p,
		conn:            conn,
		dns:             dnsResolver(target.URL.Host),
		name:            target.Endpoint(),
		lookupRequested: make(chan struct{}, 1),
		cancel:          cancel,
	}
	r.running.Add(1)
	go func() {
		defer r.running.Done()
		r.run(ctx)
	}()
	return r, nil
}

// dnsResolver returns a resolver that asks a DNS server, given as HOST or HOST:PORT, or the
// system's resolver if server is empty.
func dnsResolver(server string) *net.Resolver {
	if server == "" {
		return net.DefaultResolver
	}
	if _, _, err := net.SplitHostPort(server); err != nil {
		server = net.JoinHostPort(server, defaultDNSPort)
	}
	return &net.Resolver{
		PreferGo: true,
		Dial: func(ctx context.Context, network, _ string) (net.Conn, error) {
			return new(net.Dialer).DialContext(ctx, network, server)
		},
	}
}

// srvResolver follows the endpoint list of a ClientConn in DNS.
type srvResolver struct {
	plugin          *Plugin
	conn            resolver.ClientConn
	dns             *net.Resolver
	name            string        // of the SRV records
	lookupRequested chan struct{} // by gRPC, before the next lookup is due
	cancel          context.CancelFunc
	running         sync.WaitGroup
}

// ResolveNow requests a lookup before the next one is due. It is part of gRPC's
// resolver.Resolver.
func (r *srvResolver) ResolveNow(resolver.ResolveNowOptions) {
	select {
	case r.lookupRequested <- struct{}{}:
	default:
	}
}

// Close ends the lookups and waits for the one in progress. It is part of gRPC's
// resolver.Resolver.
func (r *srvResolver) Close() {
	r.cancel()
	r.running.Wait()
}

// run looks the endpoints up until ctx ends.
func (r *srvResolver) run(ctx context.Context) {
	interval := r.plugin.options.RefreshInterval
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		r.refresh(ctx)
		select {
		case <-ticker.C:
		case <-r.lookupRequested:
			select {
			case <-time.After(interval / maxLookupsPerInterval):
			case <-ctx.Done():
			}
		case <-ctx.Done():
			return
		}
	}
}

// refresh looks the endpoints up and publishes them. If the lookup fails, the latest list
// stays in use.
func (r *srvResolver) refresh(ctx context.Context) {
	endpoints, err := r.lookup(ctx)
	if err == nil {
		r.publish(endpoints)
		return
	}
	if ctx.Err() == nil {
		r.plugin.metrics.Add(lookupsFailedCounter, 1)
		r.conn.ReportError(err)
	}
}

// lookup returns the endpoints of the name: the addresses of the SRV records that have the
// lowest priority value. The records come sorted by it.
func (r *srvResolver) lookup(ctx context.Context) ([]platformconfig.Endpoint, error) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	_, records, err := r.dns.LookupSRV(ctx, "", "", r.name)
	if err != nil {
		return nil, err
	}
	var endpoints []platformconfig.Endpoint
	for _, record := range records {
		if record.Priority != records[0].Priority {
			break
		}
		host := strings.TrimSuffix(record.Target, ".") + "." // no search domains
		addresses, err := r.dns.LookupNetIP(ctx, "ip", host)
		if err != nil {
			return nil, err
		}
		for _, address := range addresses {
			endpoints = append(endpoints, newEndpoint(netip.AddrPortFrom(address.Unmap(), record.Port), record.Weight))
		}
	}
	return endpoints, nil
}

// newEndpoint returns a server that is known by its address.
func newEndpoint(address netip.AddrPort, weight uint16) platformconfig.Endpoint {
	return platformconfig.Endpoint{
		Addr: address,
		Server: routing.Server{
			ID:     routing.ServerID(hashString(address.String())),
			Phase:  routing.Ready,
			Weight: max(float64(weight), 1),
		},
	}
}

// publish hands a list of endpoints to gRPC, which connects to them, and to the dispatcher.
// From then on a server that is not on it gets no further attempt, whatever the dispatcher
// has decided before.
func (r *srvResolver) publish(endpoints []platformconfig.Endpoint) {
	servers := serverAddresses{}
	state := resolver.State{}
	for _, endpoint := range endpoints {
		address := endpoint.Addr.String()
		servers[endpoint.ID] = address
		state.Addresses = append(state.Addresses, resolver.Address{Addr: address})
	}
	r.plugin.servers.Store(&servers)
	r.plugin.dispatcher.HandleWatchEvent(platformconfig.WatchEvent{ListUpdate: true, Snapshot: true, Endpoints: endpoints})
	if err := r.conn.UpdateState(state); err != nil {
		r.plugin.metrics.Add(listsNotTakenCounter, 1)
	}
}
