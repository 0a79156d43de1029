package operatorconfig

import (
	"errors"
	"fmt"
	"net/netip"
	"reflect"

	"garnetline/internal/fleet"
	"garnetline/internal/fleet/packetcrypto"
	"garnetline/internal/fleet/transport"
)

// Fleet says how a router knows the others of its installation. Times are milliseconds.
type Fleet struct {
	Enabled   bool     `hcl:"enabled,optional"`
	Name      string   `hcl:"name,optional"`      // of the fleet; routers of another one are not heard
	Listen    string   `hcl:"listen,optional"`    // UDP; port 0: any
	Advertise string   `hcl:"advertise,optional"` // where others write to; "": where it listens
	Join      []string `hcl:"join,optional"`      // addresses at which others may be
	Keys      []string `hcl:"keys,optional"`      // the first seals, each opens
	Zone      string   `hcl:"zone,optional"`      // "": the configuration's

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
	d := fleet.DefaultSettings()
	return Fleet{Name: "garnetline", Listen: "127.0.0.1:7946", ProbeInterval: d.Membership.ProbeInterval, ProbeTimeout: d.Membership.ProbeTimeout, MinSuspicionTimeout: d.Membership.MinSuspicionTimeout,
		SyncInterval: d.Membership.SyncInterval, ReconnectInterval: d.Membership.ReconnectInterval, MaxMembers: d.Membership.MaxMembers, PacketsPerSecond: 500, BytesPerSecond: 100_000,
		RecentWindow: d.Connectivity.RecentWindow, TogetherShare: d.Connectivity.TogetherShare, SilenceTimeout: d.Connectivity.SilenceTimeout, DowngradeDelay: d.Connectivity.DowngradeDelay, UpgradeDelay: d.Connectivity.UpgradeDelay}
}

func (f *Fleet) validate() error {
	if !f.Enabled {
		return nil
	}
	_, err := f.TransportSettings()
	return err
}

// TransportSettings returns the settings as the link takes them. An error names the field.
func (f *Fleet) TransportSettings() (s transport.Settings, err error) {
	between := func(name string, v, least, most float64) {
		if err == nil && !(v >= least && v <= most) {
			err = fmt.Errorf("%s: want %v to %v", name, least, most)
		}
	}
	between("probe_ms", f.ProbeInterval, 20, 60_000)
	between("timeout_ms", f.ProbeTimeout, 5, f.ProbeInterval/2)
	between("suspect_ms", f.MinSuspicionTimeout, f.ProbeInterval, 600_000)
	between("sync_ms", f.SyncInterval, 100, 3_600_000)
	between("reach_ms", f.ReconnectInterval, 50, 600_000)
	between("max_members", float64(f.MaxMembers), 2, 1<<16)
	between("packets_per_s", f.PacketsPerSecond, 20, 1e6)
	between("bytes_per_s", f.BytesPerSecond, 2000, 1e9)
	between("lately_ms", f.RecentWindow, 1000, 86_400_000)
	between("together_share", f.TogetherShare, 0.5, 1)
	between("alone_after_silence_ms", f.SilenceTimeout, 4*f.ProbeInterval, 600_000)
	between("less_room_after_ms", f.DowngradeDelay, 0, 600_000)
	between("more_room_after_ms", f.UpgradeDelay, f.DowngradeDelay, 600_000)
	if err != nil {
		return s, err
	}
	if f.Name == "" || len(f.Name) > 64 || len(f.Zone) > 64 {
		return s, errors.New("name: want 1 to 64 bytes, and a zone of 64 at the most")
	}
	if s.ListenAddr, err = netip.ParseAddrPort(f.Listen); err != nil {
		return s, fmt.Errorf("listen: %w", err)
	}
	if s.AdvertiseAddr = s.ListenAddr; f.Advertise != "" {
		if s.AdvertiseAddr, err = netip.ParseAddrPort(f.Advertise); err != nil {
			return s, fmt.Errorf("advertise: %w", err)
		}
	}
	if s.AdvertiseAddr.Addr().IsUnspecified() {
		return s, errors.New("advertise: wanted where listen names no address of its own")
	}
	for i, j := range f.Join {
		a, err := netip.ParseAddrPort(j)
		if err != nil {
			return s, fmt.Errorf("join: the one in place %d: %w", i+1, err)
		}
		s.Seeds = append(s.Seeds, a)
	}
	if s.Keyring, err = packetcrypto.NewKeyring(f.Name, f.Keys); err != nil {
		return s, err
	}
	s.FleetName, s.PacketsPerSecond, s.BytesPerSecond, s.Node = f.Name, f.PacketsPerSecond, f.BytesPerSecond, fleet.DefaultSettings()
	m, st := &s.Node.Membership, &s.Node.Connectivity
	m.ProbeInterval, m.ProbeTimeout, m.MinSuspicionTimeout, m.SyncInterval, m.ReconnectInterval, m.MaxMembers = f.ProbeInterval, f.ProbeTimeout, f.MinSuspicionTimeout, f.SyncInterval, f.ReconnectInterval, f.MaxMembers
	st.RecentWindow, st.TogetherShare, st.SilenceTimeout, st.DowngradeDelay, st.UpgradeDelay = f.RecentWindow, f.TogetherShare, f.SilenceTimeout, f.DowngradeDelay, f.UpgradeDelay
	st.MaxUpgradeDelay = max(st.MaxUpgradeDelay, st.UpgradeDelay)
	return s, nil
}

// checkReload tells whether a running router can go over to next: keys and join can change.
func (f *Fleet) checkReload(next *Fleet) error {
	a, b := *f, *next
	a.Keys, b.Keys, a.Join, b.Join = nil, nil, nil, nil
	if !reflect.DeepEqual(a, b) {
		return errors.New("only a restart can change it, but for keys and join")
	}
	return nil
}
