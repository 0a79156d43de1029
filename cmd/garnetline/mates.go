package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/rs/zerolog"

	"garnetline/internal/admin/disabled"
	"garnetline/internal/clock"
	"garnetline/internal/discovery"
	"garnetline/internal/dispatch"
	"garnetline/internal/fleet/bans"
	"garnetline/internal/fleet/connectivity"
	"garnetline/internal/fleet/consensus"
	"garnetline/internal/fleet/consensus/wal"
	"garnetline/internal/fleet/fragment"
	"garnetline/internal/fleet/leasemanager"
	"garnetline/internal/fleet/loadreport"
	"garnetline/internal/fleet/membership"
	"garnetline/internal/fleet/recoveryprobe"
	"garnetline/internal/fleet/transport"
	"garnetline/internal/metrics"
	"garnetline/internal/operatorconfig"
	"garnetline/internal/platformconfig"
	"garnetline/routing"
)

// mates are the other routers, where the operators' file has a fleet. Without one it is
// nil: no socket, no goroutine, and its methods do nothing.
type mates struct {
	*transport.Transport
	list  *discovery.Watcher
	core  *dispatch.Dispatcher
	clock clock.Clock
	count *metrics.Registry

	duties *leasemanager.Manager      // nil: this router takes part in none
	prober *loadreport.Collector      // nil: it does not probe
	first  *recoveryprobe.Coordinator // nil: it tries what was set aside by itself
	keeper *bans.Manager              // nil: the register keeps no bans

	actors []actor // of those three, the ones that are there

	mu   sync.Mutex
	stop context.CancelFunc // once it runs
}

// actor runs until its context ends, and says when it has.
type actor interface {
	Run(ctx context.Context)
	Stopped() <-chan struct{}
}

// join makes the link to the other routers and ties the list to it.
func join(file operatorconfig.Config, conf *platformconfig.Config, list *discovery.Watcher, c *dispatch.Dispatcher, clk clock.Clock, count *metrics.Registry, log *zerolog.Logger) (*mates, error) {
	s := file.Fleet
	if !s.Enabled {
		return nil, nil
	}
	set, err := s.TransportSettings()
	if err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	zone := s.Zone
	if zone == "" {
		zone = conf.Zones[conf.Settings.Zone]
	}
	o := transport.Options{Settings: set, Name: conf.Name, Zone: zone, Version: version, StateDir: conf.StateDir, Clock: clk, Log: log, Stats: count}
	marked, err := disabled.NewStore(conf.StateDir).List()
	if err != nil {
		count.Add("marks_unread", 1)
	}
	for id := range marked {
		o.InitialBans = append(o.InitialBans, id)
	}
	l, err := transport.New(o)
	if err != nil {
		return nil, err
	}
	list.SetGossip(l)
	m := &mates{Transport: l, list: list, core: c, clock: clk, count: count}
	if file.Leases.Enabled {
		if err := m.share(file.Leases, set.FleetName, zone, conf, log); err != nil {
			return nil, fmt.Errorf("duties: %w", err)
		}
	}
	return m, nil
}

// share makes this router's part in the duties.
func (m *mates) share(d operatorconfig.Leases, name, zone string, conf *platformconfig.Config, log *zerolog.Logger) error {
	folder := d.WALDir
	if folder == "" && conf.StateDir != "" {
		folder = filepath.Join(conf.StateDir, "garnetline-elector-"+conf.Name)
	}
	boot := clock.NewBoot()
	o := leasemanager.Options{Settings: leasemanager.Settings{Fleet: name, Voters: d.Voters, Consensus: d.ConsensusSettings()}, Name: conf.Name, Incarnation: m.Status().Incarnation,
		Transport: m.Transport, Clock: boot, Log: log, Metrics: m.count, Eligible: m.willing}
	if slices.Contains(d.Voters, conf.Name) {
		if folder == "" {
			return errors.New("folder: an elector wants one that outlives it")
		}
		o.LogDir = wal.Dir(folder)
	}
	var wants []string
	if d.LoadReport != nil {
		wants = append(wants, loadreport.LeaseName(zone))
	}
	if d.RecoveryProbe != nil {
		wants = append(wants, recoveryprobe.LeaseName(zone))
	}
	self := m.Members().Self
	if b := d.Bans; b != nil {
		set := bans.DefaultSettings()
		set.PollInterval = b.PollInterval
		m.keeper = bans.New(bans.Options{Settings: set, StateDir: conf.StateDir, RouterName: conf.Name, ReadyTimeout: b.ReadyTimeout, Disabled: m.list.Disabled, SetDisabled: m.list.SetDisabled,
			SetDisabledByRegistry: m.list.SetDisabledByRegistry, Clock: boot, WallClock: m.clock, Log: log, Metrics: m.count,
			SendRequest: func(question uint64, a consensus.BanRequest) {
				m.duties.SendBanRequest(question, leasemanager.EncodeBanRequest(question, a))
			}})
		m.actors = append(m.actors, m.keeper)
		o.OnBanResponse = m.keeper.HandleResponse
	}
	var err error
	if m.duties, err = leasemanager.New(o, self, wants); err != nil {
		return err
	}
	mates := func() (ids []membership.ID) { // of this location
		for _, x := range m.Members().Members {
			if x.State == membership.Alive && x.Zone == zone && !x.Self {
				ids = append(ids, x.ID)
			}
		}
		return ids
	}
	if d.RecoveryProbe != nil {
		set := recoveryprobe.DefaultSettings()
		set.ReturnRate = d.RecoveryProbe.ReturnRate
		m.core.PublishEjected()
		m.first = recoveryprobe.New(recoveryprobe.Options{Settings: set, Zone: zone, Self: self, Valid: m.duties.Valid, LastKnownHolder: m.duties.LastKnownHolder, Ejected: m.core.Ejected, ExtendEjection: m.core.ExtendEjection,
			RequireProbe: m.core.RequireProbe, ZonePeers: mates, Send: m.Send, Clock: boot, Metrics: m.count})
		m.actors = append(m.actors, m.first)
	}
	if p := d.LoadReport; p != nil {
		m.prober = loadreport.New(loadreport.Options{Zone: zone, MinInterval: p.MinInterval, MaxInterval: p.MaxInterval, Valid: m.duties.Valid, Clock: boot, Metrics: m.count, Send: m.Send,
			ReportLoad: m.core.ReportLoad, Servers: func() (l []loadreport.Server) {
				for _, h := range m.list.ReadyServers(conf.Settings.Zone, 0) {
					l = append(l, loadreport.Server{ID: h.ID, Address: h.Addr})
				}
				return l
			}, ZonePeers: mates})
		m.actors = append(m.actors, m.prober)
	}
	m.SetReceiver(func(from membership.ID, life uint64, ch fragment.Channel, b []byte) {
		switch {
		case ch == fragment.LoadReport:
			if m.prober != nil {
				m.prober.Receive(b)
			}
		case ch == fragment.EjectionReport || ch == fragment.ProbeResult:
			if m.first != nil {
				m.first.Receive(from, ch, b)
			}
		default:
			m.duties.Deliver(from, life, ch, b)
		}
	})
	return nil
}

// willing tells whether this router may hold duties: not one that is cut off from its
// boxes, that takes itself for slow, or whose successor runs.
func (m *mates) willing() bool {
	v := m.Members()
	return !v.Superseded && v.HealthScore < 4 && v.Present > 1 && m.Status().Bound && !m.list.Stale(m.clock.Now())
}

// Run runs the link until ctx ends or Leave is called.
func (m *mates) Run(ctx context.Context) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	m.mu.Lock()
	m.stop = stop
	m.mu.Unlock()
	if m.duties == nil {
		m.Transport.Run(ctx)
		return
	}
	// What is held is handed on before the others are told that this router goes.
	linked, leave := context.WithCancel(context.Background())
	for _, a := range m.actors {
		go a.Run(ctx)
	}
	go func() {
		defer leave()
		m.duties.Run(ctx)
	}()
	m.Transport.Run(linked)
	stop()
	<-m.duties.Stopped()
	for _, a := range m.actors {
		<-a.Stopped()
	}
}

// Switch takes a box out by order of staff, or back: by the register where it keeps bans.
func (m *mates) Switch(ctx context.Context, id routing.ServerID, out bool) error {
	return m.keeper.Apply(ctx, bans.Change{Server: id, Disable: out})
}

// Keeps tells whether the register keeps staff's bans.
func (m *mates) Keeps() bool { return m != nil && m.keeper != nil }

// Leave tells the others that this router goes, and gives the socket back.
func (m *mates) Leave() {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stop != nil {
		m.stop()
	}
}

// Reload goes over to the keys and addresses of another file.
func (m *mates) Reload(s operatorconfig.Fleet) {
	if m == nil {
		return
	}
	if set, err := s.TransportSettings(); err == nil { // it was checked when it was read
		m.Transport.Reload(set)
	}
}

// Ready tells whether the fleet lets this router call itself ready: not one that has
// nobody left, neither neighbours nor boxes nor the change log.
func (m *mates) Ready() bool {
	if m == nil {
		return true
	}
	if m.keeper != nil && !m.keeper.Ready() {
		return false
	}
	all, barred := m.list.ServerCounts()
	lost := all-barred > 0 && m.core.EjectedCount() >= all-barred
	s := connectivity.Together
	if m.Status().Connectivity == connectivity.Alone.String() {
		s = connectivity.Alone
	}
	return s.Ready(lost, m.list.Stale(m.clock.Now()))
}

// Handle answers the door's calls below /fleet; false: there is no such call.
func (m *mates) Handle(ctx context.Context, method, path string) (status int, body []byte, ok bool) {
	show := func(v any) (int, []byte, bool) {
		b, err := json.MarshalIndent(v, "", " ")
		if err != nil { // all that is shown is plain data
			return 500, []byte(err.Error()), true
		}
		return 200, append(b, '\n'), true
	}
	words := strings.Split(strings.TrimPrefix(path, "/"), "/")
	switch {
	case path == "/fleet" && method == "GET":
		return show(m.Status())
	case m.duties == nil || len(words) < 2:
		return 0, nil, false
	case path == "/fleet/duties" && method == "GET":
		return show(dutyPage{m.duties.Status(), m.duties.Leases()})
	case path == "/fleet/bans" && method == "GET" && m.keeper != nil:
		return show(m.keeper.Status())
	case method == "POST" && len(words) == 7 && words[1] == "bans" && m.keeper != nil && (words[2] == "disable" || words[2] == "enable"):
		return done(m.banned(ctx, words[2:]))
	case method == "POST" && len(words) >= 4 && words[1] == "duty" && words[2] == "move":
		// The name of a duty has a stroke in it; the router's comes behind "to".
		name, to, _ := strings.Cut(strings.Join(words[3:], "/"), "/to/")
		return done(m.duties.Transfer(ctx, name, to))
	case method == "POST" && len(words) == 4 && words[1] == "elector" && (words[2] == "add" || words[2] == "remove"):
		return done(m.duties.ChangeVoter(ctx, words[3], words[2] == "add"))
	}
	return 0, nil, false
}

// banned carries out a call about a ban: what to do, the box, the version that staff saw
// or 0, who, and why.
func (m *mates) banned(ctx context.Context, w []string) (err error) {
	c := bans.Change{Disable: w[0] == "disable"}
	if c.Server, err = routing.ParseServerID(w[1]); err != nil {
		return err
	}
	if c.Version, err = strconv.ParseUint(w[2], 10, 64); err != nil {
		return fmt.Errorf("version: %q is none", w[2])
	}
	if c.SetBy, err = url.PathUnescape(w[3]); err == nil {
		c.Reason, err = url.PathUnescape(w[4])
	}
	if err != nil {
		return err
	}
	return m.keeper.Apply(ctx, c)
}

// dutyPage is what /fleet/duties shows.
type dutyPage struct {
	Register *leasemanager.Status `json:"register"`
	Held     []leasemanager.Lease `json:"held"` // by this router
}

func done(err error) (int, []byte, bool) {
	if err != nil {
		return 503, []byte(err.Error() + "\n"), true
	}
	return 200, []byte("done\n"), true
}

// AppendMetrics appends the fleet's figures in the text form of Prometheus.
func (m *mates) AppendMetrics(b []byte) []byte {
	v := m.Status()
	n := map[string]int{}
	for i := range v.Members {
		n[v.Members[i].State]++
	}
	b = append(b, "# TYPE app_fleet_members gauge\n"...)
	for _, s := range []string{"alive", "suspect", "failed", "left"} {
		b = fmt.Appendf(b, "app_fleet_members{state=%q} %d\n", s, n[s])
	}
	b = append(b, "# TYPE app_fleet_stance gauge\n"...)
	for _, s := range []string{"together", "partial", "alone"} {
		is := 0
		if s == v.Connectivity {
			is = 1
		}
		b = fmt.Appendf(b, "app_fleet_stance{stance=%q} %d\n", s, is)
	}
	gauge := func(name string, n int64) {
		b = fmt.Appendf(b, "# TYPE app_fleet_%s gauge\napp_fleet_%s %d\n", name, name, n)
	}
	gauge("known", int64(v.Known))
	gauge("slowness", int64(v.HealthScore))
	gauge("bans", int64(len(v.Bans)))
	for _, x := range []string{"packets_in", "packets_out", "bytes_in", "bytes_out", "failed", "refuted", "conflict", "strangers",
		"other_versions", "other_fleets", "unopened", "broken_packets", "over_budget", "crowded_out"} {
		b = fmt.Appendf(b, "# TYPE app_fleet_%s_total counter\napp_fleet_%s_total %d\n", x, x, m.count.Counter("fleet_"+x).Load())
	}
	return b
}
