package consensus

import "garnetline/internal/fleet/lease"

// Settings are the intervals and limits of consensus.
type Settings struct {
	TickInterval       float64 // of raft's logical clock, in ms
	ElectionTicks      int     // ticks without a leader before an election; raft randomizes it up to twice that
	HeartbeatTicks     int     // ticks between a leader's heartbeats
	RetainedEntries    int     // entries kept before a snapshot for followers that lag
	SnapshotEntries    int     // entries after which a snapshot is taken
	MaxPendingRequests int     // requests that wait at a leader; more are dropped
	Lease              lease.Settings
}

// DefaultSettings returns the settings that apply where the operators' file sets none.
func DefaultSettings() Settings {
	return Settings{
		TickInterval:       50,
		ElectionTicks:      12,
		HeartbeatTicks:     2,
		RetainedEntries:    500,
		SnapshotEntries:    2000,
		MaxPendingRequests: 4096,
		Lease:              lease.DefaultSettings(),
	}
}

// Limits of raft, in bytes but for the last.
const (
	maxMessageSize     = 16 << 10
	maxReadySize       = 1 << 20
	maxUncommittedSize = 1 << 20
	maxInflightAppends = 64
)

// preVoteEnabled has a node ask whether it would be elected before it starts a new term.
// Only tests switch it off, to show what it prevents.
var preVoteEnabled = true
