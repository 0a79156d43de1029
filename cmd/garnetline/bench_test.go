package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"garnetline/internal/fakeserver"
)

// BenchmarkDaemon measures CPU a request of the whole daemon, in a process of its own,
// with tracing off, with some of the ordinary requests kept and with all of them. Where
// GARNETLINE_EARLIER names a program built from an earlier version, it is measured in
// the same run, in turn with the others.
func BenchmarkDaemon(b *testing.B) {
	body := strings.Repeat("x", 2048)
	box := newCache(b, func(id, _ string) string { return fakeserver.Answer(id, "DONE", "tag=t1,minted=1", body) }).Addr()
	log, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer log.Close()
	hosts := strings.Join([]string{host(1, "box", box), host(2, "box", box), host(9, "origin", box)}, ",")
	trace := func(per string) string {
		return "trace {\n enabled = true\n folder = %q\n ordinary_per_s = " + per + "\n undecided_kb = 65536\n honour_sampled = false\n}\n"
	}
	for _, m := range []struct{ name, program, settings string }{
		{"earlier", os.Getenv("GARNETLINE_EARLIER"), ""}, {"off", os.Args[0], ""},
		{"1%", os.Args[0], trace("80")}, {"100%", os.Args[0], trace("100000")},
		{"100%,collector gone", os.Args[0], trace("100000") + "#"},
	} {
		if m.program == "" {
			continue
		}
		b.Run(m.name, func(b *testing.B) {
			dir := b.TempDir()
			listen := free(b)
			conf := filepath.Join(dir, "config.json")
			text := fmt.Sprintf(`{"name":"n","listen":%q,"seed":"1","limits":{},"changelog":%q,"known":{"seq":1,"results":[{"seq":1,"fleet":{"seq":0,"whole":true,"hosts":[%s]}}]},"settings":%s}`,
				listen, log.Addr(), hosts, platform)
			if err := os.WriteFile(conf, []byte(text), 0o600); err != nil {
				b.Fatal(err)
			}
			args := []string{"serve", "--config", conf}
			if m.settings != "" {
				ops := filepath.Join(dir, "ops.hcl")
				text := fmt.Sprintf(m.settings, filepath.Join(dir, "traces"))
				if strings.HasSuffix(text, "#") {
					text = strings.Replace(text, "\n}", fmt.Sprintf("\n collector {\n url = \"http://%s\"\n }\n}", free(b)), 1)
				}
				if err := os.WriteFile(ops, []byte(text), 0o600); err != nil {
					b.Fatal(err)
				}
				args = append(args, "--settings", ops)
			}
			daemon := exec.Command(m.program, args...)
			daemon.Env = append(os.Environ(), "GARNETLINE_TEST_PROGRAM=1", "GOMAXPROCS=1")
			daemon.Stderr = io.Discard
			if err := daemon.Start(); err != nil {
				b.Fatal(err)
			}
			for i := 0; ; i++ {
				if w, err := http.Get("http://" + listen + "/healthz"); err == nil {
					w.Body.Close()
					if w.StatusCode == http.StatusOK {
						break
					}
				}
				if i > 5000 {
					b.Fatal("never ready")
				}
				time.Sleep(time.Millisecond)
			}
			b.ResetTimer()
			began := time.Now()
			var wg sync.WaitGroup
			for c := range 4 {
				wg.Go(func() { benchClient(b, listen, c, b.N/4+1) })
			}
			wg.Wait()
			rate := float64(b.N) / time.Since(began).Seconds()
			b.StopTimer()
			// The most that it held, from the kernel's own count: what wait reports begins
			// with the memory of the process that started it.
			status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", daemon.Process.Pid))
			held := 0.0
			if _, after, ok := strings.Cut(string(status), "VmHWM:"); ok {
				fmt.Sscan(after, &held)
			}
			daemon.Process.Signal(syscall.SIGTERM)
			daemon.Wait()
			cpu := daemon.ProcessState.UserTime() + daemon.ProcessState.SystemTime()
			b.ReportMetric(float64(cpu.Microseconds())/float64(b.N), "cpu-us/req")
			b.ReportMetric(rate, "req/s")
			b.ReportMetric(held/1024, "rss-MB")
		})
	}
}

func benchClient(b *testing.B, listen string, c, n int) {
	conn, err := net.Dial("tcp", listen)
	if err != nil {
		b.Error(err)
		return
	}
	defer conn.Close()
	in := bufio.NewReader(conn)
	for i := range n {
		fmt.Fprintf(conn, "GET /v1/part/%016x?block=%d HTTP/1.1\r\nHost: x\r\nX-Txn: %08x%08x\r\nX-Ttl-Ms: 4000\r\n\r\n", 1+i%5000, i%7, c+1, i+1)
		w, err := http.ReadResponse(in, nil)
		if err != nil {
			b.Error(err)
			return
		}
		io.Copy(io.Discard, w.Body)
		if w.StatusCode != http.StatusOK {
			b.Errorf("status %d", w.StatusCode)
		}
	}
}
