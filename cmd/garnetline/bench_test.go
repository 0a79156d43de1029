package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"garnetline/internal/daemontest"
	"garnetline/internal/fakeserver"
)

// benchmarkClients is the number of clients that send requests concurrently.
const benchmarkClients = 4

// benchmarkTrace returns a trace block of the operators' file with which a router retains
// ordinaryPerSecond ordinary traces a second. A trace is ordinary if the router has no other reason
// to retain it, such as a failure. The text extraSettings is appended to the block.
func benchmarkTrace(dir, ordinaryPerSecond, extraSettings string) string {
	return fmt.Sprintf("trace {\n enabled = true\n folder = %q\n ordinary_per_s = %s\n undecided_kb = 65536\n honour_sampled = false\n%s}\n",
		dir, ordinaryPerSecond, extraSettings)
}

// BenchmarkDaemon measures the CPU time per request of a daemon in a separate process: with tracing
// off, with a sample of the traces retained, and with all traces retained. If
// GARNETLINE_EARLIER names a program built from an earlier version, the benchmark measures that
// program too.
func BenchmarkDaemon(b *testing.B) {
	body := strings.Repeat("x", 2048)
	server := daemontest.NewServer(b, func(id, _ string) string { return fakeserver.Answer(id, "DONE", "tag=t1,minted=1", body) })
	changeLog := daemontest.Listen(b)
	defer daemontest.Close(b, changeLog)
	config := daemontest.Config{
		ChangeLog: changeLog.Addr(),
		Endpoints: []daemontest.Endpoint{
			{ID: 1, Kind: daemontest.Cache, Addr: server.Addr()},
			{ID: 2, Kind: daemontest.Cache, Addr: server.Addr()},
			{ID: 9, Kind: daemontest.Origin, Addr: server.Addr()},
		},
	}
	noTrace := func(string) string { return "" }
	for _, variant := range []struct {
		name, program string
		settings      func(traceDir string) string // content of the operators' file; "" means no file
	}{
		{"earlier", os.Getenv("GARNETLINE_EARLIER"), noTrace},
		{"off", os.Args[0], noTrace},
		{"1%", os.Args[0], func(dir string) string { return benchmarkTrace(dir, "80", "") }},
		{"100%", os.Args[0], func(dir string) string { return benchmarkTrace(dir, "100000", "") }},
		{"100%,collector gone", os.Args[0], func(dir string) string {
			return benchmarkTrace(dir, "100000", fmt.Sprintf(" collector {\n url = \"http://%s\"\n }\n", daemontest.FreeAddr(b)))
		}},
	} {
		if variant.program == "" {
			continue
		}
		b.Run(variant.name, func(b *testing.B) {
			dir := b.TempDir()
			settings := variant.settings(filepath.Join(dir, "traces"))
			benchmarkProcess(b, variant.program, dir, config, settings)
		})
	}
}

// benchmarkProcess measures one daemon process under the load of all clients.
func benchmarkProcess(b *testing.B, program, dir string, config daemontest.Config, settings string) {
	b.Helper()
	config.ListenAddr = daemontest.FreeAddr(b)
	configPath := filepath.Join(dir, "config.json")
	config.Write(b, configPath)
	args := []string{"serve", "--config", configPath}
	if settings != "" {
		settingsPath := filepath.Join(dir, "garnetline.hcl")
		daemontest.WriteFile(b, settingsPath, settings)
		args = append(args, "--settings", settingsPath)
	}
	process := daemontest.StartProcess(b, daemontest.ProcessOptions{Program: program, Args: args, Env: []string{"GOMAXPROCS=1"}, DropLog: true})
	daemontest.WaitHealthy(b, config.ListenAddr)

	b.ResetTimer()
	startedAt := time.Now()
	var clients sync.WaitGroup
	for client := range benchmarkClients {
		clients.Go(func() { benchmarkClient(b, config.ListenAddr, client, b.N/benchmarkClients+1) })
	}
	clients.Wait()
	rate := float64(b.N) / time.Since(startedAt).Seconds()
	b.StopTimer()

	peakMemory := peakMemoryKB(b, process.Pid())
	state := process.Stop(b)
	cpuTime := state.UserTime() + state.SystemTime()
	b.ReportMetric(float64(cpuTime.Microseconds())/float64(b.N), "cpu-us/req")
	b.ReportMetric(rate, "req/s")
	b.ReportMetric(peakMemory/1024, "rss-MB")
}

// peakMemoryKB returns the peak resident memory of a process, in KB, from /proc. It does not use
// the peak that the wait system call reports, because that value includes the memory of the parent
// process before exec.
func peakMemoryKB(b *testing.B, pid int) float64 {
	b.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		b.Logf("peak memory is not reported without /proc: %v", err)
		return 0
	}
	_, after, ok := strings.Cut(string(status), "VmHWM:")
	if !ok {
		return 0
	}
	var peak float64
	if _, err := fmt.Sscan(after, &peak); err != nil {
		b.Error(err)
	}
	return peak
}

// benchmarkClient sends requests on one connection, one after another.
func benchmarkClient(b *testing.B, addr string, number, requests int) {
	b.Helper()
	client, err := daemontest.DialContext(b.Context(), addr)
	if err != nil {
		b.Error(err)
		return
	}
	defer daemontest.Close(b, client)
	for i := range requests {
		target := fmt.Sprintf("/v1/part/%016x?block=%d", 1+i%5000, i%7)
		transaction := fmt.Sprintf("X-Txn: %08x%08x", number+1, i+1)
		response, err := client.Do(daemontest.Request("GET", target, transaction, "X-Ttl-Ms: 4000"))
		if err != nil {
			b.Error(err)
			return
		}
		if response.Status != http.StatusOK {
			b.Errorf("got status %d, want 200", response.Status)
		}
	}
}
