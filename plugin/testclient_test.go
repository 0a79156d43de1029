package plugin

import (
	"context"
	"fmt"
	"net"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/miekg/dns"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	health "google.golang.org/grpc/health/grpc_health_v1"

	"garnetline/routing"
)

// healthDescription is a format string for the description of gRPC's standard health service. The
// tests call the RPCs of that service. The argument of the format is the HTTP method of Check.
const healthDescription = `openapi: 3.0.3
info: {title: health, version: "1"}
paths:
  /check:
    %s:
      operationId: Check
      tags: [part]
      responses: {"200": {description: ok}}
    options:
      operationId: Watch
      tags: [part]
      responses: {"200": {description: ok}}
`

// serviceName is the name of the SRV records that list the servers.
const serviceName = "_health._tcp.example.test"

// connectTimeout limits how long newTestClient waits until all servers are connected.
const connectTimeout = time.Minute

// fakeServer is an RPC server that counts its calls.
type fakeServer struct {
	health.UnimplementedHealthServer
	host string
	port int

	mu      sync.Mutex
	calls   map[string]int // number of calls by requested service
	respond func(ctx context.Context) error
}

// startServer starts a server on a loopback address. It is stopped at the end of the test.
func startServer(t *testing.T, index int) *fakeServer {
	t.Helper()
	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &fakeServer{
		host:  fmt.Sprintf("h%d.example.test.", index),
		port:  listener.Addr().(*net.TCPAddr).Port,
		calls: map[string]int{},
	}
	grpcServer := grpc.NewServer()
	health.RegisterHealthServer(grpcServer, server)
	ended := make(chan error, 1)
	go func() { ended <- grpcServer.Serve(listener) }()
	t.Cleanup(func() {
		grpcServer.Stop()
		if err := <-ended; err != nil {
			t.Errorf("server %d: Serve: %v", index, err)
		}
	})
	return server
}

// Check implements the unary RPC of the health service.
func (s *fakeServer) Check(ctx context.Context, request *health.HealthCheckRequest) (*health.HealthCheckResponse, error) {
	s.mu.Lock()
	s.calls[request.Service]++
	respond := s.respond
	s.mu.Unlock()
	if respond != nil {
		if err := respond(ctx); err != nil {
			return nil, err
		}
	}
	return &health.HealthCheckResponse{Status: health.HealthCheckResponse_SERVING}, nil
}

// Watch implements the streaming RPC of the health service: it sends one message.
func (s *fakeServer) Watch(request *health.HealthCheckRequest, stream grpc.ServerStreamingServer[health.HealthCheckResponse]) error {
	response, err := s.Check(stream.Context(), request)
	if err != nil {
		return err
	}
	return stream.Send(response)
}

// setRespond sets a function that the server calls before it responds to a call. If the function
// returns an error, the error is the response.
func (s *fakeServer) setRespond(respond func(context.Context) error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.respond = respond
}

// callsFor returns how often the server was called for a service.
func (s *fakeServer) callsFor(service string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[service]
}

// totalCalls returns how often the server was called.
func (s *fakeServer) totalCalls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	total := 0
	for _, count := range s.calls {
		total += count
	}
	return total
}

// serverID returns the id that the plugin gives to the server.
func (s *fakeServer) serverID() routing.ServerID {
	return routing.ServerID(hashString(fmt.Sprintf("127.0.0.1:%d", s.port)))
}

// testClient is a gRPC client with a plugin. It comes with the servers that it calls and with the
// DNS server that lists them.
type testClient struct {
	t       *testing.T
	plugin  *Plugin
	health  health.HealthClient
	servers []*fakeServer
	dns     *fakeDNS
}

// newTestClient starts servers and a client that is connected to all of them. method is the HTTP
// method of Check in the description. Before the start, the functions in change may modify the
// plugin's options.
func newTestClient(t *testing.T, method string, serverCount int, change ...func(*Options)) *testClient {
	t.Helper()
	client := &testClient{t: t}
	for i := range serverCount {
		client.servers = append(client.servers, startServer(t, i))
	}
	client.dns = startDNS(t, client.servers)
	options := testOptions(t, method)
	for _, apply := range change {
		apply(&options)
	}
	var err error
	if client.plugin, err = New(options); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(client.plugin.Close)
	client.connect()
	return client
}

// testOptions returns the options of newTestClient. The key of an RPC is a hash of the requested
// service.
func testOptions(t *testing.T, method string) Options {
	t.Helper()
	operations, err := OpenAPI(fmt.Appendf(nil, healthDescription, method), []string{"part"})
	if err != nil {
		t.Fatal(err)
	}
	class := Class{Name: "part", LatencyObjective: time.Second, Deadline: 20 * time.Second, KeyWindow: time.Second}
	return Options{
		Classes:         []Class{class},
		Operations:      operations,
		RefreshInterval: 5 * time.Millisecond,
		Key: func(_ string, message any) Key {
			if request, ok := message.(*health.HealthCheckRequest); ok {
				return Key{Object: hashString(request.Service)}
			}
			return Key{}
		},
	}
}

// connect creates the client and calls services until each server has been called. The picker picks
// only connected servers, so all servers are connected when connect returns.
func (c *testClient) connect() {
	c.t.Helper()
	options := append(c.plugin.DialOptions(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	conn, err := grpc.NewClient("garnetline://"+c.dns.address+"/"+serviceName, options...)
	if err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(func() {
		if err := conn.Close(); err != nil {
			c.t.Error(err)
		}
	})
	c.health = health.NewHealthClient(conn)
	conn.Connect()
	deadline := time.Now().Add(connectTimeout)
	for i := 0; c.calledServers() < len(c.servers); i++ {
		err := c.check(strconv.Itoa(i))
		if time.Now().After(deadline) {
			c.t.Fatalf("got %d of %d servers connected after %v, want all; last error: %v", c.calledServers(), len(c.servers), connectTimeout, err)
		}
	}
}

// calledServers returns how many servers have been called.
func (c *testClient) calledServers() int {
	called := 0
	for _, server := range c.servers {
		if server.totalCalls() > 0 {
			called++
		}
	}
	return called
}

// setRespond sets a function that every server calls before it responds to a call. If the function
// returns an error, the error is the response.
func (c *testClient) setRespond(respond func(context.Context) error) {
	for _, server := range c.servers {
		server.setRespond(respond)
	}
}

// check calls the unary RPC for a service.
func (c *testClient) check(service string) error {
	_, err := c.health.Check(c.t.Context(), &health.HealthCheckRequest{Service: service})
	return err
}

// mustCheck calls the unary RPC for a service and ends the test if the call fails.
func (c *testClient) mustCheck(service string) {
	c.t.Helper()
	if err := c.check(service); err != nil {
		c.t.Fatalf("%s: %v", service, err)
	}
}

// calls returns how often each server was called for a service.
func (c *testClient) calls(service string) []int {
	var counts []int
	for _, server := range c.servers {
		counts = append(counts, server.callsFor(service))
	}
	return counts
}

// sum returns the sum of counts.
func sum(counts []int) int {
	total := 0
	for _, count := range counts {
		total += count
	}
	return total
}

// fakeDNS is a DNS server with SRV and A records for test servers.
type fakeDNS struct {
	t        *testing.T
	address  string
	lookedUp chan struct{} // receives a value when an SRV query has been answered

	mu     sync.Mutex
	listed []*fakeServer
	delay  time.Duration // until a query is answered
}

// startDNS starts a DNS server on a loopback address. It is stopped at the end of the test.
func startDNS(t *testing.T, servers []*fakeServer) *fakeDNS {
	t.Helper()
	conn, err := new(net.ListenConfig).ListenPacket(t.Context(), "udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	fake := &fakeDNS{t: t, address: conn.LocalAddr().String(), lookedUp: make(chan struct{}, 1), listed: servers}
	started := make(chan struct{})
	ended := make(chan error, 1)
	server := &dns.Server{PacketConn: conn, Handler: fake, NotifyStartedFunc: func() { close(started) }}
	go func() { ended <- server.ActivateAndServe() }()
	select {
	case <-started:
	case err := <-ended:
		t.Fatalf("the DNS server stopped before it was ready: %v", err)
	}
	t.Cleanup(func() {
		if err := server.Shutdown(); err != nil {
			t.Error(err)
		}
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return fake
}

// list sets the servers that the SRV records list.
func (d *fakeDNS) list(servers []*fakeServer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.listed = servers
}

// slowDown makes the server answer queries only after a delay.
func (d *fakeDNS) slowDown(delay time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.delay = delay
}

// ServeDNS implements dns.Handler.
func (d *fakeDNS) ServeDNS(w dns.ResponseWriter, query *dns.Msg) {
	question := query.Question[0]
	response := new(dns.Msg).SetReply(query)
	d.mu.Lock()
	for _, server := range d.listed {
		if record := server.record(question); record != nil {
			response.Answer = append(response.Answer, record)
		}
	}
	delay := d.delay
	d.mu.Unlock()
	time.Sleep(delay)
	if err := w.WriteMsg(response); err != nil {
		d.t.Errorf("write DNS response: %v", err)
	}
	if question.Qtype == dns.TypeSRV {
		select {
		case d.lookedUp <- struct{}{}:
		default:
		}
	}
}

// record returns the server's DNS record for a question, or nil if the server has no such record.
func (s *fakeServer) record(question dns.Question) dns.RR {
	header := dns.RR_Header{Name: question.Name, Rrtype: question.Qtype, Class: dns.ClassINET}
	switch {
	case question.Name == serviceName+"." && question.Qtype == dns.TypeSRV:
		return &dns.SRV{Hdr: header, Weight: 1, Port: uint16(s.port), Target: s.host}
	case question.Name == s.host && question.Qtype == dns.TypeA:
		return &dns.A{Hdr: header, A: net.IPv4(127, 0, 0, 1)}
	}
	return nil
}
