package experiment

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// LeaseSearch visits every state that two routers and one registry can reach. At any moment
// time may pass or not, a router may be stepped or not, a message may arrive, wait behind
// others, be lost or be duplicated, a router may decide a write and write it later, crash, or
// transfer the lease, and another leader may be elected. The routers' clocks run at three
// quarters and at four thirds of the leader's rate, which the settings allow for.
type LeaseSearch struct {
	Without      Safeguard // switched off in this search
	MaxInFlight  int       // messages on their way at one time; more are lost
	MaxFaults    int       // messages that are lost or duplicated
	MaxCrashes   int       // of routers, and changes of the leader
	MaxTransfers int
	MaxGrants    uint64 // commands that the registry applies
	MaxStates    int    // visited at most; 0: all there are
}

// SearchResult is what a search saw.
type SearchResult struct {
	States    int      // visited
	Moves     int      // from one state to another, known before or not
	Depth     int      // moves from the start to the state that is furthest from it
	Complete  bool     // all states that can be reached were visited
	Violation string   // two routers that could act at once; empty: none was found
	Schedule  []string // the moves that lead to the violation
}

// searchMove is a move that led to a state, for the schedule of a violation.
type searchMove struct {
	previous    int // index of the move before; noMove: none
	description string
}

// noMove is the index before that of the first move, which is the start itself.
const noMove = -1

// searchRun is the state of one search.
type searchRun struct {
	options   LeaseSearch
	visited   map[uint64]bool // by fingerprint
	moves     []searchMove    // that led to the states visited
	nextLevel []*searchState  // the states one move further from the start
	outcome   SearchResult
}

func newSearchRun(options LeaseSearch) *searchRun {
	return &searchRun{options: options, visited: map[uint64]bool{}}
}

// Run searches breadth first, so that a violation is found in the fewest moves.
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

// searchLevel visits the states that follow those of one level, and returns the new ones.
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

// visit notes a state that follows from another by a move, unless it is known or the search
// is over.
func (r *searchRun) visit(state *searchState, move searchMove) {
	r.outcome.Moves++
	fingerprint := state.fingerprint()
	if r.visited[fingerprint] || r.outcome.Violation != "" || r.full() {
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

// full tells whether as many states were visited as may be.
func (r *searchRun) full() bool {
	return r.options.MaxStates > 0 && len(r.visited) >= r.options.MaxStates
}

// scheduleTo returns the descriptions of the moves from the start up to one.
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
	r.outcome.Complete = r.outcome.Violation == "" && !r.full()
	return r.outcome
}

// Row returns a search as a row of a Markdown table.
func (o LeaseSearch) Row(result SearchResult) string {
	found := "nothing"
	if result.Violation != "" {
		found = fmt.Sprintf("%s, in %d moves: %s", result.Violation, len(result.Schedule), joinSchedule(result.Schedule))
	}
	return fmt.Sprintf("| %s | %d, %d, %d, %d, %d | %d | %d | %d | %v | %s |",
		cmp.Or(string(o.Without), "none"), o.MaxInFlight, o.MaxFaults, o.MaxCrashes, o.MaxTransfers, o.MaxGrants,
		result.States, result.Moves, result.Depth, result.Complete, found)
}

// joinSchedule joins the moves of a schedule, and counts one that is repeated.
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
