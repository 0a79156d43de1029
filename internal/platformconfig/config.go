// Package config reads what an edge router is told at its start. Errors name
// the field that cannot be used.
package platformconfig

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"garnetline/internal/clock"
	"garnetline/internal/wire"
	"garnetline/routing"
)

// Limits bound the process.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// Config is all that an edge router is told at its start.
type Config struct {
	Name             string
	Listen           netip.AddrPort
	ListenFD         int            // descriptor of a listening socket that is inherited; 0: none
	AdminListen      netip.AddrPort // where staff call; not valid: nowhere
	StateDir         string         // folder that outlives the process, shared with its successor; empty: none
	Discovery        netip.AddrPort
	Seed             uint64
	Limits           Limits
	Settings         routing.Settings
	LoadReportFields []string // names of the values of a load report
	Upstream         Upstream
	KnownEvents      []WatchEvent
	KnownSeq         uint64 // number of the last known event
	Zones            []string
	Kinds            []string
}

// Upstream holds what the settings say of connections to caches.
type Upstream struct {
	IdleTimeout    float64 // ms; an idle connection is closed after it
	ConnectTimeout float64 // ms; a connection that is not up by then failed
	MaxStreams     int     // requests that one connection carries
	BytesPerSecond float64 // pace of one transfer; 0: not told
}

// Endpoint is one entry of the list of caches, with its address.
type Endpoint struct {
	routing.Server
	Addr netip.AddrPort
}

// Purge is a purge with the moment at which it was made.
type Purge struct {
	Object routing.ObjectID // 0: a whole group
	Group  int
	At     float64 // Unix ms
}

// WatchEvent is one event of the change log: a change of the list or a purge.
type WatchEvent struct {
	Seq        uint64
	ListUpdate bool // Hosts holds what changed
	Snapshot   bool // Endpoints holds the whole list
	Endpoints  []Endpoint
	Purge      *Purge
}

type document struct {
	Name               string          `json:"name"`
	Listen             string          `json:"listen"`
	Seed               string          `json:"seed"`
	Limits             Limits          `json:"limits"`
	AdminListen        string          `json:"mgmt"`
	Discovery          string          `json:"changelog"`
	Known              knownEvents     `json:"known"`
	FlowBytesPerSecond float64         `json:"flow_bytes_per_s"`
	Settings           json.RawMessage `json:"settings"`
}

type knownEvents struct {
	Seq     uint64 `json:"seq"`
	Results []struct {
		Seq        uint64      `json:"seq"`
		Fleet      *listUpdate `json:"fleet"`
		Invalidate *purge      `json:"invalidate"`
	} `json:"results"`
}

type listUpdate struct {
	Snapshot bool `json:"whole"`
	Hosts    []struct {
		Host   string  `json:"host"`
		Dial   string  `json:"dial"`
		Site   string  `json:"site"`
		Class  string  `json:"class"`
		Block  int     `json:"block"`
		Health string  `json:"health"`
		Share  float64 `json:"share"`
		Born   float64 `json:"born_ms"`
	} `json:"hosts"`
}

type purge struct {
	Object string  `json:"object"`
	Bucket *int    `json:"bucket"`
	Time   float64 `json:"time"`
}

// Load reads the file that EDGE_CONFIG names, or path where it is given.
// EDGE_NAME, EDGE_LISTEN and EDGE_MGMT go before what the file says.
func Load(path string, env func(string) string) (*Config, error) {
	if path == "" {
		path = env("EDGE_CONFIG")
	}
	if path == "" {
		return nil, errors.New("EDGE_CONFIG: not set, and no --config given")
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("EDGE_CONFIG: %w", err)
	}
	return Parse(data, env)
}

// Parse reads a configuration.
func Parse(data []byte, env func(string) string) (*Config, error) {
	var f document
	if err := json.Unmarshal(data, &f); err != nil {
		var bad *json.UnmarshalTypeError
		if errors.As(err, &bad) {
			return nil, fmt.Errorf("%s: is a %s", bad.Field, bad.Value)
		}
		return nil, fmt.Errorf("config: %w", err)
	}
	if v := env("EDGE_NAME"); v != "" {
		f.Name = v
	}
	if v := env("EDGE_LISTEN"); v != "" {
		f.Listen = v
	}
	if v := env("EDGE_MGMT"); v != "" {
		f.AdminListen = v
	}
	c := &Config{Name: f.Name, Limits: f.Limits, KnownSeq: f.Known.Seq, StateDir: env("TMPDIR")}
	var err error
	if v := env("EDGE_LISTEN_FD"); v != "" {
		if c.ListenFD, err = strconv.Atoi(v); err != nil || c.ListenFD < 3 {
			return nil, fmt.Errorf("EDGE_LISTEN_FD: %q is not a descriptor from 3", v)
		}
	}
	if f.AdminListen != "" {
		if c.AdminListen, err = netip.ParseAddrPort(f.AdminListen); err != nil {
			return nil, fmt.Errorf("mgmt: %w", err)
		}
	}
	if c.Listen, err = netip.ParseAddrPort(f.Listen); err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	if c.Discovery, err = netip.ParseAddrPort(f.Discovery); err != nil {
		return nil, fmt.Errorf("changelog: %w", err)
	}
	if c.Seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
		return nil, fmt.Errorf("seed: %q is not up to 16 hex digits", f.Seed)
	}
	if f.Limits.MemoryMB < 0 || f.Limits.Sockets < 0 || f.Limits.Cores < 0 {
		return nil, fmt.Errorf("limits: %+v: negative", f.Limits)
	}
	if f.Limits.Sockets > 0 && f.Limits.Sockets < 32 {
		return nil, fmt.Errorf("limits.sockets: %d, want 32 or more", f.Limits.Sockets)
	}
	if err := c.parseSettings(f.Settings); err != nil {
		return nil, err
	}
	if f.FlowBytesPerSecond < 0 {
		return nil, fmt.Errorf("flow_bytes_per_s: %v: negative", f.FlowBytesPerSecond)
	}
	c.Settings.BodyBytesPerSecond, c.Upstream.BytesPerSecond = f.FlowBytesPerSecond, f.FlowBytesPerSecond
	for i, r := range f.Known.Results {
		ev, err := c.parseEvent(r.Seq, r.Fleet, r.Invalidate)
		if err != nil {
			return nil, fmt.Errorf("known.results[%d].%w", i, err)
		}
		c.KnownEvents = append(c.KnownEvents, ev)
		c.KnownSeq = max(c.KnownSeq, r.Seq)
	}
	return c, nil
}

// CheckReload tells whether a running program can go over to next, and names the
// field that it cannot: where it listens and stands, and what lists and open
// requests refer to by place, holds for its life.
func (c *Config) CheckReload(next *Config) error {
	a, b := &c.Settings, &next.Settings
	for _, f := range []struct {
		field string
		same  bool
	}{
		{"listen", c.Listen == next.Listen},
		{"mgmt", c.AdminListen == next.AdminListen},
		{"settings.areas", slices.Equal(c.Zones, next.Zones)},
		{"settings.machine_types", slices.Equal(c.Kinds, next.Kinds)},
		{"settings.zone", a.Zone == b.Zone},
		{"settings.family_info.second_tier_kind", a.ParentKind == b.ParentKind},
		{"settings.family_info.root_kind", a.OriginKind == b.OriginKind},
		{"settings.classes", slices.EqualFunc(a.Classes, b.Classes, func(x, y routing.Class) bool {
			return x.Name == y.Name && x.Idempotency == y.Idempotency && x.Write == y.Write
		})},
	} {
		if !f.same {
			return fmt.Errorf("%s: can change with a restart only", f.field)
		}
	}
	return nil
}

// parseSettings reads the settings, which stand here as nested JSON under the
// names that the simulator's wire gives as paths.
func (c *Config) parseSettings(raw json.RawMessage) error {
	if len(raw) == 0 {
		return errors.New("settings: missing")
	}
	var tree map[string]any
	d := json.NewDecoder(bytes.NewReader(raw))
	d.UseNumber()
	if err := d.Decode(&tree); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	m := map[string]string{}
	flatten(m, "", tree)
	s, report, err := wire.ParseSettings(m)
	if err != nil {
		return fmt.Errorf("settings.%w", err)
	}
	if _, err := routing.New(s, 0); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	c.Settings, c.LoadReportFields = s, report
	c.Zones, c.Kinds = strings.Split(m["areas"], ","), strings.Split(m["machine_types"], ",")
	c.Upstream = Upstream{IdleTimeout: 15000, ConnectTimeout: 400, MaxStreams: 100}
	for path, v := range map[string]*float64{"limits.conn_idle_us": &c.Upstream.IdleTimeout, "limits.connect_timeout_us": &c.Upstream.ConnectTimeout} {
		if m[path] == "" {
			continue
		}
		us, err := strconv.ParseFloat(m[path], 64)
		if err != nil || !(us > 0) || math.IsInf(us, 0) {
			return fmt.Errorf("settings.%s: %q is not a time in microseconds", path, m[path])
		}
		*v = us / 1000
	}
	if v := m["limits.max_streams"]; v != "" {
		if c.Upstream.MaxStreams, err = strconv.Atoi(v); err != nil || c.Upstream.MaxStreams < 1 {
			return fmt.Errorf("settings.limits.max_streams: %q is not a number from 1", v)
		}
	}
	return nil
}

// flatten writes a tree as path=value pairs, in the form of the wire.
func flatten(m map[string]string, path string, v any) {
	switch v := v.(type) {
	case map[string]any:
		for k, x := range v {
			flatten(m, strings.TrimPrefix(path+"."+k, "."), x)
		}
	case []any:
		plain := make([]string, 0, len(v))
		for i, x := range v {
			switch x.(type) {
			case map[string]any, []any:
				flatten(m, path+"."+strconv.Itoa(i), x)
			default:
				plain = append(plain, formatScalar(x))
			}
		}
		m[path+".count"] = strconv.Itoa(len(v))
		m[path] = strings.Join(plain, ",")
	default:
		m[path] = formatScalar(v)
	}
}

func formatScalar(v any) string {
	if v == nil {
		return "-"
	}
	return strings.NewReplacer(" ", "_", ",", "_").Replace(fmt.Sprint(v))
}

func (c *Config) parseEvent(seq uint64, fl *listUpdate, inv *purge) (WatchEvent, error) {
	ev := WatchEvent{Seq: seq}
	switch {
	case fl != nil:
		ev.ListUpdate, ev.Snapshot = true, fl.Snapshot
		for i, h := range fl.Hosts {
			at := fmt.Sprintf("fleet.hosts[%d]", i)
			id, err := routing.ParseServerID(h.Host)
			if err != nil {
				return ev, fmt.Errorf("%s.host: %w", at, err)
			}
			s := routing.Server{ID: id, Cell: h.Block, Weight: h.Share, StartedAt: StartTime(h.Born)}
			if s.Zone = indexOf(c.Zones, h.Site); s.Zone < 0 {
				return ev, fmt.Errorf("%s.site: %q is not one of settings.areas", at, h.Site)
			}
			if s.Kind = indexOf(c.Kinds, h.Class); s.Kind < 0 {
				return ev, fmt.Errorf("%s.class: %q is not one of settings.machine_types", at, h.Class)
			}
			switch h.Health {
			case "ready":
				s.Phase = routing.Ready
			case "draining":
				s.Phase = routing.Draining
			case "gone":
				s.Phase = routing.Removed
			default:
				return ev, fmt.Errorf("%s.health: unknown word %q", at, h.Health)
			}
			dial, err := netip.ParseAddrPort(h.Dial)
			if err != nil {
				return ev, fmt.Errorf("%s.dial: %w", at, err)
			}
			ev.Endpoints = append(ev.Endpoints, Endpoint{s, dial})
		}
	case inv != nil:
		p := Purge{At: inv.Time}
		if inv.Bucket != nil {
			p.Group = *inv.Bucket
		} else {
			n, err := strconv.ParseUint(inv.Object, 16, 64)
			if err != nil || len(inv.Object) != 16 {
				return ev, fmt.Errorf("invalidate.object: %q is not 16 hex digits", inv.Object)
			}
			p.Object = routing.ObjectID(n)
		}
		ev.Purge = &p
	default:
		return ev, errors.New("fleet: missing, and no invalidate either")
	}
	return ev, nil
}

// StartTime converts the time of a late start for the module: 0 is long ago.
func StartTime(ms float64) time.Duration {
	if ms <= 0 {
		return 0
	}
	return clock.Duration(ms)
}

func indexOf(words []string, w string) int {
	for i, x := range words {
		if x == w && w != "" {
			return i
		}
	}
	return -1
}
