package trace

import (
	"strings"
	"testing"
)

const validTraceparent = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"

// TestParseTraceparentReadsEachVersion checks that ParseTraceparent accepts headers of version
// 00 and of a later version.
func TestParseTraceparentReadsEachVersion(t *testing.T) {
	for _, test := range []struct {
		name   string
		header string
	}{
		{"version 00", validTraceparent},
		{"later version with more fields", "cc" + validTraceparent[2:] + "-what-comes-later"},
	} {
		t.Run(test.name, func(t *testing.T) {
			got, ok := ParseTraceparent(test.header)
			if !ok || got.String() != validTraceparent || got.Span != 0xf067aa0ba902b7 || !got.Sampled {
				t.Errorf("ParseTraceparent(%q) = %v, %v, want %s", test.header, got, ok, validTraceparent)
			}
		})
	}
}

// TestParseTraceparentRejectsMalformed checks that ParseTraceparent reports false for invalid
// headers. The specification requires receivers to ignore them.
func TestParseTraceparentRejectsMalformed(t *testing.T) {
	const good = validTraceparent
	for _, test := range []struct {
		name   string
		header string
	}{
		{"empty", ""},
		{"too short", good[:54]},
		{"version 00 with more fields", good + "-x"},
		{"version ff", "ff" + good[2:]},
		{"upper case", strings.ToUpper(good)},
		{"no dash before more fields", "cc" + good[2:] + "x"},
		{"trace ID of zeros", "00-" + strings.Repeat("0", 32) + good[35:]},
		{"span ID of zeros", good[:36] + strings.Repeat("0", 16) + good[52:]},
		{"oversized", "cc" + good[2:] + "-" + strings.Repeat("x", 4096)},
		{"not hexadecimal", strings.Replace(good, "f", "g", 1)},
		{"underscore for a dash", strings.Replace(good, "-", "_", 1)},
		{"version with a prefix", "0x" + good[2:]},
		{"flags with a prefix", good[:53] + "0x"},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got, ok := ParseTraceparent(test.header); ok {
				t.Errorf("ParseTraceparent(%.80q) = %v, want false", test.header, got)
			}
		})
	}
}

// FuzzTraceparent parses a header, writes the result as a header and parses that header again.
// Both results must be equal.
func FuzzTraceparent(f *testing.F) {
	f.Add(validTraceparent)
	f.Add("cc-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-03-more")
	f.Fuzz(func(t *testing.T, header string) {
		parsed, ok := ParseTraceparent(header)
		if !ok {
			return
		}
		if parsed.Trace == (ID{}) || parsed.Span == 0 {
			t.Errorf("ParseTraceparent(%q) = %v, want nonzero IDs", header, parsed)
		}
		again, ok := ParseTraceparent(parsed.String())
		if !ok || again != parsed {
			t.Errorf("ParseTraceparent(%q) = %v, but parsing its String returned %v, %v", header, parsed, again, ok)
		}
	})
}
