// Command case partitions a small fleet while operators on both sides decide about one cache, and
// checks that a router that said yes to a ban keeps to it after the partition has healed.
package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"time"

	"garnetline/internal/faultproxy"
	"garnetline/review/standin"
)

const (
	partition  = 6 * time.Second  // how long the partition lasts
	afterwards = 20 * time.Second // how long the case watches after it
	askEvery   = 50 * time.Millisecond
)

var errNo = errors.New("an operator's call was answered with no")

func main() { standin.Main(os.Args[1], banAcrossPartition) }

// fleet is a running fleet of three routers.
type fleet struct {
	run       *standin.Run
	proxy     *faultproxy.Proxy
	processes []*standin.Process
	cache     *standin.Server // the cache that operators disable
}

// status is the page of the admin API about the fleet.
type status struct {
	Connectivity string `json:"stance"`
}

func banAcrossPartition(run *standin.Run) error {
	deployment, err := run.NewDeployment("n0", "n1", "n2")
	if err != nil {
		return err
	}
	fleet := &fleet{run: run, proxy: faultproxy.New(1), cache: deployment.Caches[0]}
	run.OnClose(fleet.proxy.Close)
	if err := fleet.start(deployment); err != nil {
		return err
	}
	load := run.StartLoad(askEvery, func() standin.Request {
		return standin.Request{Class: "sheet", Object: 1 + rand.Uint64N(1000), Group: 1, Timeout: 2500 * time.Millisecond}
	}, deployment.Routers...)
	defer load.Stop()
	time.Sleep(time.Second)

	// The cache is taken out, and all routers hold the ban.
	if err := fleet.call(0, "disable"); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	if count := fleet.requestsIn(time.Second); count > 0 {
		return fmt.Errorf("the ban does not hold at all routers: %d requests within a second", count)
	}
	if run.Trouble {
		run.Logf("the network parts n0 from n1 and n2")
		fleet.proxy.Partition([]string{"n0"}, []string{"n1", "n2"})
		time.Sleep(2 * time.Second)
	}
	// On one side an operator calls it back; on the other side an operator takes it out.
	if err := fleet.call(1, "enable"); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	bannedAt := time.Now()
	if err := fleet.call(0, "disable"); err != nil {
		return err
	}
	if run.Trouble {
		time.Sleep(partition - 4*time.Second)
		run.Logf("the network heals")
		fleet.proxy.Heal()
	}
	fleet.check(load, bannedAt.Add(standin.DrainGrace+standin.Slack))
	return nil
}

// start starts the routers and waits until each knows the others.
func (f *fleet) start(deployment *standin.Deployment) error {
	var listen, advertise []string
	for _, router := range deployment.Routers {
		addr, err := standin.FreeAddr("udp")
		if err != nil {
			return err
		}
		relay, err := f.proxy.UDP(router.Name, netip.MustParseAddrPort(addr))
		if err != nil {
			return err
		}
		listen = append(listen, addr)
		advertise = append(advertise, relay.String())
	}
	if err := deployment.WriteSettings(f.run, listen, advertise, ""); err != nil {
		return err
	}
	for _, router := range deployment.Routers {
		process, err := router.StartReady(10 * time.Second)
		if err != nil {
			return err
		}
		f.processes = append(f.processes, process)
	}
	return f.run.Await("all routers are together", 30*time.Second, func() bool { return f.together() })
}

func (f *fleet) together() bool {
	for _, process := range f.processes {
		var page status
		if process.Page("/fleet", &page) != nil || page.Connectivity != "together" {
			return false
		}
	}
	return true
}

// call disables or enables the cache at a router.
func (f *fleet) call(router int, what string) error {
	code, body := f.processes[router].Call(http.MethodPost, "/caches/"+what+"/"+f.cache.Name())
	f.run.Logf("operator at %s: %s %s: %d %q", f.processes[router].Name, what, f.cache.Name(), code, body)
	if code != http.StatusOK {
		return errNo
	}
	return nil
}

// requestsIn returns how many requests the cache gets in the time that begins now.
func (f *fleet) requestsIn(period time.Duration) int {
	start := time.Now()
	time.Sleep(period)
	return f.cache.CountSince(start)
}

// check watches the cache until some time after the partition. The router n0 has said yes to the ban,
// and nobody has called the cache back since: from the time binding on, it must send it nothing.
func (f *fleet) check(load *standin.Load, binding time.Time) {
	for end := time.Now().Add(afterwards); time.Now().Before(end); {
		f.run.Logf("%s gets %d requests within a second", f.cache.Name(), f.requestsIn(time.Second))
	}
	byRouter := map[string]int{}
	for _, attempt := range f.cache.Sent() {
		if !attempt.At.After(binding) {
			continue
		}
		router := load.AskedOf(attempt.ID)
		byRouter[router]++
		if router == "n0" {
			f.run.Brokenf("n0 sent request %s to %s %d ms after the end of the grace of the ban that it said yes to",
				attempt.ID, attempt.Server, attempt.At.Sub(binding).Milliseconds())
		}
	}
	f.run.Logf("requests to %s after the end of the grace, by router: %v", f.cache.Name(), byRouter)
	for _, process := range f.processes {
		_, page := process.Call(http.MethodGet, "/fleet")
		f.run.Logf("%s: %s", process.Name, page)
	}
}
