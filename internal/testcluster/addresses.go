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

// Ports of a router. Each router has its own address, so all routers can use the same ports.
const (
	clientPort     = 8080
	adminPort      = 8081 // in the configuration file; EDGE_MGMT replaces it for each process
	fleetPort      = 7946
	firstAdminPort = 9000 // the admin API of a router's nth process listens on firstAdminPort + n
)

// A cluster claims a block of addresses by listening on claimPort of the block's last address.
const (
	claimPort        = 20017
	claimLastByte    = 255
	maxClaimAttempts = 200
)

// addressBlock is a block of 256 loopback addresses that one cluster claims. Clusters that run on
// the same machine at the same time have different blocks, so they never compete for a port.
type addressBlock struct {
	base  netip.Addr
	claim net.Listener
}

// claimAddressBlock claims a random block that no other cluster on the machine holds.
func claimAddressBlock() (*addressBlock, error) {
	var lastErr error
	for attempt := range maxClaimAttempts {
		block := &addressBlock{base: randomBlock(attempt)}
		if lastErr = block.listen(); lastErr == nil {
			return block, nil
		}
	}
	return nil, fmt.Errorf("found no free block of loopback addresses in %d attempts: %w", maxClaimAttempts, lastErr)
}

func (b *addressBlock) listen() (err error) {
	var config net.ListenConfig
	b.claim, err = config.Listen(context.Background(), "tcp", netip.AddrPortFrom(b.address(claimLastByte), claimPort).String())
	return err
}

// randomBlock returns the first address of a random block of 256 addresses between 127.64.0.0 and
// 127.191.255.255. A different attempt number gives a different random block.
func randomBlock(attempt int) netip.Addr {
	hash := fnv.New32a()
	_, _ = fmt.Fprint(hash, os.Getpid(), time.Now().UnixNano(), attempt)
	sum := hash.Sum32()
	return netip.AddrFrom4([4]byte{127, byte(64 + sum%128), byte(sum >> 8), 0})
}

// address returns the address in the block whose last byte is lastByte.
func (b *addressBlock) address(lastByte int) netip.Addr {
	bytes := b.base.As4()
	bytes[3] = byte(lastByte)
	return netip.AddrFrom4(bytes)
}

// release gives up the claim, so that other clusters can claim the block.
func (b *addressBlock) release() { _ = b.claim.Close() }
