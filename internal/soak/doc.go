// Package soak runs processes of the router on loopback, under the smallest limits of a deployment,
// beside clients that misbehave. It checks what a router owes: one answer to each request, no request
// that is executed twice or sent on for a client that has left, and memory and descriptors within the
// limits of all its processes together.
//
// Only tests use the package. Each run is derived from a seed.
package soak
