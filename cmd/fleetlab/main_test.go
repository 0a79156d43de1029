package main

import (
	"strings"
	"testing"
)

func TestUnknownHandoverKindIsRejected(t *testing.T) {
	if _, err := findHandoverKinds([]string{"killed", "burnt"}); err == nil || !strings.Contains(err.Error(), `"burnt"`) {
		t.Errorf("error %v, want one that names the kind", err)
	}
	kinds, err := findHandoverKinds(handoverKindNames())
	if err != nil || len(kinds) != len(handoverKinds) {
		t.Errorf("%d kinds, error %v, want all %d", len(kinds), err, len(handoverKinds))
	}
}
