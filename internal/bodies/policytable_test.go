package bodies

import (
	"strings"
	"testing"
)

// The table has one line for each range of body sizes of each class.
func TestPolicyTable(t *testing.T) {
	idempotency := map[string]Idempotency{"solution": IdempotentWithKey, "note": NonIdempotent}
	want := []string{
		"class body size retained in after an attempt that may have been executed after an attempt known not to have been executed",
		"solution 1 to 40 bytes memory retried within the key's window retried",
		"solution 41 to 200 bytes files retried within the key's window retried",
		"solution 201 to 300 bytes nowhere failed failed, unless none of it was sent",
		"solution more - rejected with status 413; aborted if part of it was sent",
		"upload 1 to 20 bytes memory retried retried",
		"upload 21 to 100 bytes files retried retried",
		"upload 101 to 400 bytes nowhere failed failed, unless none of it was sent",
		"upload more - rejected with status 413; aborted if part of it was sent",
		"note 1 to 10 bytes memory failed retried",
		"note more - rejected with status 413; aborted if part of it was sent",
	}
	var out strings.Builder
	if err := WritePolicyTable(&out, testClasses(), idempotency); err != nil {
		t.Fatal(err)
	}
	got := strings.Split(strings.TrimSuffix(out.String(), "\n"), "\n")
	if len(got) != len(want) {
		t.Fatalf("got %d lines, want %d:\n%s", len(got), len(want), out.String())
	}
	for i, line := range got {
		if words := strings.Join(strings.Fields(line), " "); words != want[i] {
			t.Errorf("line %d: got %q, want %q", i, words, want[i])
		}
	}
}
