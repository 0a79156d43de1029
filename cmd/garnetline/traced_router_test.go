package main

import (
	"fmt"
	"path/filepath"
	"testing"

	"garnetline/internal/daemontest"
	"garnetline/internal/trace"
	"garnetline/internal/trace/store"
)

// tracedRouter is a router with tracing enabled that runs in a separate process.
type tracedRouter struct {
	*daemontest.Process
	addr         string
	traceDir     string
	settingsPath string // path of the operators' file
}

// startTracedRouter starts a router with tracing enabled and waits until it is healthy.
// traceSettings are additional lines of its trace block.
func startTracedRouter(t *testing.T, config daemontest.Config, traceSettings string) *tracedRouter {
	t.Helper()
	dir := t.TempDir()
	router := &tracedRouter{
		addr:         daemontest.FreeAddr(t),
		traceDir:     filepath.Join(dir, "traces"),
		settingsPath: filepath.Join(dir, "garnetline.hcl"),
	}
	config.ListenAddr = router.addr
	config.Seed = fmt.Sprintf("%x", config.Name)
	configPath := filepath.Join(dir, "config.json")
	config.Write(t, configPath)
	daemontest.WriteFile(t, router.settingsPath,
		fmt.Sprintf("trace {\n enabled = true\n folder = %q\n secret = \"shared\"\n %s}\n", router.traceDir, traceSettings))
	router.Process = daemontest.StartProcess(t, daemontest.ProcessOptions{
		Args: []string{"serve", "--config", configPath, "--settings", router.settingsPath},
	})
	daemontest.WaitHealthy(t, router.addr)
	return router
}

// stop shuts the router down and returns all traces that it retained.
func (r *tracedRouter) stop(t *testing.T) []*trace.Trace {
	t.Helper()
	r.Stop(t)
	return r.retained(t)
}

// retained returns the traces that the router has written to disk.
func (r *tracedRouter) retained(t *testing.T) []*trace.Trace {
	t.Helper()
	return readTraces(t, r.traceDir)
}

// readTraces returns all traces in a directory.
func readTraces(t *testing.T, dir string) []*trace.Trace {
	t.Helper()
	index, err := store.Read(dir)
	if err != nil {
		t.Fatal(err)
	}
	var found []*trace.Trace
	if _, err := index.Query(store.Filter{}, func(next *trace.Trace) bool {
		found = append(found, next)
		return true
	}); err != nil {
		t.Fatal(err)
	}
	return found
}
