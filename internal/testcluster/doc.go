// Package testcluster starts several processes of the daemon with fake servers, a change log and
// clients on loopback. What they send each other passes through a fault proxy. The package
// stops, pauses, kills and restarts processes, waits for stated conditions, and records what
// everyone received.
//
// It is used by the process tests and by the experiments of cmd/fleetlab.
package testcluster
