// Package testcluster starts several processes of the daemon on loopback, together with fake
// servers, a change log and clients. The routers reach each other, the servers and the change log
// through a fault proxy. The package stops, pauses, kills and restarts router processes, waits for
// conditions, and records the requests that the servers receive and the answers that the clients
// receive.
//
// The multi-process tests and the experiments of cmd/fleetlab use it.
package testcluster
