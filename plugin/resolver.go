package plugin

import (
	"context"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"

	"google.golang.org/grpc/resolver"

	"garnetline/internal/adaptivetimeout"
	"garnetline/internal/clock"
	"garnetline/internal/platformconfig"
	"garnetline/routing"
)

const (
	// targetScheme is the scheme of the targets that the plugin resolves.
	targetScheme = "garnetline"

	defaultDNSPort = "53"

	// A timeout limits the duration of one lookup, which consists of the SRV query and the address
	// queries for the targets of the SRV records. It doubles after a lookup that timed out.
	minLookupTimeout = 2_000.0  // ms
	maxLookupTimeout = 16_000.0 // ms

	// maxLookupsPerInterval limits how many lookups gRPC can request in one refresh interval, in
	// addition to the periodic lookups.
	maxLookupsPerInterval = 10
)

// Names of counters.
const (
	lookupsFailedCounter = "lookups_failed"  // DNS lookups that failed
	listsRejectedCounter = "lists_not_taken" // endpoint lists that gRPC rejected
)

// Scheme returns the scheme of the targets that the plugin resolves. Targets have the form
// garnetline://DNSSERVER/NAME. If DNSSERVER is empty, the plugin uses the system's resolver.
// Scheme implements resolver.Builder of gRPC.
func (p *Plugin) Scheme() string { return targetScheme }

// Build returns a resolver that looks up the SRV records of the target's name periodically. Build
// implements resolver.Builder of gRPC.
func (p *Plugin) Build(target resolver.Target, conn resolver.ClientConn, _ resolver.BuildOptions) (resolver.Resolver, error) {
	ctx, cancel := context.WithCancel(context.Background())
	r := &srvResolver{
		plugin:          p,
		conn:            conn,
		dns:             dnsResolver(target.URL.Host),
		name:            target.Endpoint(),
		lookupRequested: make(chan struct{}, 1),
		timeout:         adaptivetimeout.New(minLookupTimeout, maxLookupTimeout),
		cancel:          cancel,
	}
	r.running.Add(1)
	go func() {
		defer r.running.Done()
		r.run(ctx)
	}()
	return r, nil
}

// dnsResolver returns a resolver that queries a DNS server, given as HOST or HOST:PORT. If server
// is empty, it returns the system's resolver.
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

// srvResolver looks up the endpoint list of a ClientConn in DNS periodically.
type srvResolver struct {
	plugin          *Plugin
	conn            resolver.ClientConn
	dns             *net.Resolver
	name            string        // name of the SRV records
	lookupRequested chan struct{} // receives a value when gRPC requests a lookup
	timeout         adaptivetimeout.Timeout
	cancel          context.CancelFunc
	running         sync.WaitGroup
}

// ResolveNow requests a lookup without waiting for the next periodic lookup. It implements
// resolver.Resolver of gRPC.
func (r *srvResolver) ResolveNow(resolver.ResolveNowOptions) {
	select {
	case r.lookupRequested <- struct{}{}:
	default:
	}
}

// Close stops the periodic lookups. It cancels a lookup in progress and waits for it to end. It
// implements resolver.Resolver of gRPC.
func (r *srvResolver) Close() {
	r.cancel()
	r.running.Wait()
}

// run looks up and publishes the endpoints until ctx is canceled. It does so periodically, and also
// when gRPC requests a lookup.
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

// refresh looks up the endpoints and publishes them. If the lookup fails, the previous endpoint
// list stays in use. The timeout of the next lookup follows from this one.
func (r *srvResolver) refresh(ctx context.Context) {
	start := time.Now()
	endpoints, err := r.lookup(ctx)
	r.timeout.Record(clock.Millis(time.Since(start)), err)
	if err == nil {
		r.publish(endpoints)
		return
	}
	if ctx.Err() == nil {
		r.plugin.metrics.Add(lookupsFailedCounter, 1)
		r.conn.ReportError(err)
	}
}

// lookup returns the endpoints of r.name, which are the addresses of the SRV records with the
// lowest priority value. LookupSRV returns the records sorted by that value.
func (r *srvResolver) lookup(ctx context.Context) ([]platformconfig.Endpoint, error) {
	ctx, cancel := context.WithTimeout(ctx, clock.Duration(r.timeout.Current()))
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
		host := strings.TrimSuffix(record.Target, ".") + "." // a trailing dot prevents the use of search domains
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

// newEndpoint returns the endpoint of a server. The id of the server is a hash of its address.
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

// publish passes an endpoint list to the dispatcher and to gRPC, which connects to the endpoints.
// After publish has stored the list, attempts go only to servers on the list. An attempt is not
// sent if the dispatcher selected its server earlier and the list no longer has that server.
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
		r.plugin.metrics.Add(listsRejectedCounter, 1)
	}
}
