// Package platformconfig reads the platform's configuration of a router: a JSON file and a
// few environment variables. A Config is not changed once it is read; a reload replaces it
// whole, so that any goroutine may read one. The package also defines the events of the
// change log, since the file holds those of before the router's start.
package platformconfig

import (
	"errors"
	"net/netip"
	"os"
	"slices"

	"garnetline/internal/fielderror"
	"garnetline/routing"
)

// Environment variables. Name, listen and admin address override those of the file.
const (
	envConfig      = "EDGE_CONFIG"
	envName        = "EDGE_NAME"
	envListen      = "EDGE_LISTEN"
	envAdminListen = "EDGE_MGMT"
	envListenFD    = "EDGE_LISTEN_FD"
	envStateDir    = "TMPDIR"
)

// Config is what the platform tells a router at its start.
type Config struct {
	Name             string
	Listen           netip.AddrPort
	ListenFD         int            // descriptor of an inherited listening socket; 0: none
	AdminListen      netip.AddrPort // of the admin API; not valid: there is none
	StateDir         string         // outlives the process, shared with its successor; "": none
	Discovery        netip.AddrPort // of the change log
	Seed             uint64
	Limits           Limits
	Settings         routing.Settings
	LoadReportFields []string // names of the values in a load report
	Upstream         Upstream
	KnownEvents      []WatchEvent // of before the start
	KnownSeq         uint64       // number of the last known event
	Zones            []string
	Kinds            []string // of servers
}

// Limits bound the process. Zero means no limit.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// Upstream configures connections to servers.
type Upstream struct {
	IdleTimeout    float64 // ms, after which an idle connection is closed
	ConnectTimeout float64 // ms
	MaxStreams     int     // requests open at once on a connection
	BytesPerSecond float64 // of one transfer; 0: not known
}

// FieldError reports a field, by its path in the file as in known.results[0].fleet, or an
// environment variable that cannot be used.
type FieldError = fielderror.Error

// Load reads a file; path "" stands for the one that EDGE_CONFIG names. env returns the value
// of an environment variable.
func Load(path string, env func(string) string) (*Config, error) {
	if path == "" {
		path = env(envConfig)
	}
	if path == "" {
		return nil, &FieldError{Field: envConfig, Err: errors.New("not set, and no --config given")}
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &FieldError{Field: envConfig, Err: err}
	}
	return Parse(data, env)
}

// CheckReload returns a FieldError that names a field which differs in next but cannot change
// while the program runs: addresses that it listens on, and what endpoint lists and open
// requests refer to by index.
func (c *Config) CheckReload(next *Config) error {
	current, replacement := &c.Settings, &next.Settings
	for _, fixed := range []struct {
		field string
		same  bool
	}{
		{"listen", c.Listen == next.Listen},
		{"mgmt", c.AdminListen == next.AdminListen},
		{"settings.areas", slices.Equal(c.Zones, next.Zones)},
		{"settings.machine_types", slices.Equal(c.Kinds, next.Kinds)},
		{"settings.zone", current.Zone == replacement.Zone},
		{"settings.family_info.second_tier_kind", current.ParentKind == replacement.ParentKind},
		{"settings.family_info.root_kind", current.OriginKind == replacement.OriginKind},
		{"settings.classes", slices.EqualFunc(current.Classes, replacement.Classes, sameRequests)},
	} {
		if !fixed.same {
			return &FieldError{Field: fixed.field, Err: errors.New("can change with a restart only")}
		}
	}
	return nil
}

// sameRequests reports whether a request of one class may go on as one of the other.
func sameRequests(a, b routing.Class) bool {
	return a.Name == b.Name && a.Idempotency == b.Idempotency && a.Write == b.Write
}
