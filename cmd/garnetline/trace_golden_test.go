package main

import (
	"bytes"
	"context"
	"path/filepath"
	"testing"

	"garnetline/internal/golden"
	"garnetline/internal/trace"
	"garnetline/internal/trace/store"
)

// TestTraceCommandOutput compares the output of the trace commands with golden files. The commands
// read the example traces of the documentation. UPDATE_GOLDEN=1 rewrites the files in testdata.
func TestTraceCommandOutput(t *testing.T) {
	const folder = "../../docs/example-traces"
	index, err := store.Read(filepath.FromSlash(folder))
	if err != nil {
		t.Fatal(err)
	}
	var longest trace.ID // the trace with the most spans
	spans := 0
	if _, err := index.Query(store.Filter{}, func(piece *trace.Trace) bool {
		if len(piece.Spans) > spans {
			longest, spans = piece.ID, len(piece.Spans)
		}
		return true
	}); err != nil {
		t.Fatal(err)
	}
	for name, args := range map[string][]string{
		"list":        {"list", "--most", "100000"},
		"list-first":  {"list", "--most", "5"},
		"list-failed": {"list", "--outcome", "failed", "--outcome", "refused", "--tries", "2"},
		"show":        {"show", longest.String()},
		"blame":       {"blame", "--most", "4"},
		"export":      {"export", "--most", "3"},
		"export-html": {"export", "--as", "html", "--most", "3"},
	} {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			args := append([]string{"trace", args[0], "--folder", folder}, args[1:]...)
			if err := newTraceCommand(&out).Run(context.Background(), args); err != nil {
				t.Fatal(err)
			}
			golden.Compare(t, "trace-"+name+".golden", out.Bytes())
		})
	}
}
