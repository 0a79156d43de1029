package settings

import (
	"errors"
	"fmt"

	"garnetline/internal/fleet/agree"
	"garnetline/internal/fleet/duty"
	firsttry "garnetline/internal/fleet/first"
	"garnetline/internal/fleet/keeper"
)

// Duties says what one router does for all of them. Times are milliseconds.
type Duties struct {
	Enabled  bool     `hcl:"enabled,optional"`
	Electors []string `hcl:"electors,optional"` // names of the three or five routers that keep the register
	Folder   string   `hcl:"folder,optional"`   // of an elector's log
	Lease    float64  `hcl:"lease_ms,optional"`
	Margin   float64  `hcl:"margin_ms,optional"`
	Drift    float64  `hcl:"drift,optional"`
	Retry    float64  `hcl:"retry_ms,optional"`
	Election float64  `hcl:"election_ms,optional"`

	Prober *Prober `hcl:"prober,block"`
	First  *First  `hcl:"first_try,block"`
	Bans   *Bans   `hcl:"bans,block"`
}

// First is the duty of trying first what was set aside.
type First struct {
	Pace float64 `hcl:"routers_per_s,optional"` // that come in once a box is found well
}

// Bans has the register keep staff's bans.
type Bans struct {
	Every float64 `hcl:"every_ms,optional"`      // between readings of the register
	Ready float64 `hcl:"ready_wait_ms,optional"` // a router that starts waits so long to have read it
}

// Prober is the duty of asking the boxes of a location for their load.
type Prober struct {
	Every float64 `hcl:"every_ms,optional"`
	Most  float64 `hcl:"most_ms,optional"`
}

func defaultDuties() Duties {
	d := duty.Default()
	return Duties{Lease: d.TTL, Margin: d.Margin, Drift: d.Drift, Retry: d.Retry, Election: 600}
}

func (d *Duties) check(fleet bool) error {
	if f := d.First; f != nil {
		if f.Pace == 0 {
			f.Pace = firsttry.Default().Pace
		}
		if !(f.Pace >= 1 && f.Pace <= 10_000) {
			return errors.New("first_try: routers_per_s: want 1 to 10000")
		}
	}
	if b := d.Bans; b != nil {
		if b.Every == 0 {
			b.Every = keeper.Default().Every
		}
		if b.Ready == 0 {
			b.Ready = 5000
		}
		if !(b.Every >= 50 && b.Every <= 60_000 && b.Ready >= 100 && b.Ready <= 600_000) {
			return errors.New("bans: every_ms or ready_wait_ms out of range")
		}
	}
	if p := d.Prober; p != nil {
		if p.Every == 0 {
			p.Every = 250
		}
		if p.Most == 0 {
			p.Most = 4 * p.Every
		}
		if !(p.Every >= 20 && p.Every <= 60_000 && p.Most >= p.Every && p.Most <= 600_000) {
			return errors.New("prober: every_ms or most_ms out of range")
		}
	}
	switch {
	case !d.Enabled:
		return nil
	case !fleet:
		return errors.New("enabled: wants a fleet that is enabled too")
	case len(d.Electors) != 3 && len(d.Electors) != 5:
		return fmt.Errorf("electors: want 3 or 5 names, not %d", len(d.Electors))
	case !(d.Election >= 200 && d.Election <= 60_000):
		return errors.New("election_ms: want 200 to 60000")
	}
	seen := map[string]bool{}
	for _, n := range d.Electors {
		if n == "" || len(n) > 64 || seen[n] {
			return fmt.Errorf("electors: %q is no name, or named twice", n)
		}
		seen[n] = true
	}
	return d.Agree().Duty.Check()
}

// Agree returns the settings as the electors and holders take them.
func (d *Duties) Agree() agree.Settings {
	s := agree.Default()
	s.Election = max(4, int(d.Election/s.Tick))
	s.Duty.TTL, s.Duty.Margin, s.Duty.Drift, s.Duty.Retry = d.Lease, d.Margin, d.Drift, d.Retry
	return s
}
