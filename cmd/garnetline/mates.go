package main

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"

	"github.com/rs/zerolog"

	"garnetline/internal/changelog"
	"garnetline/internal/clock"
	"garnetline/internal/config"
	"garnetline/internal/core"
	"garnetline/internal/fleet/link"
	"garnetline/internal/fleet/stance"
	"garnetline/internal/marks"
	"garnetline/internal/settings"
	"garnetline/internal/stats"
)

// mates are the other routers, where the operators' file has a fleet. Without one it is
// nil: no socket, no goroutine, and its methods do nothing.
type mates struct {
	*link.Link
	list  *changelog.Log
	core  *core.Core
	clock clock.Clock
	count *stats.Set

	mu   sync.Mutex
	stop context.CancelFunc // once it runs
}

// join makes the link to the other routers and ties the list to it.
func join(s settings.Fleet, conf *config.Config, list *changelog.Log, c *core.Core, clk clock.Clock, count *stats.Set, log *zerolog.Logger) (*mates, error) {
	if !s.Enabled {
		return nil, nil
	}
	set, err := s.Link()
	if err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	zone := s.Zone
	if zone == "" {
		zone = conf.Zones[conf.Settings.Zone]
	}
	o := link.Options{Settings: set, Name: conf.Name, Zone: zone, Version: version, State: conf.State, Clock: clk, Log: log, Stats: count}
	marked, err := marks.In(conf.State).All()
	if err != nil {
		count.Add("marks_unread", 1)
	}
	for id := range marked {
		o.Bans = append(o.Bans, id)
	}
	l, err := link.New(o)
	if err != nil {
		return nil, err
	}
	list.Join(l)
	return &mates{Link: l, list: list, core: c, clock: clk, count: count}, nil
}

// Run runs the link until ctx ends or Leave is called.
func (m *mates) Run(ctx context.Context) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	m.mu.Lock()
	m.stop = stop
	m.mu.Unlock()
	m.Link.Run(ctx)
}

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
func (m *mates) Reload(s settings.Fleet) {
	if m == nil {
		return
	}
	if set, err := s.Link(); err == nil { // it was checked when it was read
		m.Link.Reload(set)
	}
}

// Ready tells whether the fleet lets this router call itself ready: not one that has
// nobody left, neither neighbours nor boxes nor the change log.
func (m *mates) Ready() bool {
	if m == nil {
		return true
	}
	all, barred := m.list.Listed()
	lost := all-barred > 0 && m.core.Avoided() >= all-barred
	s := stance.Together
	if m.View().Stance == stance.Alone.String() {
		s = stance.Alone
	}
	return s.Ready(lost, m.list.Deaf(m.clock.Now()))
}

// Page is what the door shows at /fleet.
func (m *mates) Page() []byte {
	b, err := json.MarshalIndent(m.View(), "", " ")
	if err != nil { // a status is plain data
		return nil
	}
	return append(b, '\n')
}

// Append appends the fleet's figures in the text form of Prometheus.
func (m *mates) Append(b []byte) []byte {
	v := m.View()
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
		if s == v.Stance {
			is = 1
		}
		b = fmt.Appendf(b, "app_fleet_stance{stance=%q} %d\n", s, is)
	}
	gauge := func(name string, n int64) {
		b = fmt.Appendf(b, "# TYPE app_fleet_%s gauge\napp_fleet_%s %d\n", name, name, n)
	}
	gauge("known", int64(v.Known))
	gauge("slowness", int64(v.Health))
	gauge("bans", int64(len(v.Bans)))
	for _, x := range []string{"packets_in", "packets_out", "bytes_in", "bytes_out", "failed", "refuted", "conflict", "strangers",
		"other_versions", "other_fleets", "unopened", "broken_packets", "over_budget", "crowded_out"} {
		b = fmt.Appendf(b, "# TYPE app_fleet_%s_total counter\napp_fleet_%s_total %d\n", x, x, m.count.Counter("fleet_"+x).Load())
	}
	return b
}
