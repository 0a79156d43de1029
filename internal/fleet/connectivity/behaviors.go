package connectivity

// Behavior says what a router does about one subject in each state.
type Behavior struct{ Subject, Together, Partial, Alone string }

// Behaviors returns all that depends on the fleet. The command prints the texts, and
// operators' pages quote them.
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
