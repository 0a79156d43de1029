package operatorconfig

import (
	"net/netip"

	"garnetline/internal/fielderror"
	"garnetline/internal/fleet"
	"garnetline/internal/fleet/packetcrypto"
	"garnetline/internal/fleet/transport"
)

const (
	maxNameLength           = 64 // bytes, for the name of a router, a fleet or a zone
	defaultPacketsPerSecond = 500
	defaultBytesPerSecond   = 100_000
)

// Fleet configures the membership protocol, by which a router finds the other routers of its
// installation. Times are in milliseconds.
type Fleet struct {
	Enabled   bool     `hcl:"enabled,optional"`
	Name      string   `hcl:"name,optional"`      // packets from a fleet with another name are dropped
	Listen    string   `hcl:"listen,optional"`    // UDP address; with port 0, the system chooses a port
	Advertise string   `hcl:"advertise,optional"` // address that other routers send to; "" means Listen
	Join      []string `hcl:"join,optional"`      // addresses at which other routers may be reachable
	Keys      []string `hcl:"keys,optional"`      // the first key encrypts; all keys can decrypt
	Zone      string   `hcl:"zone,optional"`      // "" means the zone in the platform's configuration

	ProbeInterval       float64 `hcl:"probe_ms,optional"`
	ProbeTimeout        float64 `hcl:"timeout_ms,optional"`
	MinSuspicionTimeout float64 `hcl:"suspect_ms,optional"`
	SyncInterval        float64 `hcl:"sync_ms,optional"`
	ReconnectInterval   float64 `hcl:"reach_ms,optional"`
	MaxMembers          int     `hcl:"max_members,optional"`
	PacketsPerSecond    float64 `hcl:"packets_per_s,optional"`
	BytesPerSecond      float64 `hcl:"bytes_per_s,optional"`

	RecentWindow   float64 `hcl:"lately_ms,optional"`              // a router counts as expected until this long after it was last present
	TogetherShare  float64 `hcl:"together_share,optional"`         // in the state "together", at least this share of the expected routers is present
	SilenceTimeout float64 `hcl:"alone_after_silence_ms,optional"` // the state becomes "alone" if no packet arrives for this long
	DowngradeDelay float64 `hcl:"less_room_after_ms,optional"`     // how long the conditions of a state that permits less must hold before the router changes to it
	UpgradeDelay   float64 `hcl:"more_room_after_ms,optional"`     // how long the conditions of a state that permits more must hold before the router changes to it
}

func defaultFleet() Fleet {
	defaults := fleet.DefaultSettings()
	membership, connectivity := defaults.Membership, defaults.Connectivity
	return Fleet{
		Name:                "garnetline",
		Listen:              "127.0.0.1:7946",
		ProbeInterval:       membership.ProbeInterval,
		ProbeTimeout:        membership.ProbeTimeout,
		MinSuspicionTimeout: membership.MinSuspicionTimeout,
		SyncInterval:        membership.SyncInterval,
		ReconnectInterval:   membership.ReconnectInterval,
		MaxMembers:          membership.MaxMembers,
		PacketsPerSecond:    defaultPacketsPerSecond,
		BytesPerSecond:      defaultBytesPerSecond,
		RecentWindow:        connectivity.RecentWindow,
		TogetherShare:       connectivity.TogetherShare,
		SilenceTimeout:      connectivity.SilenceTimeout,
		DowngradeDelay:      connectivity.DowngradeDelay,
		UpgradeDelay:        connectivity.UpgradeDelay,
	}
}

func (f *Fleet) validate() error {
	if !f.Enabled {
		return nil
	}
	_, err := f.TransportSettings()
	return err
}

// TransportSettings returns the settings of the transport. They include the settings of membership
// and connectivity, which use the transport. An error is a fielderror.Error.
func (f *Fleet) TransportSettings() (transport.Settings, error) {
	settings := transport.Settings{
		FleetName:        f.Name,
		PacketsPerSecond: f.PacketsPerSecond,
		BytesPerSecond:   f.BytesPerSecond,
		Node:             f.nodeSettings(),
	}
	if err := f.validateRanges(); err != nil {
		return settings, err
	}
	if f.Name == "" || len(f.Name) > maxNameLength || len(f.Zone) > maxNameLength {
		return settings, fielderror.Errorf("name", "expected a name of 1 to %[1]d bytes and a zone of at most %[1]d bytes, got a name of %[2]d bytes and a zone of %[3]d bytes", maxNameLength, len(f.Name), len(f.Zone))
	}
	if err := f.parseAddresses(&settings); err != nil {
		return settings, err
	}
	var err error
	settings.Keyring, err = packetcrypto.NewKeyring(f.Name, f.Keys)
	return settings, err
}

// validateRanges checks that each number is within its range.
func (f *Fleet) validateRanges() error {
	for _, field := range []struct {
		name             string
		value, low, high float64
	}{
		{"probe_ms", f.ProbeInterval, 20, 60_000},
		{"timeout_ms", f.ProbeTimeout, 5, f.ProbeInterval / 2},
		{"suspect_ms", f.MinSuspicionTimeout, f.ProbeInterval, 600_000},
		{"sync_ms", f.SyncInterval, 100, 3_600_000},
		{"reach_ms", f.ReconnectInterval, 50, 600_000},
		{"max_members", float64(f.MaxMembers), 2, 1 << 16},
		{"packets_per_s", f.PacketsPerSecond, 20, 1e6},
		{"bytes_per_s", f.BytesPerSecond, 2000, 1e9},
		{"lately_ms", f.RecentWindow, 1000, 86_400_000},
		{"together_share", f.TogetherShare, 0.5, 1},
		{"alone_after_silence_ms", f.SilenceTimeout, 4 * f.ProbeInterval, 600_000},
		{"less_room_after_ms", f.DowngradeDelay, 0, 600_000},
		{"more_room_after_ms", f.UpgradeDelay, f.DowngradeDelay, 600_000},
	} {
		if !inRange(field.value, field.low, field.high) {
			return fielderror.Errorf(field.name, "expected a number from %v to %v, got %v", field.low, field.high, field.value)
		}
	}
	return nil
}

// parseAddresses parses the addresses and stores them in settings.
func (f *Fleet) parseAddresses(settings *transport.Settings) error {
	var err error
	if settings.ListenAddr, err = netip.ParseAddrPort(f.Listen); err != nil {
		return fielderror.Errorf("listen", "%w", err)
	}
	settings.AdvertiseAddr = settings.ListenAddr
	if f.Advertise != "" {
		if settings.AdvertiseAddr, err = netip.ParseAddrPort(f.Advertise); err != nil {
			return fielderror.Errorf("advertise", "%w", err)
		}
	}
	if settings.AdvertiseAddr.Addr().IsUnspecified() {
		return fielderror.Errorf("advertise", "expected a specific IP address in advertise or listen, got the unspecified address %v", settings.AdvertiseAddr)
	}
	for i, text := range f.Join {
		seed, err := netip.ParseAddrPort(text)
		if err != nil {
			return fielderror.Errorf("join", "address %d: %w", i+1, err)
		}
		settings.Seeds = append(settings.Seeds, seed)
	}
	return nil
}

// nodeSettings returns the settings of membership and connectivity.
func (f *Fleet) nodeSettings() fleet.Settings {
	settings := fleet.DefaultSettings()
	membership := &settings.Membership
	membership.ProbeInterval = f.ProbeInterval
	membership.ProbeTimeout = f.ProbeTimeout
	membership.MinSuspicionTimeout = f.MinSuspicionTimeout
	membership.SyncInterval = f.SyncInterval
	membership.ReconnectInterval = f.ReconnectInterval
	membership.MaxMembers = f.MaxMembers
	connectivity := &settings.Connectivity
	connectivity.RecentWindow = f.RecentWindow
	connectivity.TogetherShare = f.TogetherShare
	connectivity.SilenceTimeout = f.SilenceTimeout
	connectivity.DowngradeDelay = f.DowngradeDelay
	connectivity.UpgradeDelay = f.UpgradeDelay
	connectivity.MaxUpgradeDelay = max(connectivity.MaxUpgradeDelay, f.UpgradeDelay)
	return settings
}
