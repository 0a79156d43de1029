package connectivity

// Behavior describes how a router handles one subject in each connectivity state.
type Behavior struct{ Subject, Together, Partial, Alone string }

// Behaviors returns the behavior of every subject that depends on the fleet. The command line
// prints the texts and the operators' documentation quotes them.
func Behaviors() []Behavior {
	enable := func(s State) string {
		if s.AcceptsRemoteEnable() {
			return "taken"
		}
		return "held until together"
	}
	ready := func(s State) string {
		if s.Ready(true, true) {
			return "as without a fleet"
		}
		return "not ready once all boxes and the change log are lost too"
	}
	return []Behavior{
		{"parts of shared budgets", "one of those known lately", "the same: silence adds nothing", "the same: silence adds nothing"},
		{"a neighbour's ban of a box", "taken", "taken", "what was heard holds"},
		{"a neighbour's drain, log cut off", "taken", "taken", "what was heard holds"},
		{"a neighbour's purge", "taken", "taken", "what was heard holds"},
		{"a neighbour's enable of a box", enable(Together), enable(Partial), enable(Alone)},
		{"staff's enable at this door", "taken, told", "taken here, told", "taken here, told later"},
		{"readiness", ready(Together), ready(Partial), ready(Alone)},
		{"requests", "never wait", "never wait", "never wait"},
	}
}
