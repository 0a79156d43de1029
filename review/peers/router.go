package peers

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"syscall"
	"time"
)

const (
	readyTimeout = 30 * time.Second // the pages' limit
	knownNumber  = 1                // number of the last event in a configuration
	serverWeight = 24.0
)

// kinds are the kinds of servers, in the order of the settings.
var kinds = []string{"small-box", "parent", "origin"}

func kindNumber(kind string) byte { return byte(slices.Index(kinds, kind)) }

// settings are those of a small branch, with the names and units of the wire page.
const settings = `{"areas":["edge-1"],"machine_types":["small-box","parent","origin"],"zone":0,"me":0,"peers_total":1,
"discovery":"pushed","weights":"rough","stages":["branch-caches"],"tier":0,"tenants":[],
"classes":[
 {"name":"video-part","effect":"read_like","group":"all","window_us":5000000,"aim_us":400000,"aim_stretch":1.6,"deadline_us":6000000,"value":2.0,"late_worth":0.15,"stream":false},
 {"name":"sheet","effect":"read_like","group":"all","window_us":5000000,"aim_us":300000,"aim_stretch":2.0,"deadline_us":2500000,"value":1.0,"late_worth":0.2,"stream":false},
 {"name":"solution","effect":"idempotency_key","group":"all","window_us":2000000,"aim_us":700000,"deadline_us":3000000,"value":3.0,"late_worth":0.0,"stream":false}],
"family_info":{"class_write":[false,false,true],"lifetime_by_class_us":[0,12000000,0],"older_by_us":[0,0,0],"in_pieces":[true,false,false],
 "seats_by_zone":[1],"home_hub":[0],"root_kind":2,"second_tier_kind":1,"can_join":true,"bypass_allowed":false,"one_flow_kb_per_s":10900.0,
 "zone_link_kb_per_s":[81278.0],"note_level":"silent","peers_fill":"any","origin_limit_factor":2.5,"root_fall_us":3000000,
 "obey_after_us":500000,"cleared_within_us":6000000,"parent_starts_at":0.063,"parent_warms_in_us":22000000,"parent_fall_multiple":2.0},
"limits":{"cancel":true,"conn_idle_us":15000000,"connect_timeout_us":400000,"max_open":20000,"max_streams":100,"try_limit":6,"probes":true,
 "retry_after":true,"max_retry_after_us":2000000,"second_copies":false,"peers":false},
"rules":{"cold_from":0.15,"cold_us":16000000,"drain_grace_us":1000000,"fall_multiple":3.0,"grace_to_answer_us":8000,"overload_for_us":1500000,"ask_within_us":10000000},
"telemetry":{"fields":["active","x1"],"how":"pull"}}`

// site is the deployment round the routers of a case.
type site struct {
	caches    []*cache
	hub       *cache
	archive   *cache
	changeLog *changeLog
}

// newSite starts the caches of one branch, a hub cache, the main archive and the change log.
func (s *stage) newSite(count int, work, answerAfter time.Duration) (*site, error) {
	built := &site{}
	for i := range count + 2 {
		kind := kinds[0]
		if i >= count {
			kind = kinds[i-count+1]
		}
		server, err := newCache(s.log, uint32(0x101+i), kind, work)
		if err != nil {
			return nil, err
		}
		s.log.printf("%s %s listens on %s", kind, server.name(), server.listener.Addr())
		switch kind {
		case "parent":
			built.hub = server
		case "origin":
			built.archive = server
		default:
			built.caches = append(built.caches, server)
		}
	}
	var err error
	built.changeLog, err = newChangeLog(s.log, knownNumber, answerAfter)
	return built, err
}

func (t *site) servers() []*cache { return append(slices.Clone(t.caches), t.hub, t.archive) }

// router is a process that the run command of the deploy file has started.
type router struct {
	log    *record
	cmd    *exec.Cmd
	name   string
	listen string
	mgmt   string
	ended  chan struct{} // closed when the process has ended
}

// place is what the processes of one router have in common.
type place struct {
	name   string
	listen string
	config string   // path of the configuration file
	state  string   // folder for TMPDIR
	socket *os.File // the clients' listening socket, where the platform holds it
	flags  string   // added to the run command
}

// newPlace makes the folders and the configuration of a router. If held is set, the platform holds the
// clients' listening socket.
func (s *stage) newPlace(name string, around *site, held bool) (*place, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	defer func() { _ = listener.Close() }()
	made := &place{
		name: name, listen: listener.Addr().String(),
		config: filepath.Join(s.temp, name+".json"), state: filepath.Join(s.temp, name),
	}
	if held {
		if made.socket, err = listener.(*net.TCPListener).File(); err != nil {
			return nil, err
		}
	}
	if err := os.Mkdir(made.state, 0o700); err != nil {
		return nil, err
	}
	return made, os.WriteFile(made.config, configText(name, made.listen, s.seed, around), 0o600)
}

// startRouter starts the only process of a router and waits until its health check answers 200.
func (s *stage) startRouter(name string, around *site) (*router, error) {
	where, err := s.newPlace(name, around, false)
	if err != nil {
		return nil, err
	}
	started, err := s.startProcess(where)
	if err != nil {
		return nil, err
	}
	return started, started.awaitAnswer(started.listen, "/healthz")
}

// startProcess starts a process of a router. It does not wait until it is ready.
func (s *stage) startProcess(where *place) (*router, error) {
	command, err := s.runCommand()
	if err != nil {
		return nil, err
	}
	mgmt, err := freeAddress()
	if err != nil {
		return nil, err
	}
	output, err := os.OpenFile(filepath.Join(s.temp, where.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer func() { _ = output.Close() }()
	started := &router{log: s.log, name: where.name, listen: where.listen, mgmt: mgmt, ended: make(chan struct{})}
	started.cmd = exec.Command("/bin/sh", "-c", command+where.flags)
	started.cmd.Dir = s.root
	started.cmd.Env = append(os.Environ(), "EDGE_NAME="+where.name, "EDGE_LISTEN="+where.listen, "EDGE_MGMT="+mgmt,
		"EDGE_CONFIG="+where.config, "TMPDIR="+where.state)
	if where.socket != nil {
		started.cmd.Env = append(started.cmd.Env, "EDGE_LISTEN_FD=3")
		started.cmd.ExtraFiles = []*os.File{where.socket}
	}
	started.cmd.Stdout, started.cmd.Stderr = output, output
	if err := s.launch(started); err != nil {
		return nil, err
	}
	s.log.printf("router %s: process %d started on %s: %s", where.name, started.pid(), where.listen, command)
	go func() {
		defer close(started.ended)
		err := started.cmd.Wait()
		s.log.printf("router %s: process %d ended: %v", where.name, started.pid(), err)
	}()
	return started, nil
}

// launch starts the process, unless the case has ended.
func (s *stage) launch(started *router) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return errors.New("the case has ended")
	}
	if err := started.cmd.Start(); err != nil {
		return err
	}
	s.routers = append(s.routers, started)
	return nil
}

func (r *router) pid() int { return r.cmd.Process.Pid }

var runLine = regexp.MustCompile(`(?m)^run = "(.*)"`)

// runCommand returns the run command of the deploy file.
func (s *stage) runCommand() (string, error) {
	text, err := os.ReadFile(filepath.Join(s.root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	match := runLine.FindSubmatch(text)
	if match == nil {
		return "", errors.New("deploy/balancer.toml has no run line")
	}
	return string(match[1]), nil
}

func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String(), nil
}

func configText(name, listen string, seed uint64, around *site) []byte {
	var hosts []map[string]any
	for _, server := range around.servers() {
		hosts = append(hosts, map[string]any{
			"host": server.name(), "dial": server.listener.Addr().String(), "site": "edge-1", "class": server.kind,
			"block": 0, "health": "ready", "share": serverWeight, "born_ms": 0,
		})
	}
	text, err := json.Marshal(map[string]any{
		"name": name, "listen": listen, "seed": fmt.Sprintf("%016x", seed),
		"limits":    map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"changelog": around.changeLog.listener.Addr().String(), "flow_bytes_per_s": 1250000, "link_bytes_per_s": 5000000,
		"known": map[string]any{"seq": knownNumber, "results": []any{map[string]any{
			"seq": knownNumber, "fleet": map[string]any{"seq": 1, "whole": true, "hosts": hosts},
		}}},
		"settings": json.RawMessage(settings),
	})
	if err != nil {
		panic(err) // the values above can always be written
	}
	return text
}

// awaitAnswer waits until a call is answered with 200.
func (r *router) awaitAnswer(address, path string) error {
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		client, err := dialClient(address)
		if err != nil {
			continue
		}
		_ = client.send("GET " + path + " HTTP/1.1\r\nHost: backend.local\r\nConnection: close\r\n\r\n")
		answer, err := client.receive(time.Now().Add(time.Second))
		client.close()
		if err == nil && answer.status == 200 {
			return nil
		}
	}
	return fmt.Errorf("router %s was not ready within %v", r.name, readyTimeout)
}

func (r *router) signal(signal syscall.Signal) {
	r.log.printf("router %s: %v to process %d", r.name, signal, r.cmd.Process.Pid)
	_ = r.cmd.Process.Signal(signal)
}

// kill ends the process and waits for it.
func (r *router) kill() {
	select {
	case <-r.ended:
		return
	default:
	}
	_ = r.cmd.Process.Kill()
	<-r.ended
}
