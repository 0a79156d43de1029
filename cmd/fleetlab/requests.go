package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"garnetline/internal/faultproxy"
	"garnetline/internal/testcluster"
)

// requestsCommand measures what clients see, with the fleet on and off in turn.
func requestsCommand() *cli.Command {
	return &cli.Command{Name: "requests", Usage: "what clients of real routers see under faults, with the fleet on and off in turn", Flags: []cli.Flag{
		&cli.IntFlag{Name: "routers", Value: 8}, &cli.IntFlag{Name: "rounds", Value: 3},
		&cli.StringFlag{Name: "program", Usage: "the daemon; without it, garnetline beside this program"},
	}, Action: func(_ context.Context, c *cli.Command) error {
		program, err := programPath(c)
		if err != nil {
			return err
		}
		fmt.Println("| round | fleet | requests | without one whole answer | served | p50, ms | p99, ms | most attempts |")
		fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- |")
		for round := range c.Int("rounds") {
			for _, on := range []bool{false, true} {
				res, err := runRequests(program, c.Int("routers"), uint64(round+1), on)
				if err != nil {
					return err
				}
				fmt.Printf("| %d | %v | %d | %d | %d | %.1f | %.1f | %d |\n", round+1, on, res.Requests, len(res.Lost), res.Statuses[200],
					float64(res.P50.Microseconds())/1000, float64(res.P99.Microseconds())/1000, res.MaxAttempts)
				for _, l := range res.Lost {
					fmt.Fprintln(os.Stderr, l)
				}
			}
		}
		return nil
	}}
}

// faulty plays the same faults each time: one router killed and started again, one
// stopped for 3 s, a cut in halves, loss and garbling, a box that fails.
func runRequests(program string, n int, seed uint64, on bool) (testcluster.Result, error) {
	dir, err := os.MkdirTemp("", "fleetlab")
	if err != nil {
		return testcluster.Result{}, err
	}
	defer os.RemoveAll(dir)
	r, err := testcluster.Start(testcluster.Options{Program: program, Routers: n, Servers: 4, Fleet: on, Seed: seed, Dir: dir})
	if err != nil {
		return testcluster.Result{}, err
	}
	defer r.Close()
	if _, err := r.WaitUntil("all ready", 30*time.Second, func() (bool, string) {
		for _, x := range r.Routers {
			if code, _, err := x.CallAdmin("GET", "/ready"); code != 200 {
				return false, fmt.Sprint(x.Name, code, err)
			}
		}
		return true, ""
	}); err != nil {
		return testcluster.Result{}, err
	}
	time.Sleep(2 * time.Second)
	l := r.StartLoad(20*time.Millisecond, r.Routers...)
	pause := func() { time.Sleep(3 * time.Second) }
	pause()
	x, y := r.Routers[1], r.Routers[2]
	l.SetExcused(x, true)
	x.Kill()
	pause()
	if err := x.Start(); err != nil {
		return testcluster.Result{}, err
	}
	l.SetExcused(y, true)
	y.Pause()
	pause()
	y.Resume()
	l.SetExcused(x, false)
	time.Sleep(500 * time.Millisecond)
	l.SetExcused(y, false)
	for i, a := range r.Routers {
		for j, b := range r.Routers {
			if i%2 != j%2 {
				r.Proxy.Set(a.ProxyName(), b.ProxyName(), faultproxy.Fault{Partitioned: true})
			} else if i != j {
				r.Proxy.Set(a.ProxyName(), b.ProxyName(), faultproxy.Fault{Loss: 0.2, Corrupt: 0.05, Jitter: 20})
			}
		}
	}
	pause()
	r.Servers[1].SetFailing(true)
	pause()
	r.Servers[1].SetFailing(false)
	r.Proxy.Heal()
	pause()
	return l.Stop(), nil
}
