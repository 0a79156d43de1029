package main

import (
	"testing"

	"garnetline/internal/frontend/dnsfront"
	"garnetline/internal/platformconfig"
)

// TestMemoryLimitsOfAllProcessesFit checks that what all processes may use, with the pages of the
// program's file, stays within the configured memory, also while a successor starts.
func TestMemoryLimitsOfAllProcessesFit(t *testing.T) {
	for _, memoryMB := range []int{96, 192, 2048} {
		for processes := 1; processes <= 2; processes++ {
			for _, replaceable := range []bool{false, true} {
				limits := newMemoryLimits(platformconfig.Limits{MemoryMB: memoryMB},
					memoryShare{processes: processes, replaceable: replaceable, reservedBytes: reservedBytes(dnsfront.DefaultConfig())})
				total := int64(processes) * (limits.runtimeBytes + programBytes)
				if replaceable && processes == 1 {
					total += programBytes // of the successor
				}
				if total > int64(memoryMB)<<20 {
					t.Errorf("%d MB, %d processes, replaceable %v: they may use %d MB", memoryMB, processes, replaceable, total>>20)
				}
				if limits.clientBytes <= 0 || limits.clientBytes > limits.runtimeBytes*2/3 {
					t.Errorf("%d MB, %d processes: got %d of %d bytes for clients", memoryMB, processes, limits.clientBytes, limits.runtimeBytes)
				}
			}
		}
	}
	if limits := newMemoryLimits(platformconfig.Limits{}, memoryShare{processes: 1}); limits != (memoryLimits{}) {
		t.Errorf("got %+v without a limit on memory, want none", limits)
	}
	enabled := dnsfront.DefaultConfig()
	enabled.Enabled = true
	if got := reservedBytes(enabled); got <= adminBytes {
		t.Errorf("got %d bytes set aside with the DNS front, want more than %d", got, adminBytes)
	}
}
