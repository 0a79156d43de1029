// Package simproto reads and writes the simulator's line protocol: the simulator sends batches
// of events for many router instances and receives one reply with actions for each batch. The
// package parses, formats and validates lines; it makes no routing decisions.
//
// Reader turns lines into a Batch of messages with the events of package routing, and the
// Append functions turn routing actions into the lines of a reply. ParseSettings also serves
// the platform's configuration, which uses the same paths for the same settings.
//
// A line consists of the name of a message and its values, separated by single spaces; "-" marks
// an absent value. The protocol's names of messages and fields appear only in this package;
// protocol.go maps the names of messages to the terms of package routing.
package simproto
