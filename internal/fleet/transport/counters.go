package transport

import (
	"errors"

	"garnetline/internal/fleet/packetcrypto"
)

// Names of the transport's counters. Each membership event is counted as well: the name of its
// counter is eventCounterPrefix followed by the kind of the event.
const (
	counterPacketsSent      = "fleet_packets_out"
	counterBytesSent        = "fleet_bytes_out"
	counterSendErrors       = "fleet_send_errors"
	counterPacketTooLong    = "fleet_too_long"
	counterRateLimited      = "fleet_over_budget"
	counterPacketsReceived  = "fleet_packets_in"
	counterBytesReceived    = "fleet_bytes_in"
	counterReadErrors       = "fleet_read_errors"
	counterPacketsDropped   = "fleet_crowded_out"    // the queue of packets was full
	counterCommandsDropped  = "fleet_orders_dropped" // the queue of commands was full
	counterForeignPackets   = "fleet_strangers"
	counterVersionMismatch  = "fleet_other_versions"
	counterFleetMismatch    = "fleet_other_fleets"
	counterNoMatchingKey    = "fleet_unopened"
	counterMalformedPackets = "fleet_broken_packets"
	counterBindErrors       = "fleet_bind_errors"
	counterBansNotSaved     = "fleet_bans_unkept"

	eventCounterPrefix = "fleet_"
)

// rejectionCounter returns the name of the counter of packets that are rejected with err.
func rejectionCounter(err error) string {
	switch {
	case errors.Is(err, packetcrypto.ErrForeignPacket):
		return counterForeignPackets
	case errors.Is(err, packetcrypto.ErrVersionMismatch):
		return counterVersionMismatch
	case errors.Is(err, packetcrypto.ErrFleetMismatch):
		return counterFleetMismatch
	case errors.Is(err, packetcrypto.ErrNoMatchingKey):
		return counterNoMatchingKey
	}
	return counterMalformedPackets
}
