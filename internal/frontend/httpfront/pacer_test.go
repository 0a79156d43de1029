package httpfront

import "testing"

// TestPacerLimitsFloodOnly checks that requests at a rate that clients reach are not delayed, and that a
// flood is delayed to maxRequestRate.
func TestPacerLimitsFloodOnly(t *testing.T) {
	var usual pacer
	for i := range 1000 {
		if delay := usual.take(startTime + float64(i)*2); delay != 0 {
			t.Fatalf("request %d at 500 a second: got a delay of %v ms, want none", i, delay)
		}
	}
	var flood pacer
	now := startTime
	const requests = 3000
	for range requests {
		now += flood.take(now)
	}
	if took, want := now-startTime, (requests-requestBurst)*1000/maxRequestRate; took < want-1 || took > want+1 {
		t.Errorf("a flood of %d requests took %v ms, want %v", requests, took, want)
	}
}
