package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"reflect"

	"garnetline/internal/fleet"
	"garnetline/internal/fleet/link"
	"garnetline/internal/fleet/seal"
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

	Probe      float64 `hcl:"probe_ms,optional"`
	Timeout    float64 `hcl:"timeout_ms,optional"`
	Suspect    float64 `hcl:"suspect_ms,optional"`
	Sync       float64 `hcl:"sync_ms,optional"`
	Reach      float64 `hcl:"reach_ms,optional"`
	MaxMembers int     `hcl:"max_members,optional"`
	Packets    float64 `hcl:"packets_per_s,optional"`
	Bytes      float64 `hcl:"bytes_per_s,optional"`

	Lately float64 `hcl:"lately_ms,optional"`
	Share  float64 `hcl:"together_share,optional"`
	Silent float64 `hcl:"alone_after_silence_ms,optional"`
	Less   float64 `hcl:"less_room_after_ms,optional"`
	More   float64 `hcl:"more_room_after_ms,optional"`
}

func defaultFleet() Fleet {
	d := fleet.Default()
	return Fleet{Name: "garnetline", Listen: "127.0.0.1:7946", Probe: d.Member.Period, Timeout: d.Member.Timeout, Suspect: d.Member.Shortest,
		Sync: d.Member.Sync, Reach: d.Member.Reach, MaxMembers: d.Member.MaxMembers, Packets: 500, Bytes: 100_000,
		Lately: d.Stance.Lately, Share: d.Stance.Share, Silent: d.Stance.Silent, Less: d.Stance.Less, More: d.Stance.More}
}

func (f *Fleet) check() error {
	if !f.Enabled {
		return nil
	}
	_, err := f.Link()
	return err
}

// Link returns the settings as the link takes them. An error names the field.
func (f *Fleet) Link() (s link.Settings, err error) {
	between := func(name string, v, least, most float64) {
		if err == nil && !(v >= least && v <= most) {
			err = fmt.Errorf("%s: want %v to %v", name, least, most)
		}
	}
	between("probe_ms", f.Probe, 20, 60_000)
	between("timeout_ms", f.Timeout, 5, f.Probe/2)
	between("suspect_ms", f.Suspect, f.Probe, 600_000)
	between("sync_ms", f.Sync, 100, 3_600_000)
	between("reach_ms", f.Reach, 50, 600_000)
	between("max_members", float64(f.MaxMembers), 2, 1<<16)
	between("packets_per_s", f.Packets, 20, 1e6)
	between("bytes_per_s", f.Bytes, 2000, 1e9)
	between("lately_ms", f.Lately, 1000, 86_400_000)
	between("together_share", f.Share, 0.5, 1)
	between("alone_after_silence_ms", f.Silent, 4*f.Probe, 600_000)
	between("less_room_after_ms", f.Less, 0, 600_000)
	between("more_room_after_ms", f.More, f.Less, 600_000)
	if err != nil {
		return s, err
	}
	if f.Name == "" || len(f.Name) > 64 || len(f.Zone) > 64 {
		return s, errors.New("name: want 1 to 64 bytes, and a zone of 64 at the most")
	}
	if s.Listen, err = netip.ParseAddrPort(f.Listen); err != nil {
		return s, fmt.Errorf("listen: %w", err)
	}
	if s.Advertise = s.Listen; f.Advertise != "" {
		if s.Advertise, err = netip.ParseAddrPort(f.Advertise); err != nil {
			return s, fmt.Errorf("advertise: %w", err)
		}
	}
	if s.Advertise.Addr().IsUnspecified() {
		return s, errors.New("advertise: wanted where listen names no address of its own")
	}
	for i, j := range f.Join {
		a, err := netip.ParseAddrPort(j)
		if err != nil {
			return s, fmt.Errorf("join: the one in place %d: %w", i+1, err)
		}
		s.Join = append(s.Join, a)
	}
	if s.Ring, err = seal.New(f.Name, f.Keys); err != nil {
		return s, err
	}
	s.Fleet, s.Packets, s.Bytes, s.Node = f.Name, f.Packets, f.Bytes, fleet.Default()
	m, st := &s.Node.Member, &s.Node.Stance
	m.Period, m.Timeout, m.Shortest, m.Sync, m.Reach, m.MaxMembers = f.Probe, f.Timeout, f.Suspect, f.Sync, f.Reach, f.MaxMembers
	st.Lately, st.Share, st.Silent, st.Less, st.More = f.Lately, f.Share, f.Silent, f.Less, f.More
	st.Most = max(st.Most, st.More)
	return s, nil
}

// admits tells whether a running router can go over to next: keys and join can change.
func (f *Fleet) admits(next *Fleet) error {
	a, b := *f, *next
	a.Keys, b.Keys, a.Join, b.Join = nil, nil, nil, nil
	if !reflect.DeepEqual(a, b) {
		return errors.New("only a restart can change it, but for keys and join")
	}
	return nil
}
