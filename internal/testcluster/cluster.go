// Package testcluster starts several processes of the program with stand-in boxes, change logs
// and clients on loopback, all that they say to each other passing through faultnet. It
// stops, stalls, kills and restarts them, waits for stated conditions, and counts what
// everyone received.
package testcluster

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"maps"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"garnetline/internal/fakeserver"
	"garnetline/internal/faultproxy"
	"garnetline/internal/fleet"
	"garnetline/routing"
)

// Options say what is started.
type Options struct {
	Program        string   // the daemon's path
	Env            []string // further environment of the daemon
	Routers        int
	Servers        int
	Fleet          bool
	Voters         int    // the first so many routers are electors; 0: no duties
	LeaseSettings  string // further lines of the duties block
	NoSettingsFile bool   // no operators' file at all
	FleetSettings  string // further lines of the fleet block
	Seed           uint64
	Dir            string // for files; made if need be
	Timeout        time.Duration
}

// Key is the fleet's key in every rig.
const FleetKey = "a key for routers on loopback"

// Rig is what runs.
type Cluster struct {
	options      Options
	Proxy        *faultproxy.Proxy
	Servers      []*Server
	ChangeLog    *fakeserver.ChangeLog
	Routers      []*Router
	addressClaim net.Listener
	base         netip.Addr
	mu           sync.Mutex
	startedAt    time.Time
}

// Box is a stand-in box with its name on the list.
type Server struct {
	*fakeserver.Server
	ID           routing.ServerID
	Name         string
	mu           sync.Mutex
	failing      bool
	attempts     map[string]int // by the request's id
	requestTimes []time.Time    // when each came
	probes       []Probe
}

// Act is a probe that came, with the token that its tag has.
type Probe struct {
	Token      uint64
	ReceivedAt time.Time // by the machine's one clock
}

// gauges answers a probe.
func (b *Server) answerHealthCheck(tag string) string {
	var a Probe
	var n uint64
	fmt.Sscanf(tag, "p%d.%d", &a.Token, &n)
	b.mu.Lock()
	defer b.mu.Unlock()
	a.ReceivedAt = time.Now()
	b.probes = append(b.probes, a)
	return "l=util:0.5;link:0.5"
}

// Acts returns the probes that came, in their order.
func (b *Server) Probes() []Probe {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.probes)
}

// Router is one router: its files, and its process if it runs.
type Router struct {
	Name, ListenAddr, AdminAddr, FleetAddr string // addresses of its own; Mgmt is the newest process's
	AdvertisedAddr                         string // where the others write to
	Output                                 *fakeserver.Output
	cluster                                *Cluster
	dir                                    string
	configFile, settingsFile               string
	Voters                                 []string // in its file; nil: the rig's
	clientSocket                           *os.File // of the clients, held for each of its processes
	starts                                 int
	*process                               // the newest; nil before the first
}

// process is one life of a router.
type process struct {
	cmd     *exec.Cmd
	exited  chan struct{}
	exitErr error // once done is closed
}

// claimPort is where a rig holds its part of the loopback addresses, so that no two rigs
// have the same: its ports can then be nobody else's.
const addressClaimPort = 20017

// Start starts the parties, and the routers one after another without waiting.
func Start(o Options) (r *Cluster, err error) {
	if o.Timeout == 0 {
		o.Timeout = 30 * time.Second
	}
	r = &Cluster{options: o, Proxy: faultproxy.New(o.Seed), startedAt: time.Now()}
	defer func() {
		if err != nil {
			r.Close()
		}
	}()
	for i := range 200 {
		h := fnv.New32a()
		fmt.Fprint(h, os.Getpid(), time.Now().UnixNano(), i)
		x := h.Sum32()
		r.base = netip.AddrFrom4([4]byte{127, byte(64 + x%128), byte(x >> 8), 0})
		if r.addressClaim, err = net.Listen("tcp", netip.AddrPortFrom(r.address(255), addressClaimPort).String()); err == nil {
			break
		}
	}
	if err != nil {
		return nil, fmt.Errorf("rig: no loopback addresses to be had: %w", err)
	}
	if r.ChangeLog, err = fakeserver.NewChangeLog(1); err != nil {
		return nil, err
	}
	for i := range o.Servers {
		b := &Server{ID: routing.ServerID(i + 1), Name: fmt.Sprintf("box%d", i+1), attempts: map[string]int{}}
		if b.Server, err = fakeserver.NewServer(b.answerRequest); err != nil {
			return nil, err
		}
		b.SetLoadReport(b.answerHealthCheck)
		r.Servers = append(r.Servers, b)
	}
	for i := range o.Routers {
		if _, err = r.AddRouter(fmt.Sprintf("r%02d", i), i); err != nil {
			return nil, err
		}
	}
	return r, nil
}

// at is the i-th address of this rig's part of the loopback.
func (r *Cluster) address(i int) netip.Addr {
	b := r.base.As4()
	b[3] = byte(i)
	return netip.AddrFrom4(b)
}

func (b *Server) answerRequest(id, fields string) string {
	b.mu.Lock()
	fail := b.failing
	b.attempts[id]++
	b.requestTimes = append(b.requestTimes, time.Now())
	b.mu.Unlock()
	if fail {
		return fakeserver.Answer(id, "BROKE", "-", "")
	}
	return fakeserver.Answer(id, "DONE", "tag=t1,minted=1", "bytes of an object")
}

// Tries returns how often each request came.
func (b *Server) Attempts() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return maps.Clone(b.attempts)
}

// Asked returns how many requests came.
func (b *Server) RequestCount() (n int) {
	for _, k := range b.Attempts() {
		n += k
	}
	return n
}

// Between returns how many requests came from one moment until another.
func (b *Server) RequestsBetween(from, to time.Time) (n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, at := range b.requestTimes {
		if !at.Before(from) && at.Before(to) {
			n++
		}
	}
	return n
}

// SetFail has a box fail all that it is sent, or serve again.
func (b *Server) SetFailing(on bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failing = on
}

const platformSettings = `{"areas":["edge"],"machine_types":["box","parent","origin"],"zone":0,"weights":"rough",
"classes":[{"name":"part","effect":"read_like","aim_us":400000,"deadline_us":4000000,"value":2.0},
 {"name":"form","effect":"idempotency_key","group":"all","window_us":2000000,"aim_us":400000,"deadline_us":4000000,"value":3.0}],
"family_info":{"class_write":[false,true],"root_kind":2,"second_tier_kind":1,"seats_by_zone":[%d],"cleared_within_us":6000000,"one_flow_kb_per_s":5000,"can_join":true},
"limits":{"try_limit":6,"cancel":true,"retry_after":true,"max_retry_after_us":2000000},"rules":{"cold_from":0.15,"cold_us":16000000,"fall_multiple":3.0,"overload_for_us":1500000}}`

// Add starts a further router with a name, in the i-th place of the fleet. Two may have
// one name: each has files of its own.
func (r *Cluster) AddRouter(name string, i int) (*Router, error) {
	x := &Router{Name: name, cluster: r, dir: filepath.Join(r.options.Dir, fmt.Sprintf("%s-%d", name, i)), Output: &fakeserver.Output{}}
	ip := r.address(i + 1)
	port := func(n uint16) string { return netip.AddrPortFrom(ip, n).String() }
	x.ListenAddr, x.AdminAddr, x.FleetAddr = port(8080), port(8081), port(7946)
	real := netip.MustParseAddrPort(x.FleetAddr)
	way := fmt.Sprintf("%s-%d", name, i)
	reached, err := r.Proxy.UDP(way, real)
	if err != nil {
		return nil, err
	}
	x.AdvertisedAddr = reached.String()
	if err := os.MkdirAll(filepath.Join(x.dir, "state"), 0o700); err != nil {
		return nil, err
	}
	log, err := r.Proxy.TCP(way, "log", r.ChangeLog.Addr().String())
	if err != nil {
		return nil, err
	}
	var hosts []string
	host := func(id routing.ServerID, kind, name, addr string) error {
		via, err := r.Proxy.TCP(way, name, addr)
		hosts = append(hosts, fmt.Sprintf(`{"host":%q,"dial":%q,"site":"edge","class":%q,"block":0,"health":"ready","share":100,"born_ms":0}`, id, via, kind))
		return err
	}
	for _, b := range r.Servers {
		if err := host(b.ID, "box", b.Name, b.Addr().String()); err != nil {
			return nil, err
		}
	}
	if len(r.Servers) > 0 {
		if err := host(250, "origin", "archive", r.Servers[0].Addr().String()); err != nil {
			return nil, err
		}
	}
	conf := fmt.Sprintf(`{"name":%q,"listen":%q,"mgmt":%q,"seed":"%d","limits":{},"changelog":%q,
"known":{"seq":1,"results":[{"seq":1,"fleet":{"seq":0,"whole":true,"hosts":[%s]}}]},"settings":%s}`,
		name, x.ListenAddr, x.AdminAddr, i+1, log, strings.Join(hosts, ","), fmt.Sprintf(platformSettings, max(1, r.options.Routers)))
	x.configFile, x.settingsFile = filepath.Join(x.dir, "config.json"), filepath.Join(x.dir, "garnetline.hcl")
	if err := os.WriteFile(x.configFile, []byte(conf), 0o600); err != nil {
		return nil, err
	}
	if err := x.WriteSettings(FleetKey); err != nil {
		return nil, err
	}
	r.mu.Lock()
	r.Routers = append(r.Routers, x)
	r.mu.Unlock()
	return x, x.Start()
}

// Settings writes a router's operators' file, with the keys given.
func (x *Router) WriteSettings(keys ...string) error {
	var join []string
	x.cluster.mu.Lock()
	for _, o := range x.cluster.Routers[:min(3, len(x.cluster.Routers))] {
		join = append(join, fmt.Sprintf("%q", o.AdvertisedAddr))
	}
	x.cluster.mu.Unlock()
	if len(join) == 0 {
		join = []string{fmt.Sprintf("%q", x.AdvertisedAddr)}
	}
	quoted := make([]string, len(keys))
	for i, k := range keys {
		quoted[i] = fmt.Sprintf("%q", k)
	}
	text := "log {\n level = \"info\"\n}\n"
	if x.cluster.options.Fleet {
		text += fmt.Sprintf("fleet {\n enabled = true\n name = \"rig\"\n listen = %q\n advertise = %q\n join = [%s]\n keys = [%s]\n%s}\n",
			x.FleetAddr, x.AdvertisedAddr, strings.Join(join, ", "), strings.Join(quoted, ", "), x.cluster.options.FleetSettings)
	}
	if n := x.cluster.options.Voters; n > 0 {
		names := x.Voters
		for i := range n {
			if x.Voters == nil {
				names = append(names, fmt.Sprintf("r%02d", i))
			}
		}
		names = slices.Clone(names)
		for i := range names {
			names[i] = fmt.Sprintf("%q", names[i])
		}
		text += fmt.Sprintf("duties {\n enabled = true\n electors = [%s]\n prober {\n  every_ms = 20\n  most_ms = 20\n }\n%s}\n", strings.Join(names, ", "), x.cluster.options.LeaseSettings)
	}
	return os.WriteFile(x.settingsFile, []byte(text), 0o600)
}

// State is the router's folder that outlives its process.
func (x *Router) StateDir() string { return filepath.Join(x.dir, "state") }

// Way is the router's name among the parties of the relay.
func (x *Router) ProxyName() string { return filepath.Base(x.dir) }

// Start starts the router's process; it may be its second and later life.
func (x *Router) Start() error {
	if x.clientSocket == nil {
		l, err := net.Listen("tcp", x.ListenAddr)
		if err != nil {
			return err
		}
		defer l.Close()
		if x.clientSocket, err = l.(*net.TCPListener).File(); err != nil {
			return err
		}
	}
	x.starts++
	x.AdminAddr = netip.AddrPortFrom(netip.MustParseAddrPort(x.ListenAddr).Addr(), uint16(9000+x.starts)).String()
	args := []string{"serve", "--config", x.configFile}
	if !x.cluster.options.NoSettingsFile {
		args = append(args, "--settings", x.settingsFile)
	}
	cmd := exec.Command(x.cluster.options.Program, args...)
	cmd.Env = append(append(os.Environ(), "TMPDIR="+filepath.Join(x.dir, "state"), "GOMAXPROCS=2"), x.cluster.options.Env...)
	cmd.Env = append(cmd.Env, "EDGE_LISTEN_FD=3", "EDGE_MGMT="+x.AdminAddr)
	cmd.ExtraFiles = []*os.File{x.clientSocket}
	cmd.Stderr = x.Output
	// A rig that is itself killed leaves nobody behind.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	p := &process{cmd: cmd, exited: make(chan struct{})}
	x.process = p
	go func() {
		p.exitErr = cmd.Wait()
		close(p.exited)
	}()
	return nil
}

// Upgrade starts a second process beside the first, waits until it is ready, and ends
// the first in order. between is called while both run; it may be nil.
func (x *Router) Upgrade(between func() error) error {
	old := x.process
	if err := x.Start(); err != nil {
		return err
	}
	if _, err := x.cluster.WaitUntil(x.Name+"'s successor is ready", x.cluster.options.Timeout, func() (bool, string) {
		code, _, err := x.CallAdmin("GET", "/ready")
		return code == 200, fmt.Sprint(code, err)
	}); err != nil {
		old.cmd.Process.Kill()
		return err
	}
	var err error
	if between != nil {
		err = between()
	}
	old.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-old.exited:
	case <-time.After(x.cluster.options.Timeout):
		old.cmd.Process.Kill()
		err = errors.Join(err, fmt.Errorf("%s: the process before is still there after %v", x.Name, x.cluster.options.Timeout))
	}
	return err
}

// Slow gives the process a share of a processor by stopping it and having it go on, until
// the function that it returns is called.
func (x *Router) Throttle(share float64) (end func()) {
	stop, ended := make(chan struct{}), make(chan struct{})
	const round = 100 * time.Millisecond
	go func() {
		defer close(ended)
		defer x.Resume()
		for {
			x.Pause()
			select {
			case <-stop:
				return
			case <-time.After(time.Duration((1 - share) * float64(round))):
			}
			x.Resume()
			select {
			case <-stop:
				return
			case <-time.After(time.Duration(share * float64(round))):
			}
		}
	}()
	return func() { close(stop); <-ended }
}

// Running tells whether the process is there, stalled or not.
func (x *Router) Running() bool {
	select {
	case <-x.exited:
		return false
	default:
		return true
	}
}

// Pid is the process's number.
func (x *Router) Pid() int { return x.cmd.Process.Pid }

// Signal sends a signal to the process.
func (x *Router) Signal(s syscall.Signal) error { return x.cmd.Process.Signal(s) }

// Kill ends the process without a word and waits until it is gone.
func (x *Router) Kill() {
	x.cmd.Process.Kill()
	<-x.exited
}

// Stall stops the process, Wake has it go on.
func (x *Router) Pause() error { return x.Signal(syscall.SIGSTOP) }

// Wake has a stalled process go on.
func (x *Router) Resume() error { return x.Signal(syscall.SIGCONT) }

// Stop ends the process in order. An error is its own, or that it does not end.
func (x *Router) Stop() error {
	if err := x.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-x.exited:
		return x.exitErr
	case <-time.After(x.cluster.options.Timeout):
		return fmt.Errorf("%s: still there after %v", x.Name, x.cluster.options.Timeout)
	}
}

// Status is what the router shows of its fleet.
func (x *Router) Status() (*fleet.Status, error) {
	code, b, err := x.CallAdmin("GET", "/fleet")
	if err != nil || code != 200 {
		return nil, fmt.Errorf("%s: /fleet: %d %v", x.Name, code, err)
	}
	s := &fleet.Status{}
	return s, json.Unmarshal(b, s)
}

// Door makes one call at the router's door.
func (x *Router) CallAdmin(method, path string) (int, []byte, error) {
	return sendRequest(x.AdminAddr, method+" "+path+" HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n", 2*time.Second)
}

// call says one request on a connection of its own and reads all of the answer.
func sendRequest(addr, request string, within time.Duration) (code int, body []byte, err error) {
	conn, err := net.DialTimeout("tcp", addr, within)
	if err != nil {
		return 0, nil, err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(within))
	if _, err := io.WriteString(conn, request); err != nil {
		return 0, nil, err
	}
	b, err := io.ReadAll(conn)
	if err != nil {
		return 0, nil, err
	}
	head, body, whole := bytes.Cut(b, []byte("\r\n\r\n"))
	if n, _ := fmt.Sscanf(string(head), "HTTP/1.1 %d", &code); n != 1 || !whole {
		return 0, nil, errors.New("no whole answer")
	}
	return code, body, nil
}

// Until waits until a condition holds. ok tells whether it does, and what is seen now;
// that, and the ends of the routers' logs, are in the error when it does not hold in time.
func (r *Cluster) WaitUntil(what string, within time.Duration, ok func() (bool, string)) (took time.Duration, err error) {
	began := time.Now()
	for {
		done, seen := ok()
		took = time.Since(began)
		if done {
			return took, nil
		}
		if took > within {
			return took, fmt.Errorf("%s: not so after %v: %s\n%s", what, within, seen, r.Logs(12))
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// Logs returns the last lines of each router's log.
func (r *Cluster) Logs(lines int) string {
	var s strings.Builder
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, x := range r.Routers {
		l := strings.Split(strings.TrimSpace(x.Output.String()), "\n")
		fmt.Fprintf(&s, "--- %s\n%s\n", x.ProxyName(), strings.Join(l[max(0, len(l)-lines):], "\n"))
	}
	return s.String()
}

// Address is where a box is reached, as the list of each router tells it: by that
// router's own way. The log of all can tell one address alone, the box's own.
func (b *Server) Address() netip.AddrPort { return netip.MustParseAddrPort(b.Addr().String()) }

// Close ends all processes and parties that the rig started, and no others.
func (r *Cluster) Close() {
	for _, x := range r.Routers {
		if x.process != nil {
			x.Kill()
		}
		if x.clientSocket != nil {
			x.clientSocket.Close()
		}
	}
	for _, b := range r.Servers {
		if b.Server != nil {
			b.Close()
		}
	}
	if r.ChangeLog != nil {
		r.ChangeLog.Close()
	}
	if r.addressClaim != nil {
		r.addressClaim.Close()
	}
	r.Proxy.Close()
}
