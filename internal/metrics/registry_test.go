package metrics

import (
	"sync"
	"testing"
)

func TestSnapshot(t *testing.T) {
	registry := New()
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range 100 {
				registry.Add("b", 1)
				registry.Add("a", 2)
			}
		})
	}
	wg.Wait()
	if values := registry.Snapshot(); len(values) != 2 || values["a"] != 1600 || values["b"] != 800 {
		t.Errorf("got %v, want a 1600 and b 800", values)
	}
}
