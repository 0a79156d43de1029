package transport

import (
	"errors"
	"net"

	"garnetline/internal/fleet/membership"
	"garnetline/internal/fleet/packetcrypto"
)

// loadReportReserve is the share of the rate limits that load reports of servers leave to other
// packets. Load reports are dropped first, because the next report replaces a dropped report.
const loadReportReserve = 0.25

// sendPackets encrypts and sends packets. It drops and counts the packets that exceed the
// rate limits.
func (t *Transport) sendPackets(now float64, packets []membership.OutgoingPacket) {
	t.sendWithReserve(now, packets, 0)
}

// sendWithReserve sends packets like sendPackets, but leaves a share of the rate limits to packets
// of higher priority. The argument reserve is this share. Without a reserve, a router that polls 60
// servers for 80 routers has more load reports than the limits allow. These reports would delay
// lease renewals, messages between voters and responses to probes.
func (t *Transport) sendWithReserve(now float64, packets []membership.OutgoingPacket, reserve float64) {
	if !t.bound {
		return
	}
	keyring := t.keyring.Load()
	var buffer [membership.MaxPacketLen]byte
	for _, out := range packets {
		encoded := out.Packet.Append(buffer[:0])
		if len(encoded) > membership.MaxPacketLen {
			t.options.Metrics.Add(counterPacketTooLong, 1)
			continue
		}
		t.sendBuffer = keyring.Seal(t.sendBuffer[:0], encoded)
		if !t.limiter.allow(now, len(t.sendBuffer), reserve) {
			t.options.Metrics.Add(counterRateLimited, 1)
			continue
		}
		if _, err := t.conn.WriteToUDPAddrPort(t.sendBuffer, out.To); err != nil {
			t.options.Metrics.Add(counterSendErrors, 1)
			continue
		}
		t.options.Metrics.Add(counterPacketsSent, 1)
		t.options.Metrics.Add(counterBytesSent, int64(len(t.sendBuffer)))
	}
}

// readLoop reads, decrypts and decodes packets for Run, until the socket is closed.
func (t *Transport) readLoop() {
	sealed := make([]byte, membership.MaxPacketLen+packetcrypto.Overhead+1) // the additional byte reveals packets that are too long
	var buffer []byte
	for {
		n, _, err := t.conn.ReadFromUDPAddrPort(sealed)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			t.options.Metrics.Add(counterReadErrors, 1)
			continue
		}
		t.options.Metrics.Add(counterPacketsReceived, 1)
		t.options.Metrics.Add(counterBytesReceived, int64(n))
		buffer, err = t.keyring.Load().Open(buffer[:0], sealed[:n])
		if err != nil {
			t.options.Metrics.Add(rejectionCounter(err), 1)
			continue
		}
		p, err := membership.Decode(buffer)
		if err != nil {
			t.options.Metrics.Add(rejectionCounter(err), 1)
			continue
		}
		select {
		case t.packets <- p:
		default:
			t.options.Metrics.Add(counterPacketsDropped, 1)
		}
	}
}
