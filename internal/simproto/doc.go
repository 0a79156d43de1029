// Package simproto reads and writes the simulator's line protocol: batches of events for
// many router instances come in, and one reply of actions goes out for each batch. The
// package parses, formats and validates; it makes no routing decisions.
//
// Reader turns lines into a Batch of messages with the events of package routing, and the
// Append functions turn routing actions into the lines of a reply. ParseSettings is also used
// for the platform's configuration, which names the same settings by the same paths.
//
// A line is the name of a message and its values, separated by single spaces; "-" stands for
// a value that is absent. The wire's names of messages, fields and settings appear only in this
// package: protocol.go relates those of messages to the terms of package routing.
package simproto
