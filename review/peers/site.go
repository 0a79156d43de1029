package peers

import "time"

// What the cases have in common.
const (
	branchCaches = 4
	sheetWork    = 40 * time.Millisecond  // mean sending time of a sheet: 37 to 99 ms
	videoWork    = 300 * time.Millisecond // mean sending time of a part: 310 to 490 ms
	solutionWork = 200 * time.Millisecond

	// lateAnswer is the time after a request's own time in which its answer only earns nothing.
	lateAnswer = 500 * time.Millisecond
)
