package consensus

const (
	// maxPace bounds the factor by which a node slows raft's clock down. With the default settings, the
	// heartbeats of the slowest leader still come within the shortest election timeout of another node.
	maxPace = 4.0
	// failedElectionTimeouts is the number of election timeouts without a leader after which the clock becomes
	// slower. One election may fail by chance, because the votes are split.
	failedElectionTimeouts = 2
	// settledElectionTimeouts is the number of election timeouts with a leader after which the clock becomes
	// faster again.
	settledElectionTimeouts = 4
)

// electionPace slows raft's clock down while elections fail although other voters send messages. Raft counts
// its election timeout in ticks. If the round trip between voters takes longer, each election is repeated
// before the votes arrive, and no leader is ever elected.
//
// While no message arrives, the clock keeps its pace, so that a partition does not delay the election after it.
type electionPace struct {
	electionTicks   int
	factor          float64 // by which the interval between ticks is longer than Settings.TickInterval
	leaderlessTicks int     // ticks without a leader since the latest change of factor
	settledTicks    int     // ticks with a leader, without interruption
	heard           bool    // a voter's message has arrived since the latest change of factor
}

func newElectionPace(electionTicks int) electionPace {
	return electionPace{electionTicks: electionTicks, factor: 1}
}

// recordMessage records that a message of another voter has arrived.
func (p *electionPace) recordMessage() { p.heard = true }

// recordTick records a tick, and whether a leader is known that a majority follows.
func (p *electionPace) recordTick(hasLeader bool) {
	if hasLeader {
		p.recordSettledTick()
		return
	}
	p.settledTicks = 0
	p.leaderlessTicks++
	if p.leaderlessTicks < failedElectionTimeouts*p.electionTicks {
		return
	}
	if p.heard {
		p.change(min(2*p.factor, maxPace))
	} else {
		p.change(1)
	}
}

func (p *electionPace) recordSettledTick() {
	p.settledTicks++
	if p.settledTicks >= settledElectionTimeouts*p.electionTicks {
		p.change(max(1, p.factor/2))
	}
}

// change sets the factor, and begins to count anew.
func (p *electionPace) change(factor float64) {
	p.factor = factor
	p.leaderlessTicks, p.settledTicks, p.heard = 0, 0, false
}
