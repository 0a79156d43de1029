// Package testcluster starts several processes of the daemon with fake servers, a change log and
// clients on loopback. The routers reach each other, the servers and the change log through a fault
// proxy. The package stops, pauses, kills and restarts processes, waits for conditions, and records
// what the servers and the clients receive.
//
// The multi-process tests and the experiments of cmd/fleetlab use it.
package testcluster
