// Package config reads what an edge router is told at its start. Errors name
// the field that cannot be used.
package platformconfig

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"slices"

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
