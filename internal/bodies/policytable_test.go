package bodies

import (
	"strings"
	"testing"
)

// The table says what happens to the bodies of each class in each range of sizes.
func TestPolicyTable(t *testing.T) {
	idempotency := map[string]Idempotency{"solution": IdempotentWithKey, "note": NonIdempotent}
	want := []string{
		"class body of is kept in after an attempt that may have run after one that proved not to",
		"solution 1 to 40 bytes memory sent again within the key's window sent again",
		"solution 41 to 200 bytes files sent again within the key's window sent again",
		"solution 201 to 300 bytes nowhere failed failed, unless nothing of it had left",
		"solution more - refused, 413; given up if some of it had left",
		"upload 1 to 20 bytes memory sent again sent again",
		"upload 21 to 100 bytes files sent again sent again",
		"upload 101 to 400 bytes nowhere failed failed, unless nothing of it had left",
		"upload more - refused, 413; given up if some of it had left",
		"note 1 to 10 bytes memory failed sent again",
		"note more - refused, 413; given up if some of it had left",
	}
	var out strings.Builder
	if err := WritePolicyTable(&out, testClasses(), idempotency); err != nil {
		t.Fatal(err)
	}
	got := strings.Split(strings.TrimSuffix(out.String(), "\n"), "\n")
	if len(got) != len(want) {
		t.Fatalf("%d lines, want %d:\n%s", len(got), len(want), out.String())
	}
	for i, line := range got {
		if words := strings.Join(strings.Fields(line), " "); words != want[i] {
			t.Errorf("line %d is %q, want %q", i, words, want[i])
		}
	}
}
