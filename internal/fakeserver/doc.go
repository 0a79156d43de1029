// Package fakeserver has the servers that a router talks to, on loopback sockets, for tests and
// experiments: caches that answer as a test says, change logs, and caches that take part in
// traces. It records what they receive.
//
// The fake servers are written from the platform's protocol and share no code with the daemon,
// which never imports them.
package fakeserver
