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
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	health "google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/status"

	"garnetline/routing"
)

// The RPCs of the tests are those of gRPC's own health service.
const described = `openapi: 3.0.3
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

// server is a stand-in RPC server.
type server struct {
	health.UnimplementedHealthServer
	host   string
	port   int
	mu     sync.Mutex
	calls  map[string]int // by the service asked for
	answer func(ctx context.Context) error
}

func (s *server) Check(ctx context.Context, q *health.HealthCheckRequest) (*health.HealthCheckResponse, error) {
	s.mu.Lock()
	s.calls[q.Service]++
	answer := s.answer
	s.mu.Unlock()
	if answer != nil {
		if err := answer(ctx); err != nil {
			return nil, err
		}
	}
	return &health.HealthCheckResponse{Status: health.HealthCheckResponse_SERVING}, nil
}

func (s *server) Watch(q *health.HealthCheckRequest, w grpc.ServerStreamingServer[health.HealthCheckResponse]) error {
	r, err := s.Check(w.Context(), q)
	if err != nil {
		return err
	}
	return w.Send(r)
}

func (s *server) set(f func(context.Context) error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answer = f
}

func (s *server) total() (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.calls {
		n += c
	}
	return n
}

// rig is a client with the plugin, servers, and the DNS server that lists them.
type rig struct {
	*testing.T
	p       *Plugin
	client  health.HealthClient
	servers []*server
	mu      sync.Mutex
	listed  []*server
	asked   int // SRV lookups
}

func (r *rig) ServeDNS(w dns.ResponseWriter, q *dns.Msg) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := new(dns.Msg).SetReply(q)
	name := q.Question[0].Name
	for _, s := range r.listed {
		switch head := (dns.RR_Header{Name: name, Rrtype: q.Question[0].Qtype, Class: dns.ClassINET}); {
		case name == "_health._tcp.example.test." && head.Rrtype == dns.TypeSRV:
			m.Answer = append(m.Answer, &dns.SRV{Hdr: head, Weight: 1, Port: uint16(s.port), Target: s.host})
		case name == s.host && head.Rrtype == dns.TypeA:
			m.Answer = append(m.Answer, &dns.A{Hdr: head, A: net.IPv4(127, 0, 0, 1)})
		}
	}
	if q.Question[0].Qtype == dns.TypeSRV {
		r.asked++
	}
	w.WriteMsg(m)
}

func newRig(t *testing.T, method string, n int, more ...func(*Options)) *rig {
	r := &rig{T: t}
	for i := range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		s := &server{host: fmt.Sprintf("h%d.example.test.", i), port: l.Addr().(*net.TCPAddr).Port, calls: map[string]int{}}
		g := grpc.NewServer()
		health.RegisterHealthServer(g, s)
		go g.Serve(l)
		t.Cleanup(g.Stop)
		r.servers = append(r.servers, s)
	}
	r.listed = r.servers
	pc, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	up := make(chan struct{})
	d := &dns.Server{PacketConn: pc, Handler: r, NotifyStartedFunc: func() { close(up) }}
	go d.ActivateAndServe()
	<-up
	t.Cleanup(func() { d.Shutdown() })

	ops, err := OpenAPI([]byte(fmt.Sprintf(described, method)), []string{"part"})
	if err != nil {
		t.Fatal(err)
	}
	o := Options{Classes: []Class{{Name: "part", Aim: time.Second, Deadline: 20 * time.Second, Window: time.Second}},
		Operations: ops, Refresh: 5 * time.Millisecond, Key: func(_ string, req any) Key {
			if q, ok := req.(*health.HealthCheckRequest); ok {
				return Key{Object: hashString(q.Service)}
			}
			return Key{}
		}}
	for _, f := range more {
		f(&o)
	}
	if r.p, err = New(o); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.p.Close)
	cc, err := grpc.NewClient("garnetline://"+pc.LocalAddr().String()+"/_health._tcp.example.test",
		append(r.p.DialOptions(), grpc.WithTransportCredentials(insecure.NewCredentials()))...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { cc.Close() })
	r.client = health.NewHealthClient(cc)
	cc.Connect()
	// A server that is not connected yet is passed by: tests begin when all are.
	for i := 0; ; i++ {
		r.check(strconv.Itoa(i))
		if r.seen() == n {
			break
		}
	}
	return r
}

// seen tells how many servers have been called.
func (r *rig) seen() (n int) {
	for _, s := range r.servers {
		if s.total() > 0 {
			n++
		}
	}
	return n
}

func (r *rig) check(service string) error {
	_, err := r.client.Check(r.Context(), &health.HealthCheckRequest{Service: service})
	return err
}

// calls returns how often each server was called for a service.
func (r *rig) calls(service string) (out []int, sum int) {
	for _, s := range r.servers {
		s.mu.Lock()
		out, sum = append(out, s.calls[service]), sum+s.calls[service]
		s.mu.Unlock()
	}
	return out, sum
}

// RPCs for one object meet at its home, and objects spread over the servers.
func TestHomes(t *testing.T) {
	r := newRig(t, "get", 3)
	for i := range 30 {
		service := fmt.Sprintf("object-%d", i)
		for range 3 {
			if err := r.check(service); err != nil {
				t.Fatal(err)
			}
		}
		if by, _ := r.calls(service); by[0] != 3 && by[1] != 3 && by[2] != 3 {
			t.Errorf("%s went to %v", service, by)
		}
	}
}

// A server that has left DNS gets nothing more once the list was read again.
func TestServerLeavesTheList(t *testing.T) {
	r := newRig(t, "get", 3)
	r.mu.Lock()
	r.listed = r.servers[1:]
	asked := r.asked
	r.mu.Unlock()
	gone := fmt.Sprintf("127.0.0.1:%d", r.servers[0].port)
	for now := asked; ; {
		if _, still := r.p.serverAddress(routing.ServerID(hashString(gone))); !still {
			break
		}
		r.mu.Lock()
		now = r.asked
		r.mu.Unlock()
		if now > asked+1000 {
			t.Fatal("the list was read a thousand times and still names the server")
		}
		time.Sleep(time.Millisecond)
	}
	before := r.servers[0].total()
	for i := range 60 {
		if err := r.check(fmt.Sprintf("late-%d", i)); err != nil {
			t.Fatal(err)
		}
	}
	if after := r.servers[0].total(); after != before {
		t.Errorf("%d calls went to a server that has left", after-before)
	}
}

// What may have run is repeated only where the description lets it.
func TestEffects(t *testing.T) {
	for method, want := range map[string]int{"get": 2, "post": 1} {
		r := newRig(t, method, 2)
		failed := false
		for _, s := range r.servers {
			s.set(func(context.Context) error {
				r.mu.Lock()
				defer r.mu.Unlock()
				if !failed {
					failed = true
					return status.Error(codes.Unavailable, "going down")
				}
				return nil
			})
		}
		err := r.check("x")
		if _, sum := r.calls("x"); sum != want || (err == nil) != (want == 2) {
			t.Errorf("%s: %d calls, %v; want %d calls", method, sum, err, want)
		}
	}
}

// The application's own errors are answers: they are passed on and not retried.
func TestApplicationErrors(t *testing.T) {
	r := newRig(t, "get", 2)
	for _, s := range r.servers {
		s.set(func(context.Context) error { return status.Error(codes.NotFound, "no such part") })
	}
	if err := r.check("x"); status.Code(err) != codes.NotFound {
		t.Errorf("%v", err)
	}
	if _, sum := r.calls("x"); sum != 1 {
		t.Errorf("%d calls", sum)
	}
}

// A caller that leaves cancels the attempt at the server.
func TestCallerLeaves(t *testing.T) {
	r := newRig(t, "get", 1)
	began, ended := make(chan bool), make(chan bool)
	r.servers[0].set(func(ctx context.Context) error {
		close(began)
		<-ctx.Done()
		close(ended)
		return ctx.Err()
	})
	ctx, stop := context.WithCancel(t.Context())
	go func() {
		<-began
		stop()
	}()
	if _, err := r.client.Check(ctx, &health.HealthCheckRequest{Service: "x"}); status.Code(err) != codes.Canceled {
		t.Errorf("%v", err)
	}
	<-ended
}

// A stream goes to the server that the core names.
func TestStream(t *testing.T) {
	r := newRig(t, "get", 2)
	w, err := r.client.Watch(t.Context(), &health.HealthCheckRequest{Service: "x"})
	if err != nil {
		t.Fatal(err)
	}
	if m, err := w.Recv(); err != nil || m.Status != health.HealthCheckResponse_SERVING {
		t.Errorf("%v %v", m, err)
	}
}

// What cannot be used is refused with its name.
func TestOptions(t *testing.T) {
	for name, o := range map[string]Options{
		"no class":      {},
		"no aim":        {Classes: []Class{{Name: "part", Deadline: 1}}},
		"unknown class": {Classes: []Class{{Name: "part", Aim: 1, Deadline: 1}}, Operations: Operations{"Check": {ID: "Check", Class: "form"}}},
		"refresh":       {Classes: []Class{{Name: "part", Aim: 1, Deadline: 1}}, Refresh: -1},
	} {
		if p, err := New(o); err == nil {
			p.Close()
			t.Errorf("%s was taken", name)
		}
	}
	r := newRig(t, "get", 1)
	if err := r.p.interceptUnary(t.Context(), "/a.B/Other", nil, nil, nil, nil); status.Code(err) != codes.FailedPrecondition {
		t.Errorf("an RPC that is not described: %v", err)
	}
}
