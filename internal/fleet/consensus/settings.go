package consensus

import "garnetline/internal/fleet/lease"

// Settings are the intervals and limits of a node.
type Settings struct {
	TickInterval       float64 // interval of raft's logical clock, in ms
	ElectionTicks      int     // ticks without a leader before an election; raft draws a number from ElectionTicks to 2*ElectionTicks-1
	HeartbeatTicks     int     // ticks between a leader's heartbeats
	RetainedEntries    int     // entries before a snapshot that stay in the log for followers that lag
	SnapshotEntries    int     // length of the log, in entries, at which a snapshot is taken
	MaxPendingRequests int     // requests that may wait at the leader; further requests are dropped
	Lease              lease.Settings
}

// DefaultSettings returns the settings that apply if the operators' file sets none.
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

// Limits that raft is configured with. All are in bytes, except for maxInflightAppends, which is
// a number of messages.
const (
	maxMessageSize     = 16 << 10
	maxReadySize       = 1 << 20
	maxUncommittedSize = 1 << 20
	maxInflightAppends = 64
)

// preVoteEnabled turns on raft's pre-vote: before a node starts a new term, it asks the other
// voters whether they would vote for it. Only tests turn pre-vote off, to show the disruption
// that it prevents.
var preVoteEnabled = true
