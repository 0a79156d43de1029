package metrics

import (
	"sync"
	"testing"
)

func TestSnapshot(t *testing.T) {
	s := New()
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range 100 {
				s.Add("b", 1)
				s.Add("a", 2)
			}
		})
	}
	wg.Wait()
	if all := s.Snapshot(); len(all) != 2 || all["a"] != 1600 || all["b"] != 800 {
		t.Errorf("%v", all)
	}
}
