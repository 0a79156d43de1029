package soak

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"garnetline/internal/fakeserver"
)

// Values of endpoints in the change log.
const (
	phaseRemoved = 2
	serverWeight = 100
)

// knownSequence is the sequence number of the last event that the configuration contains.
const knownSequence = 4

// Limits are the resource limits of a router, shared by all of its processes.
type Limits struct {
	MemoryMB int
	Sockets  int
}

// Options describe a deployment.
type Options struct {
	Limits    Limits
	Kind      Kind          // of the class of writes
	Deadline  time.Duration // of all classes
	OwnSocket bool          // each process binds the clients' socket itself, so that two cannot run beside each other
}

// Deployment is one router, whose processes share a listening socket and a state directory, and the
// servers and the change log that it uses.
type Deployment struct {
	Options
	ChangeLog *fakeserver.ChangeLog
	Servers   *Servers
	Addr      string // address of the clients' socket

	programs   Programs
	dir        string
	configPath string
	socket     *os.File // nil if each process binds its own
	closers    []func() error
}

// NewDeployment starts the servers and the change log and writes the configuration. It starts no
// process of the router.
func NewDeployment(programs Programs, dir string, options Options) (*Deployment, error) {
	deployment := &Deployment{Options: options, programs: programs, dir: dir, configPath: filepath.Join(dir, "config.json")}
	if err := deployment.start(); err != nil {
		deployment.Close()
		return nil, err
	}
	return deployment, nil
}

func (d *Deployment) start() error {
	var err error
	if d.ChangeLog, err = fakeserver.NewChangeLog(knownSequence); err != nil {
		return err
	}
	d.closers = append(d.closers, d.ChangeLog.Close)
	if d.Servers, err = newServers(d.programs.Standin); err != nil {
		return err
	}
	d.closers = append(d.closers, d.Servers.close)
	if err := d.listen(); err != nil {
		return err
	}
	return os.WriteFile(d.configPath, []byte(d.config()), 0o600)
}

// listen opens the socket that all processes of the router inherit, or finds an address for it.
func (d *Deployment) listen() error {
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	defer func() { _ = listener.Close() }()
	d.Addr = listener.Addr().String()
	if d.OwnSocket {
		return nil
	}
	if d.socket, err = listener.(*net.TCPListener).File(); err != nil {
		return err
	}
	d.closers = append(d.closers, d.socket.Close)
	return nil
}

// Close stops the servers and closes the listening socket.
func (d *Deployment) Close() {
	for _, closer := range d.closers {
		_ = closer()
	}
}

// Kind says how the class of writes may be repeated.
type Kind string

// The kinds of writes.
const (
	Keyed  Kind = "idempotency_key"
	Unsafe Kind = "non_idempotent"
)

// settingsFormat is the text of the settings. Its arguments are the deadline of the classes in
// microseconds and the effect of the class of writes.
const settingsFormat = `{"areas":["edge"],"machine_types":["box","parent","origin"],"zone":0,"weights":"rough",
"classes":[{"name":"part","effect":"read_like","aim_us":400000,"deadline_us":%[1]d,"value":2.0},
 {"name":"form","effect":%[2]q,"group":"all","window_us":2000000,"aim_us":400000,"deadline_us":%[1]d,"value":3.0}],
"family_info":{"class_write":[false,true],"root_kind":2,"second_tier_kind":1,"seats_by_zone":[1],"cleared_within_us":6000000,"one_flow_kb_per_s":5000,"can_join":true},
"limits":{"try_limit":6,"cancel":true,"retry_after":true,"max_retry_after_us":2000000},"rules":{"cold_from":0.15,"cold_us":16000000,"fall_multiple":3.0,"overload_for_us":1500000}}`

// config returns the platform's configuration file.
func (d *Deployment) config() string {
	hosts := ""
	for i, addr := range d.Servers.addrs {
		name := "box"
		if i == serverCount-1 {
			name = "origin"
		}
		if i > 0 {
			hosts += ","
		}
		hosts += fmt.Sprintf(`{"host":"s-%08x","dial":%q,"site":"edge","class":%q,"block":0,"health":"ready","share":100,"born_ms":0}`,
			i+1, addr, name)
	}
	return fmt.Sprintf(`{"name":"n0","listen":%q,"seed":"1","limits":{"cores":1,"memory_mb":%d,"sockets":%d},"changelog":%q,
"known":{"seq":%d,"results":[{"seq":%d,"fleet":{"seq":%d,"whole":true,"hosts":[%s]}}]},"settings":%s}`,
		d.Addr, d.Limits.MemoryMB, d.Limits.Sockets, d.ChangeLog.Addr(), knownSequence, knownSequence, knownSequence, hosts,
		fmt.Sprintf(settingsFormat, d.Deadline.Microseconds(), string(d.Kind)))
}

// RestartServer announces that another process has the address and the id of a cache.
func (d *Deployment) RestartServer(index int) error {
	addr, err := netip.ParseAddrPort(d.Servers.addrs[index])
	if err != nil {
		return err
	}
	started := uint64(time.Now().UnixMilli())
	d.ChangeLog.UpdateEndpoints(fakeserver.Endpoint{ID: uint32(index + 1), Addr: addr, Phase: phaseRemoved, Weight: serverWeight})
	d.ChangeLog.UpdateEndpoints(fakeserver.Endpoint{ID: uint32(index + 1), Addr: addr, Weight: serverWeight, Started: started})
	return nil
}
