// Package platformconfig reads the platform's configuration of a router: a JSON file and a
// few environment variables. A Config is never modified after Load or Parse returned it: a
// reload replaces the whole Config, so any goroutine may read a Config without a lock. The package
// also defines the events of the change log, because the file lists the events that happened
// before the router's start.
package platformconfig

import (
	"errors"
	"net/netip"
	"os"
	"slices"

	"garnetline/internal/fielderror"
	"garnetline/routing"
)

// Environment variables. EDGE_NAME, EDGE_LISTEN and EDGE_MGMT override the values in the file.
const (
	envConfig      = "EDGE_CONFIG"
	envName        = "EDGE_NAME"
	envListen      = "EDGE_LISTEN"
	envAdminListen = "EDGE_MGMT"
	envListenFD    = "EDGE_LISTEN_FD"
	envStateDir    = "TMPDIR"
)

// Config is the configuration that the platform gives a router at its start.
type Config struct {
	Name             string
	Listen           netip.AddrPort
	ListenFD         int            // descriptor of an inherited listening socket; 0 if there is none
	AdminListen      netip.AddrPort // address of the admin API; the zero AddrPort if there is no admin API
	StateDir         string         // directory that outlives the process and that its successor reads too; "" if there is none
	Discovery        netip.AddrPort // address of the change log
	Seed             uint64
	Limits           Limits
	Settings         routing.Settings
	LoadReportFields []string // names of the values in a server's load report, in order
	Upstream         Upstream
	KnownEvents      []WatchEvent // events of the change log before the router's start
	KnownSeq         uint64       // sequence number of the last known event
	Zones            []string     // names of the zones
	Kinds            []string     // names of the kinds of servers
}

// Limits are the resource limits of the process. Zero means no limit.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// Upstream configures connections to servers.
type Upstream struct {
	IdleTimeout    float64 // ms; a connection that stays idle for this long is closed
	ConnectTimeout float64 // ms
	MaxStreams     int     // maximum number of concurrent requests on one connection
	BytesPerSecond float64 // throughput of one transfer; 0 if unknown
}

// FieldError reports an invalid value. Its Field is a path in the file, such as
// known.results[0].fleet, or the name of an environment variable.
type FieldError = fielderror.Error

// Load reads the configuration from the file at path, or from the file that EDGE_CONFIG names if
// path is "". env returns the value of an environment variable, and "" if it is not set. If no file
// is named, or the file cannot be read, the error is a FieldError for EDGE_CONFIG. Other errors are
// those of Parse.
func Load(path string, env func(string) string) (*Config, error) {
	if path == "" {
		path = env(envConfig)
	}
	if path == "" {
		return nil, &FieldError{Field: envConfig, Err: errors.New("expected a file in EDGE_CONFIG or --config, got none")}
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &FieldError{Field: envConfig, Err: err}
	}
	return Parse(data, env)
}

// CheckReload returns a FieldError for the first field that differs between c and updated and that
// only a restart can change. Such fields are the addresses that the program listens on, and the
// zones, kinds and classes. Endpoint lists and open requests refer to zones, kinds and classes by
// index. If the order of these changed, an index would refer to a wrong entry.
func (c *Config) CheckReload(updated *Config) error {
	current, replacement := &c.Settings, &updated.Settings
	for _, fixed := range []struct {
		field string
		same  bool
	}{
		{"listen", c.Listen == updated.Listen},
		{"mgmt", c.AdminListen == updated.AdminListen},
		{"settings.areas", slices.Equal(c.Zones, updated.Zones)},
		{"settings.machine_types", slices.Equal(c.Kinds, updated.Kinds)},
		{"settings.zone", current.Zone == replacement.Zone},
		{"settings.family_info.second_tier_kind", current.ParentKind == replacement.ParentKind},
		{"settings.family_info.root_kind", current.OriginKind == replacement.OriginKind},
		{"settings.classes", slices.EqualFunc(current.Classes, replacement.Classes, sameSemantics)},
	} {
		if !fixed.same {
			return &FieldError{Field: fixed.field, Err: errors.New("the value has changed, which needs a restart")}
		}
	}
	return nil
}

// sameSemantics reports whether an open request of class a can continue as a request of class b.
func sameSemantics(a, b routing.Class) bool {
	return a.Name == b.Name && a.Idempotency == b.Idempotency && a.Write == b.Write
}
