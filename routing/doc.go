// Package routing decides, for an edge router in front of caches of large objects, which cache a
// request goes to, who fills a miss, how long to wait, when to retry and when to reject.
//
// A Router is a deterministic state machine without I/O, clock or goroutines: its caller feeds it
// events with the time and carries out the actions that it returns. It owns all that is learned of
// servers and objects. Only one goroutine may use a Router at a time; a Guard, which holds what
// must be checked again when an attempt is written, may be used by any.
//
// The decisions are in router.go (events to actions), selection.go (which server), retry.go (what
// follows a failure), admission.go (queue and rejection), limiter.go (concurrency limits),
// outlier.go (faults and ejection), slowstart.go, hotkeys.go, guard.go (purges), transfertime.go
// (estimates of sizes) and endpoints.go (the list of servers); all tuned values are in
// constants.go. The other files hold types, records and arithmetic, and decide nothing.
package routing
