package experiment

import (
	"slices"
	"testing"

	"garnetline/internal/fleet/consensus"
)

// After many transfers the leases are still held, transfers are fast, and the log on the disk
// does not grow with the number of commands.
func TestRegistryTransfersLeases(t *testing.T) {
	const (
		minHeld      = 3 // of 4: one may be in transfer at the end of the run
		minTransfers = 500
		maxMedian    = 20.0 // ms
		maxDiskBytes = 3 << 20
	)
	settings := consensus.DefaultSettings()
	settings.SnapshotEntries = 200
	settings.RetainedEntries = 50
	result, err := Registry{Seed: 1, Voters: 3, Routers: 6, Leases: 4, Settings: settings, TransferInterval: 20}.Run(20_000)
	if err != nil {
		t.Fatal(err)
	}
	if result.LeasesHeld < minHeld {
		t.Errorf("got %d of 4 leases held, want at least %d", result.LeasesHeld, minHeld)
	}
	if len(result.TransferTimes) < minTransfers {
		t.Errorf("got %d transfers, want at least %d", len(result.TransferTimes), minTransfers)
	}
	if median := Quantile(result.TransferTimes, 0.5); median > maxMedian {
		t.Errorf("got median transfer time %.1f ms, want at most %.1f ms", median, maxMedian)
	}
	if result.DiskBytes > maxDiskBytes {
		t.Errorf("got %d bytes on the disk, want at most %d", result.DiskBytes, maxDiskBytes)
	}
}

// Voters do not send separate messages for each request. With 30 times as many leases, the number of
// messages between voters per request is at most a third.
func TestRegistryMessagesPerRequest(t *testing.T) {
	few := messagesPerRequest(t, 5)
	many := messagesPerRequest(t, 150)
	if many > few/3 {
		t.Errorf("got %.2f messages per request with 150 leases, want at most a third of the %.2f with 5 leases", many, few)
	}
}

// messagesPerRequest returns the number of messages between voters per request of a router. It
// fails the test unless all leases are held at the end.
func messagesPerRequest(t *testing.T, leases int) float64 {
	t.Helper()
	result, err := Registry{Seed: 1, Voters: 3, Routers: 6, Leases: leases, Settings: consensus.DefaultSettings()}.Run(15_000)
	if err != nil || result.LeasesHeld != leases {
		t.Errorf("got %d of %d leases held and error %v, want all held and no error", result.LeasesHeld, leases, err)
	}
	return float64(result.Messages) / float64(result.Requests)
}

// Events run in the order of their times, and events with the same time in the order of their
// scheduling. Otherwise runs with the same seed would differ.
func TestEventQueueOrder(t *testing.T) {
	var queue eventQueue
	var got []string
	record := func(name string) func() { return func() { got = append(got, name) } }
	queue.after(5, record("third"))
	queue.after(2, record("first"))
	queue.after(5, record("fourth"))
	queue.after(2, func() {
		got = append(got, "second")
		queue.after(-1, record("at once"))
	})
	for !queue.empty() {
		queue.advance()()
	}
	want := []string{"first", "second", "at once", "third", "fourth"}
	if !slices.Equal(got, want) || queue.now != 5 {
		t.Errorf("got %v at %v ms, want %v at 5 ms", got, queue.now, want)
	}
}
