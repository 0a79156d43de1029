package experiment

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// LeaseSearch visits every state that two routers and one registry can reach. In each state:
//
//   - time may pass;
//   - a router may take a step of its state machine, decide to send a write, send a write that it
//     decided on earlier, crash, or transfer the lease;
//   - a message may arrive in any order, be lost or be duplicated;
//   - another leader may be elected.
//
// The routers' clocks run at three quarters and at four thirds of the rate of the leader's clock. The
// settings of a search allow for this drift.
type LeaseSearch struct {
	Without      Safeguard // the safeguard that is switched off in this search
	MaxInFlight  int       // maximum number of messages in flight at a time; further messages are dropped
	MaxFaults    int       // maximum number of messages that are lost or duplicated
	MaxCrashes   int       // maximum number of crashes of routers and changes of the leader, together
	MaxTransfers int
	MaxGrants    uint64 // maximum number of commands that the registry applies
	MaxStates    int    // maximum number of states that are visited; 0: no limit
}

// SearchResult is the result of a LeaseSearch.
type SearchResult struct {
	States    int      // states visited
	Moves     int      // moves tried, including moves to states that were visited before
	Depth     int      // moves from the start to the farthest state
	Complete  bool     // all reachable states were visited
	Violation string   // describes a state in which two routers could act at the same time; empty if no such state was found
	Schedule  []string // the moves that lead to the violation
}

// searchMove is the move that led to a state. The schedule of a violation is made of such moves.
type searchMove struct {
	previous    int // index of the previous move, or noMove
	description string
}

// noMove is the index of the move before the start.
const noMove = -1

// searchRun is the state of one search.
type searchRun struct {
	options   LeaseSearch
	visited   map[uint64]bool // by fingerprint
	moves     []searchMove    // the moves that led to the visited states
	nextLevel []*searchState  // the states one move further from the start
	outcome   SearchResult
}

func newSearchRun(options LeaseSearch) *searchRun {
	return &searchRun{options: options, visited: map[uint64]bool{}}
}

// Run searches breadth first. The first violation that it finds therefore has the fewest moves that
// are possible.
func (o LeaseSearch) Run() SearchResult {
	run := newSearchRun(o)
	start := newSearchState(&run.options)
	run.visited[start.fingerprint()] = true
	run.moves = append(run.moves, searchMove{previous: noMove, description: "start"})
	level := []*searchState{start}
	for len(level) > 0 && run.outcome.Violation == "" {
		level = run.searchLevel(level)
	}
	return run.result()
}

// searchLevel visits the successors of the states of one level. It returns the successors that had not
// been visited before.
func (r *searchRun) searchLevel(level []*searchState) []*searchState {
	r.nextLevel = nil
	for _, state := range level {
		r.expand(state)
	}
	if len(r.nextLevel) > 0 {
		r.outcome.Depth++
	}
	return r.nextLevel
}

// visit records a state and the move that led to the state. It checks the state for a violation. It
// ignores states that were visited before. After a violation was found or MaxStates was reached, it
// ignores all states.
func (r *searchRun) visit(state *searchState, move searchMove) {
	r.outcome.Moves++
	fingerprint := state.fingerprint()
	if r.visited[fingerprint] || r.outcome.Violation != "" || r.limitReached() {
		return
	}
	r.visited[fingerprint] = true
	r.moves = append(r.moves, move)
	state.moveIndex = len(r.moves) - 1
	r.outcome.Violation = state.violation()
	if r.outcome.Violation != "" {
		r.outcome.Schedule = r.scheduleTo(state.moveIndex)
	}
	r.nextLevel = append(r.nextLevel, state)
}

// limitReached reports whether MaxStates states were visited.
func (r *searchRun) limitReached() bool {
	return r.options.MaxStates > 0 && len(r.visited) >= r.options.MaxStates
}

// scheduleTo returns the descriptions of the moves from the start to the move with the given index.
func (r *searchRun) scheduleTo(moveIndex int) []string {
	var schedule []string
	for moveIndex > 0 {
		schedule = append(schedule, r.moves[moveIndex].description)
		moveIndex = r.moves[moveIndex].previous
	}
	slices.Reverse(schedule)
	return schedule
}

func (r *searchRun) result() SearchResult {
	r.outcome.States = len(r.visited)
	r.outcome.Complete = r.outcome.Violation == "" && !r.limitReached()
	return r.outcome
}

// Row formats a search and its result as a row of a Markdown table.
func (o LeaseSearch) Row(result SearchResult) string {
	found := "nothing"
	if result.Violation != "" {
		found = fmt.Sprintf("%s, in %d moves: %s", result.Violation, len(result.Schedule), joinSchedule(result.Schedule))
	}
	return fmt.Sprintf("| %s | %d, %d, %d, %d, %d | %d | %d | %d | %v | %s |",
		cmp.Or(string(o.Without), "none"), o.MaxInFlight, o.MaxFaults, o.MaxCrashes, o.MaxTransfers, o.MaxGrants,
		result.States, result.Moves, result.Depth, result.Complete, found)
}

// joinSchedule joins the moves of a schedule with commas. It writes consecutive equal moves once,
// followed by the number of times.
func joinSchedule(schedule []string) string {
	var parts []string
	for start := 0; start < len(schedule); {
		end := start
		for end < len(schedule) && schedule[end] == schedule[start] {
			end++
		}
		part := schedule[start]
		if end-start > 1 {
			part += fmt.Sprintf(" %d times", end-start)
		}
		parts = append(parts, part)
		start = end
	}
	return strings.Join(parts, ", ")
}
