package stats

import (
	"strings"
	"sync"
	"testing"
)

func TestPrint(t *testing.T) {
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
	var out strings.Builder
	if s.Print(&out); out.String() != "a 1600\nb 800\n" {
		t.Errorf("printed %q", out.String())
	}
}
