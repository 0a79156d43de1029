package connectivity

// Behavior describes how a router handles one subject, such as another router's ban of a server, in
// each connectivity state.
type Behavior struct{ Subject, Together, Partial, Alone string }

// Behaviors returns the behavior of every subject that depends on the fleet. The command line
// prints the texts and the operators' documentation quotes them.
func Behaviors() []Behavior {
	enable := func(s State) string {
		if s.AcceptsRemoteEnable() {
			return "accepted"
		}
		return "deferred until together"
	}
	ready := func(s State) string {
		if s.Ready(true, true) {
			return "as without a fleet"
		}
		return "not ready once all servers and the change log are lost too"
	}
	return []Behavior{
		{"quota of shared budgets", "1 / recently known routers", "same: silent peers do not raise it", "same: silent peers do not raise it"},
		{"a peer's ban of a server", "accepted", "accepted", "received ones stay in force"},
		{"a peer's drain, change log lost", "accepted", "accepted", "received ones stay in force"},
		{"a peer's purge", "accepted", "accepted", "received ones stay in force"},
		{"a peer's enable of a server", enable(Together), enable(Partial), enable(Alone)},
		{"operator's enable via this admin API", "accepted, broadcast", "accepted here, broadcast", "accepted here, broadcast later"},
		{"readiness", ready(Together), ready(Partial), ready(Alone)},
		{"requests", "never wait", "never wait", "never wait"},
	}
}
