package operatorconfig

import (
	"garnetline/internal/fielderror"
	"garnetline/internal/fleet/bans"
	"garnetline/internal/fleet/consensus"
	"garnetline/internal/fleet/lease"
	"garnetline/internal/fleet/recoveryprobe"
)

// Bounds and defaults of leases and of the features that use them. Times are in milliseconds.
const (
	defaultElectionTimeout = 600.0
	minElectionTimeout     = 200.0
	maxElectionTimeout     = 60_000.0
	minElectionTicks       = 4
	maxReturnRate          = 10_000.0 // routers per second
	minBanPollInterval     = 50.0
	maxBanPollInterval     = 60_000.0
	defaultBanReadyTimeout = 5000.0
	minBanReadyTimeout     = 100.0
	maxBanReadyTimeout     = 600_000.0
	defaultReportInterval  = 250.0
	minReportInterval      = 20.0
	maxReportInterval      = 60_000.0
	defaultReportMultiple  = 4 // default ratio of LoadReport.MaxInterval to LoadReport.MinInterval
	maxSlowReportInterval  = 600_000.0
	minVoters              = 3
	maxVoters              = 5 // the number of voters is minVoters or maxVoters; a number between them is invalid
)

// Leases configures the leases. With a lease, the voters of the lease registry assign a task to a
// single router, which does the task on behalf of all routers. Times are in milliseconds.
type Leases struct {
	Enabled         bool     `hcl:"enabled,optional"`
	Voters          []string `hcl:"electors,optional"` // names of the three or five routers that replicate the registry
	WALDir          string   `hcl:"folder,optional"`   // directory of a voter's write-ahead log
	Duration        float64  `hcl:"lease_ms,optional"`
	SafetyMargin    float64  `hcl:"margin_ms,optional"` // the holder gives up its lease this long before the lease expires, and the registry grants the lease again this long after
	MaxClockDrift   float64  `hcl:"drift,optional"`     // largest ratio by which the rates of two clocks may differ
	RetryInterval   float64  `hcl:"retry_ms,optional"`  // a request without a response is repeated at another voter after this time
	ElectionTimeout float64  `hcl:"election_ms,optional"`

	LoadReport    *LoadReport    `hcl:"prober,block"`
	RecoveryProbe *RecoveryProbe `hcl:"first_try,block"`
	Bans          *Bans          `hcl:"bans,block"`
}

// LoadReport configures load reports: the router that holds a lease polls the servers of its zone for
// their load, and reports it to the other routers. Times are in milliseconds.
type LoadReport struct {
	MinInterval float64 `hcl:"every_ms,optional"` // between polls of one server while its load changes
	MaxInterval float64 `hcl:"most_ms,optional"`  // between polls of one server while its load is steady
}

// RecoveryProbe configures recovery probes: the router of a zone that holds a lease probes ejected
// servers before the other routers of the zone use them.
type RecoveryProbe struct {
	ReturnRate float64 `hcl:"routers_per_s,optional"` // routers per second that resume sending to the server after the probe succeeded
}

// Bans configures the ban list in the lease registry, which records the servers that operators
// disabled. Times are in milliseconds.
type Bans struct {
	PollInterval float64 `hcl:"every_ms,optional"`      // between reads of the registry
	ReadyTimeout float64 `hcl:"ready_wait_ms,optional"` // time that a starting router waits for its first read of the registry
}

func defaultLeases() Leases {
	defaults := lease.DefaultSettings()
	return Leases{
		Duration:        defaults.TTL,
		SafetyMargin:    defaults.SafetyMargin,
		MaxClockDrift:   defaults.MaxClockDrift,
		RetryInterval:   defaults.RetryInterval,
		ElectionTimeout: defaultElectionTimeout,
	}
}

// ConsensusSettings returns the settings for the voters and the lease holders.
func (l *Leases) ConsensusSettings() consensus.Settings {
	settings := consensus.DefaultSettings()
	settings.ElectionTicks = max(minElectionTicks, int(l.ElectionTimeout/settings.TickInterval))
	settings.Lease.TTL = l.Duration
	settings.Lease.SafetyMargin = l.SafetyMargin
	settings.Lease.MaxClockDrift = l.MaxClockDrift
	settings.Lease.RetryInterval = l.RetryInterval
	return settings
}

// validate checks the block, and fills in the defaults of its nested blocks. It checks the nested
// blocks even if leases are disabled.
func (l *Leases) validate(fleetEnabled bool) error {
	if l.RecoveryProbe != nil {
		if err := l.RecoveryProbe.complete(); err != nil {
			return err
		}
	}
	if l.Bans != nil {
		if err := l.Bans.complete(); err != nil {
			return err
		}
	}
	if l.LoadReport != nil {
		if err := l.LoadReport.complete(); err != nil {
			return err
		}
	}
	switch {
	case !l.Enabled:
		return nil
	case !fleetEnabled:
		return fielderror.Errorf("enabled", "the duties block is enabled, but the fleet block that it needs is missing or not enabled")
	case len(l.Voters) != minVoters && len(l.Voters) != maxVoters:
		return fielderror.Errorf("electors", "expected %d or %d names, got %d", minVoters, maxVoters, len(l.Voters))
	case !inRange(l.ElectionTimeout, minElectionTimeout, maxElectionTimeout):
		return fielderror.Errorf("election_ms", "expected a time from %.0f to %.0f ms, got %v", minElectionTimeout, maxElectionTimeout, l.ElectionTimeout)
	}
	if err := l.validateVoters(); err != nil {
		return err
	}
	return l.ConsensusSettings().Lease.Validate()
}

func (l *Leases) validateVoters() error {
	seen := map[string]bool{}
	for _, name := range l.Voters {
		if name == "" || len(name) > maxNameLength || seen[name] {
			return fielderror.Errorf("electors", "expected unique names of 1 to %[2]d bytes, got %[1]q", name, maxNameLength)
		}
		seen[name] = true
	}
	return nil
}

// complete fills in the defaults of fields that are 0 and checks the result.
func (p *RecoveryProbe) complete() error {
	if p.ReturnRate == 0 {
		p.ReturnRate = recoveryprobe.DefaultSettings().ReturnRate
	}
	if !inRange(p.ReturnRate, 1, maxReturnRate) {
		return fielderror.Errorf("first_try", "%w", fielderror.Errorf("routers_per_s", "expected a rate from 1 to %.0f, got %v", maxReturnRate, p.ReturnRate))
	}
	return nil
}

// complete fills in the defaults of fields that are 0 and checks the result.
func (b *Bans) complete() error {
	if b.PollInterval == 0 {
		b.PollInterval = bans.DefaultSettings().PollInterval
	}
	if b.ReadyTimeout == 0 {
		b.ReadyTimeout = defaultBanReadyTimeout
	}
	pollOK := inRange(b.PollInterval, minBanPollInterval, maxBanPollInterval)
	readyOK := inRange(b.ReadyTimeout, minBanReadyTimeout, maxBanReadyTimeout)
	if !pollOK || !readyOK {
		return fielderror.Errorf("bans", "expected every_ms from %.0f to %.0f and ready_wait_ms from %.0f to %.0f, got every_ms = %v and ready_wait_ms = %v",
			minBanPollInterval, maxBanPollInterval, minBanReadyTimeout, maxBanReadyTimeout, b.PollInterval, b.ReadyTimeout)
	}
	return nil
}

// complete fills in the defaults of fields that are 0 and checks the result.
func (r *LoadReport) complete() error {
	if r.MinInterval == 0 {
		r.MinInterval = defaultReportInterval
	}
	if r.MaxInterval == 0 {
		r.MaxInterval = defaultReportMultiple * r.MinInterval
	}
	minOK := inRange(r.MinInterval, minReportInterval, maxReportInterval)
	maxOK := inRange(r.MaxInterval, r.MinInterval, maxSlowReportInterval)
	if !minOK || !maxOK {
		return fielderror.Errorf("prober", "expected every_ms from %.0f to %.0f and most_ms from every_ms to %.0f, got every_ms = %v and most_ms = %v",
			minReportInterval, maxReportInterval, maxSlowReportInterval, r.MinInterval, r.MaxInterval)
	}
	return nil
}
