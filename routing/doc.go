// Package routing decides, for an edge router in front of caches of large objects, which cache a
// request goes to, who fills a miss, how long to wait, when to retry and when to reject.
//
// A Router is a deterministic state machine without I/O, clock or goroutines: its caller feeds it
// events with the time and carries out the actions that it returns. It owns all that is learned of
// servers and objects. Only one goroutine may use a Router at a time; a Guard, which holds what
// must be checked again when an attempt is written, may be used by any.
//
// The decisions and all tuned values are in router.go, selection.go, retry.go, admission.go,
// outlier.go, slowstart.go, hotkeys.go, guard.go and constants.go, which deploy/balancer.toml
// names as policy. The other files hold types, records and arithmetic, and decide nothing.
package routing
