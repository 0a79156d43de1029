// Command case upgrades a router while the change log stalls, and checks that no copy from before a
// purge that the old process was told of answers requests that the rule binds.
package main

import (
	"errors"
	"math/rand/v2"
	"os"
	"syscall"
	"time"

	"garnetline/review/standin"
)

const (
	readyLimit   = 6 * time.Second                          // the new process says yes within this time
	bindsAfter   = 2 * time.Second                          // news of the change log binds from so long after the yes
	dropsAfter   = standin.PurgeDone - 100*time.Millisecond // when the caches drop the old copies by themselves
	killDelay    = standin.LongestDeadline + 700*time.Millisecond
	toldAfter    = 100 * time.Millisecond // from the start of the new process to the purge, and from that to the break
	requestEvery = 20 * time.Millisecond
	group        = 17
	objects      = 200 // of the group
)

var errNoCopy = errors.New("no cache was asked before the purge")

func main() { standin.Main(os.Args[1], purgeDuringUpgrade) }

func purgeDuringUpgrade(run *standin.Run) error {
	deployment, err := run.NewDeployment("n0")
	if err != nil {
		return err
	}
	router := deployment.Routers[0]
	old, err := router.StartReady(10 * time.Second)
	if err != nil {
		return err
	}
	load := run.StartLoad(requestEvery, func() standin.Request {
		return standin.Request{Class: "video-part", Object: 1 + rand.Uint64N(objects), Group: group, Timeout: 2500 * time.Millisecond}
	}, router)
	time.Sleep(6 * time.Second)

	if run.Trouble {
		run.Logf("the change log stalls for new connections")
		deployment.ChangeLog.SetStalled(true)
	}
	next, err := router.Start()
	if err != nil {
		return err
	}
	time.Sleep(toldAfter)
	purgedAt := time.Now().Truncate(time.Millisecond)
	run.Logf("group %d is purged; the change log tells it", group)
	deployment.ChangeLog.PurgeGroup(group, purgedAt)
	time.Sleep(toldAfter)
	if run.Trouble {
		run.Logf("the change log breaks off its connections")
		deployment.ChangeLog.BreakConns()
	}
	if err := run.Await("the new process says yes", readyLimit, next.Ready); err != nil {
		return err
	}
	readyAt := time.Now()
	run.Logf("%s: SIGTERM", old.Name)
	old.Signal(syscall.SIGTERM)
	go func() {
		select {
		case <-old.Exited():
			run.Logf("%s: ended", old.Name)
		case <-time.After(killDelay):
			run.Logf("%s: SIGKILL", old.Name)
			old.Signal(syscall.SIGKILL)
		}
	}()
	time.Sleep(time.Until(purgedAt.Add(dropsAfter)))
	run.Logf("the caches drop their copies from before the purge")
	for _, cache := range deployment.Caches {
		cache.Drop(purgedAt)
	}
	time.Sleep(time.Second)
	run.Logf("the change log is well again")
	deployment.ChangeLog.SetStalled(false)
	time.Sleep(3 * time.Second)
	asked, lost := load.Stop()
	run.Logf("requests: %v, without a whole answer: %v", asked, lost)
	return check(run, deployment, purgedAt, readyAt.Add(bindsAfter+standin.PurgeGrace+standin.Slack))
}

// check compares the copies that answered with the purge. Attempts that were sent after the time
// binding must not be answered from a copy from before the purge.
func check(run *standin.Run, deployment *standin.Deployment, purgedAt, binding time.Time) error {
	before, late := 0, 0
	for _, cache := range deployment.Caches {
		for _, attempt := range cache.Sent() {
			old := attempt.Minted.Before(purgedAt)
			run.Logf("%s got %s at %+d ms of the purge, fields %s; answered from a copy minted at %+d ms", attempt.Server, attempt.ID,
				attempt.At.Sub(purgedAt).Milliseconds(), attempt.Fields, attempt.Minted.Sub(purgedAt).Milliseconds())
			switch {
			case attempt.At.Before(purgedAt):
				before++
			case old && attempt.At.After(binding):
				late++
				run.Brokenf("request %s, sent %d ms after the purge and %d ms after the rule began to bind, was answered from a copy minted %d ms before the purge",
					attempt.ID, attempt.At.Sub(purgedAt).Milliseconds(), attempt.At.Sub(binding).Milliseconds(), purgedAt.Sub(attempt.Minted).Milliseconds())
			}
		}
	}
	run.Logf("attempts before the purge: %d; answered from an old copy when the rule bound: %d", before, late)
	if before == 0 {
		return errNoCopy
	}
	return nil
}
