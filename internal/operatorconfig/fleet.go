package operatorconfig

import (
	"net/netip"

	"garnetline/internal/fielderror"
	"garnetline/internal/fleet"
	"garnetline/internal/fleet/packetcrypto"
	"garnetline/internal/fleet/transport"
)

const (
	maxNameLength           = 64 // of a router, a fleet or a zone
	defaultPacketsPerSecond = 500
	defaultBytesPerSecond   = 100_000
)

// Fleet configures how a router knows the others of its installation. Times are milliseconds.
type Fleet struct {
	Enabled   bool     `hcl:"enabled,optional"`
	Name      string   `hcl:"name,optional"`      // packets of a fleet of another name are dropped
	Listen    string   `hcl:"listen,optional"`    // UDP; port 0: any
	Advertise string   `hcl:"advertise,optional"` // where the others send to; "": Listen
	Join      []string `hcl:"join,optional"`      // addresses at which others may be
	Keys      []string `hcl:"keys,optional"`      // the first one encrypts, each decrypts
	Zone      string   `hcl:"zone,optional"`      // "": that of the platform's configuration

	ProbeInterval       float64 `hcl:"probe_ms,optional"`
	ProbeTimeout        float64 `hcl:"timeout_ms,optional"`
	MinSuspicionTimeout float64 `hcl:"suspect_ms,optional"`
	SyncInterval        float64 `hcl:"sync_ms,optional"`
	ReconnectInterval   float64 `hcl:"reach_ms,optional"`
	MaxMembers          int     `hcl:"max_members,optional"`
	PacketsPerSecond    float64 `hcl:"packets_per_s,optional"`
	BytesPerSecond      float64 `hcl:"bytes_per_s,optional"`

	RecentWindow   float64 `hcl:"lately_ms,optional"`
	TogetherShare  float64 `hcl:"together_share,optional"`
	SilenceTimeout float64 `hcl:"alone_after_silence_ms,optional"`
	DowngradeDelay float64 `hcl:"less_room_after_ms,optional"`
	UpgradeDelay   float64 `hcl:"more_room_after_ms,optional"`
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

// TransportSettings returns the settings of the transport, and of membership and connectivity
// above it. Errors are fielderror.Error.
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
		return settings, fielderror.Errorf("name", "want 1 to %[1]d bytes, and a zone of %[1]d at the most", maxNameLength)
	}
	if err := f.parseAddresses(&settings); err != nil {
		return settings, err
	}
	var err error
	settings.Keyring, err = packetcrypto.NewKeyring(f.Name, f.Keys)
	return settings, err
}

// validateRanges checks the numbers.
func (f *Fleet) validateRanges() error {
	for _, field := range []struct {
		name               string
		value, least, most float64
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
		if !within(field.value, field.least, field.most) {
			return fielderror.Errorf(field.name, "want %v to %v", field.least, field.most)
		}
	}
	return nil
}

// parseAddresses reads the addresses into settings.
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
		return fielderror.Errorf("advertise", "wanted where listen names no address of its own")
	}
	for i, text := range f.Join {
		seed, err := netip.ParseAddrPort(text)
		if err != nil {
			return fielderror.Errorf("join", "the one in place %d: %w", i+1, err)
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
