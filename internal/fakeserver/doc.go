// Package fakeserver provides fake servers on loopback sockets for tests and experiments: caches
// that answer as a test specifies, change logs, and caches that record traces. A router connects to
// them as it connects to real servers. The fake servers record the requests that they receive.
//
// The protocol code of the fake servers follows the specification of the platform. It shares no
// code with the daemon, and the daemon never imports this package.
package fakeserver
