// Package fakeserver provides the servers that a router talks to, on loopback sockets, for tests
// and experiments: caches that answer as a test specifies, change logs, and caches that record
// traces. The fake servers record what they receive.
//
// Their protocol code is written from the specification of the platform and shares no code with the
// daemon, which never imports this package.
package fakeserver
