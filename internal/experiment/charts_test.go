package experiment

import (
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestQuantile(t *testing.T) {
	tests := map[string]struct {
		sorted []float64
		q      float64
		want   float64
	}{
		"no values": {nil, 0.5, math.NaN()},
		"one value": {[]float64{7}, 0.99, 7},
		"lowest":    {[]float64{1, 2, 3, 4}, 0, 1},
		"median":    {[]float64{1, 2, 3, 4}, 0.5, 3},
		"highest":   {[]float64{1, 2, 3, 4}, 1, 4},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got := Quantile(test.sorted, test.q)
			if got != test.want && !(math.IsNaN(got) && math.IsNaN(test.want)) {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}

func TestCharts(t *testing.T) {
	directory := t.TempDir()
	results := []*MembershipResult{
		{Configuration: Configuration{Variant: "as built", Size: 3}, KnownToAll: []float64{1000}, BytesPerSecond: 100},
		{Configuration: Configuration{Variant: "as built", Size: 1000}, KnownToAll: []float64{2000}, BytesPerSecond: 200},
	}
	for _, variant := range Variants()[1:] {
		results = append(results, &MembershipResult{Configuration: Configuration{Variant: variant.Name, Size: 3}, KnownToAll: []float64{900}, BytesPerSecond: 90})
	}
	if err := MembershipCharts(directory, results); err != nil {
		t.Fatal(err)
	}
	gaps := map[string][]float64{"killed": {10, 20, 400}}
	if err := GapChart(filepath.Join(directory, "gaps.svg"), []string{"killed", "paused"}, gaps); err != nil {
		t.Fatal(err)
	}
	for file, texts := range map[string][]string{
		"known.svg": {"From a kill until all know, p99", "as built", "without Lifeguard", "all ping all", "1,000"},
		"bytes.svg": {"What a router sends without a fault", "bytes a second", "all ping all"},
		"gaps.svg":  {"Time in which nobody acted", "share of handovers", "killed"},
	} {
		content, err := os.ReadFile(filepath.Join(directory, file))
		if err != nil {
			t.Fatal(err)
		}
		for _, text := range texts {
			if !strings.Contains(string(content), text) {
				t.Errorf("%s does not contain %q", file, text)
			}
		}
	}
}
