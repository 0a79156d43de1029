package testcluster

import (
	"context"
	"fmt"
	"hash/fnv"
	"net"
	"net/netip"
	"os"
	"time"
)

// Ports of a router, each on an address of its own.
const (
	clientPort     = 8080
	adminPort      = 8081 // as configured; a process listens on one above firstAdminPort
	fleetPort      = 7946
	firstAdminPort = 9000 // plus the number of the process start
)

// A cluster claims its addresses by listening on the last of them.
const (
	claimPort        = 20017
	claimLastByte    = 255
	maxClaimAttempts = 200
)

// addressBlock is a block of 256 loopback addresses that one cluster claims, so that no two
// clusters on a machine have the same ones: their ports can then be nobody else's.
type addressBlock struct {
	base  netip.Addr
	claim net.Listener
}

// claimAddressBlock claims a block that no other cluster has.
func claimAddressBlock() (*addressBlock, error) {
	var lastErr error
	for attempt := range maxClaimAttempts {
		block := &addressBlock{base: randomBlock(attempt)}
		if lastErr = block.listen(); lastErr == nil {
			return block, nil
		}
	}
	return nil, fmt.Errorf("no block of loopback addresses is free: %w", lastErr)
}

func (b *addressBlock) listen() (err error) {
	var config net.ListenConfig
	b.claim, err = config.Listen(context.Background(), "tcp", netip.AddrPortFrom(b.address(claimLastByte), claimPort).String())
	return err
}

// randomBlock returns the first address of a block of 127.64.0.0/9.
func randomBlock(attempt int) netip.Addr {
	hash := fnv.New32a()
	_, _ = fmt.Fprint(hash, os.Getpid(), time.Now().UnixNano(), attempt)
	sum := hash.Sum32()
	return netip.AddrFrom4([4]byte{127, byte(64 + sum%128), byte(sum >> 8), 0})
}

// address returns the address of the block with a last byte.
func (b *addressBlock) address(lastByte int) netip.Addr {
	bytes := b.base.As4()
	bytes[3] = byte(lastByte)
	return netip.AddrFrom4(bytes)
}

// release lets other clusters claim the block.
func (b *addressBlock) release() { _ = b.claim.Close() }
