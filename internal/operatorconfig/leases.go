package operatorconfig

import (
	"errors"
	"fmt"

	"garnetline/internal/fleet/bans"
	"garnetline/internal/fleet/consensus"
	"garnetline/internal/fleet/lease"
	firsttry "garnetline/internal/fleet/recoveryprobe"
)

// Leases says what one router does for all of them. Times are milliseconds.
type Leases struct {
	Enabled         bool     `hcl:"enabled,optional"`
	Voters          []string `hcl:"electors,optional"` // names of the three or five routers that keep the register
	WALDir          string   `hcl:"folder,optional"`   // of an elector's log
	Duration        float64  `hcl:"lease_ms,optional"`
	SafetyMargin    float64  `hcl:"margin_ms,optional"`
	MaxClockDrift   float64  `hcl:"drift,optional"`
	RetryInterval   float64  `hcl:"retry_ms,optional"`
	ElectionTimeout float64  `hcl:"election_ms,optional"`

	LoadReport    *LoadReport    `hcl:"prober,block"`
	RecoveryProbe *RecoveryProbe `hcl:"first_try,block"`
	Bans          *Bans          `hcl:"bans,block"`
}

// RecoveryProbe is the duty of trying first what was set aside.
type RecoveryProbe struct {
	ReturnRate float64 `hcl:"routers_per_s,optional"` // that come in once a box is found well
}

// Bans has the register keep staff's bans.
type Bans struct {
	PollInterval float64 `hcl:"every_ms,optional"`      // between readings of the register
	ReadyTimeout float64 `hcl:"ready_wait_ms,optional"` // a router that starts waits so long to have read it
}

// LoadReport is the duty of asking the boxes of a location for their load.
type LoadReport struct {
	MinInterval float64 `hcl:"every_ms,optional"`
	MaxInterval float64 `hcl:"most_ms,optional"`
}

func defaultLeases() Leases {
	d := lease.DefaultSettings()
	return Leases{Duration: d.TTL, SafetyMargin: d.SafetyMargin, MaxClockDrift: d.MaxClockDrift, RetryInterval: d.RetryInterval, ElectionTimeout: 600}
}

func (d *Leases) validate(fleet bool) error {
	if f := d.RecoveryProbe; f != nil {
		if f.ReturnRate == 0 {
			f.ReturnRate = firsttry.DefaultSettings().ReturnRate
		}
		if !(f.ReturnRate >= 1 && f.ReturnRate <= 10_000) {
			return errors.New("first_try: routers_per_s: want 1 to 10000")
		}
	}
	if b := d.Bans; b != nil {
		if b.PollInterval == 0 {
			b.PollInterval = bans.DefaultSettings().PollInterval
		}
		if b.ReadyTimeout == 0 {
			b.ReadyTimeout = 5000
		}
		if !(b.PollInterval >= 50 && b.PollInterval <= 60_000 && b.ReadyTimeout >= 100 && b.ReadyTimeout <= 600_000) {
			return errors.New("bans: every_ms or ready_wait_ms out of range")
		}
	}
	if p := d.LoadReport; p != nil {
		if p.MinInterval == 0 {
			p.MinInterval = 250
		}
		if p.MaxInterval == 0 {
			p.MaxInterval = 4 * p.MinInterval
		}
		if !(p.MinInterval >= 20 && p.MinInterval <= 60_000 && p.MaxInterval >= p.MinInterval && p.MaxInterval <= 600_000) {
			return errors.New("prober: every_ms or most_ms out of range")
		}
	}
	switch {
	case !d.Enabled:
		return nil
	case !fleet:
		return errors.New("enabled: wants a fleet that is enabled too")
	case len(d.Voters) != 3 && len(d.Voters) != 5:
		return fmt.Errorf("electors: want 3 or 5 names, not %d", len(d.Voters))
	case !(d.ElectionTimeout >= 200 && d.ElectionTimeout <= 60_000):
		return errors.New("election_ms: want 200 to 60000")
	}
	seen := map[string]bool{}
	for _, n := range d.Voters {
		if n == "" || len(n) > 64 || seen[n] {
			return fmt.Errorf("electors: %q is no name, or named twice", n)
		}
		seen[n] = true
	}
	return d.ConsensusSettings().Lease.Validate()
}

// ConsensusSettings returns the settings as the electors and holders take them.
func (d *Leases) ConsensusSettings() consensus.Settings {
	s := consensus.DefaultSettings()
	s.ElectionTicks = max(4, int(d.ElectionTimeout/s.TickInterval))
	s.Lease.TTL, s.Lease.SafetyMargin, s.Lease.MaxClockDrift, s.Lease.RetryInterval = d.Duration, d.SafetyMargin, d.MaxClockDrift, d.RetryInterval
	return s
}
