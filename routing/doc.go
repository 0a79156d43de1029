// Package routing decides, for an edge router in front of caches of large objects, which cache a
// request goes to, which server fills a miss, how long to wait, when to retry and when to reject.
//
// A Router is a deterministic state machine without I/O, clock or goroutines. Its caller passes it
// events with their times, and carries out the actions that the Router returns. A Router holds
// everything that it has learned about servers and objects. Only one goroutine may use a Router at a
// time. A Guard serves to check an attempt again when the attempt is written to its connection. Any
// goroutine may use a Guard.
//
// The decisions are in router.go (from events to actions), selection.go (choice of servers), retry.go
// (the step after a failed attempt), admission.go (queue and rejection), limiter.go (concurrency limits),
// outlier.go (faults and ejection), slowstart.go (load of servers that have just started), hotkeys.go
// (popular objects), guard.go (purges), transfertime.go (estimates of transfer times) and
// endpoints.go (the list of servers). All tuned values are in constants.go. The other files hold
// types, records and arithmetic, and decide nothing.
package routing
