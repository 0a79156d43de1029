package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"garnetline/internal/faultproxy"
	"garnetline/internal/testcluster"
)

// tour is what is done where no file says otherwise.
const tour = `# seconds, then what is done
0    routers 5
6    kill r03
11   start r03
16   split r00 r01 / r02 r03 r04
28   heal
34   stall r02
40   wake r02
44   stop r04
48   end
`

func fleetCommand() *cli.Command {
	return &cli.Command{Name: "fleet", Usage: "start routers and put faults between them; print the views as they change", ArgsUsage: "[FILE]",
		Description: "FILE has a line for each thing done: seconds, then routers N, kill R, start R, stop R, stall R, wake R,\n" +
			"cut A B, oneway A B, loss A B SHARE, split A.. / B.., heal, disable BOX at R, enable BOX at R, end.\nWithout one a short tour is given, which --print prints.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "program", Usage: "the daemon; without it, garnetline beside this program"},
			&cli.BoolFlag{Name: "print", Usage: "print the tour's file and end"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			if c.Bool("print") {
				fmt.Print(tour)
				return nil
			}
			text, name := tour, "the tour"
			if name = c.Args().First(); name != "" {
				b, err := os.ReadFile(name)
				if err != nil {
					return err
				}
				text = string(b)
			}
			steps, err := parseScenario(name, text)
			if err != nil {
				return err
			}
			program, err := programPath(c)
			if err != nil {
				return err
			}
			ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
			defer stop()
			return playScenario(ctx, program, steps)
		}}
}

// step is one line of a file.
type operation struct {
	at    time.Duration
	words []string
	line  string
}

// most is how many routers are started at once.
const maxRouters = 60

func parseScenario(name, text string) (steps []operation, err error) {
	in := bufio.NewScanner(strings.NewReader(text))
	for n := 1; in.Scan(); n++ {
		line, _, _ := strings.Cut(in.Text(), "#")
		w := strings.Fields(line)
		if len(w) == 0 {
			continue
		}
		bad := func(why string) ([]operation, error) { return nil, fmt.Errorf("%s:%d: %s", name, n, why) }
		at, err := strconv.ParseFloat(w[0], 64)
		if err != nil || !(at >= 0 && at <= 3600) || len(w) < 2 {
			return bad("want seconds up to 3600 and what is done then")
		}
		want := map[string]int{"routers": 1, "kill": 1, "start": 1, "stop": 1, "stall": 1, "wake": 1, "cut": 2, "oneway": 2, "loss": 3, "heal": 0,
			"disable": 3, "enable": 3, "end": 0, "split": -1}
		k, known := want[w[1]]
		switch {
		case !known:
			return bad(w[1] + ": no such thing can be done")
		case k >= 0 && len(w) != 2+k:
			return bad(fmt.Sprintf("%s: want %d words after it", w[1], k))
		case len(steps) == 0 && w[1] != "routers":
			return bad("routers: has to come first")
		case len(steps) > 0 && time.Duration(at*float64(time.Second)) < steps[len(steps)-1].at:
			return bad("comes before the line above")
		}
		steps = append(steps, operation{time.Duration(at * float64(time.Second)), w[1:], strings.TrimSpace(strings.TrimPrefix(strings.TrimSpace(line), w[0]))})
	}
	if len(steps) == 0 {
		return nil, fmt.Errorf("%s: there is nothing to do", name)
	}
	return steps, nil
}

// show carries the steps out.
func playScenario(ctx context.Context, program string, steps []operation) error {
	n, err := strconv.Atoi(steps[0].words[1])
	if err != nil || n < 1 || n > maxRouters {
		return fmt.Errorf("routers: want 1 to %d", maxRouters)
	}
	dir, err := os.MkdirTemp("", "fleetlab")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	r, err := testcluster.Start(testcluster.Options{Program: program, Routers: n, Servers: 3, Fleet: true, Seed: 1, Dir: dir})
	if err != nil {
		return err
	}
	defer r.Close()
	fmt.Printf("%d routers started; the door of the first is http://%s/fleet\n", n, r.Routers[0].AdminAddr)
	began, seen := time.Now(), map[string]string{}
	for next := 1; ; {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(100 * time.Millisecond):
		}
		printChangedViews(r, time.Since(began), seen)
		for ; next < len(steps) && steps[next].at <= time.Since(began); next++ {
			if steps[next].words[0] == "end" {
				return nil
			}
			fmt.Printf("%6.1f s  ==> %s\n", time.Since(began).Seconds(), steps[next].line)
			if err := applyOperation(r, steps[next].words); err != nil {
				return fmt.Errorf("%s: %w", steps[next].line, err)
			}
		}
		if next == len(steps) && time.Since(began) > steps[next-1].at+5*time.Second {
			return nil
		}
	}
}

// look prints what has changed in the views.
func printChangedViews(r *testcluster.Cluster, at time.Duration, seen map[string]string) {
	for _, x := range r.Routers {
		now := "is not running"
		if x.Running() {
			s, err := x.Status()
			if err != nil {
				now = "does not answer"
			} else {
				by := map[string][]string{}
				for _, m := range s.Members {
					by[m.State] = append(by[m.State], m.Name)
				}
				now = fmt.Sprintf("%-8s sees %d of %d", s.Connectivity, s.Present, s.Known)
				for _, k := range []string{"suspect", "failed", "left"} {
					if len(by[k]) > 0 {
						now += fmt.Sprintf(", %s: %s", k, strings.Join(by[k], " "))
					}
				}
				if len(s.Bans) > 0 {
					now += ", banned: " + strings.Join(s.Bans, " ")
				}
			}
		}
		if seen[x.ProxyName()] != now {
			seen[x.ProxyName()] = now
			fmt.Printf("%6.1f s  %s %s\n", at.Seconds(), x.Name, now)
		}
	}
}

// do carries one step out.
func applyOperation(r *testcluster.Cluster, w []string) error {
	var err error
	find := func(name string) *testcluster.Router {
		for _, x := range r.Routers {
			if x.Name == name {
				return x
			}
		}
		err = errors.Join(err, fmt.Errorf("%s: no such router", name))
		return r.Routers[0]
	}
	on := func(f func(*testcluster.Router) error) error {
		x := find(w[1])
		if err != nil {
			return err
		}
		return f(x)
	}
	switch w[0] {
	case "kill":
		return on(func(x *testcluster.Router) error { x.Kill(); return nil })
	case "start":
		return on((*testcluster.Router).Start)
	case "stop":
		return on((*testcluster.Router).Stop)
	case "stall":
		return on((*testcluster.Router).Pause)
	case "wake":
		return on((*testcluster.Router).Resume)
	case "heal":
		r.Proxy.Heal()
	case "cut", "oneway", "loss":
		f := faultproxy.Fault{Partitioned: true}
		if w[0] == "loss" {
			f = faultproxy.Fault{}
			if f.Loss, err = strconv.ParseFloat(w[3], 64); err != nil {
				return err
			}
		}
		a, b := find(w[1]), find(w[2])
		if err != nil {
			return err
		}
		r.Proxy.Set(a.ProxyName(), b.ProxyName(), f)
		if w[0] != "oneway" {
			r.Proxy.Set(b.ProxyName(), a.ProxyName(), f)
		}
	case "split":
		var sides [2][]string
		side := 0
		for _, name := range w[1:] {
			if name == "/" {
				side = 1
				continue
			}
			sides[side] = append(sides[side], find(name).ProxyName())
		}
		if err == nil {
			r.Proxy.Partition(sides[0], sides[1])
		}
	case "disable", "enable":
		x := find(w[3])
		if err != nil {
			return err
		}
		code, b, err := x.CallAdmin("POST", "/caches/"+w[0]+"/"+w[1])
		if err != nil || code != 200 {
			return fmt.Errorf("%d %s %v", code, b, err)
		}
	}
	return err
}
