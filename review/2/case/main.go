// Command case purges an object while the change log breaks off, and checks that no copy from before
// the purge answers requests that the router sends later than the rule allows.
package main

import (
	"fmt"
	"os"
	"time"

	"garnetline/review/standin"
)

const (
	toldAfterBreak = 2 * time.Second // what a broken change log would have told counts as told after this time
	outage         = 8 * time.Second
	dropsAfter     = standin.PurgeDone - 100*time.Millisecond // when the caches drop the old copies by themselves
	askEvery       = 100 * time.Millisecond
	purged         = 0x7f3a9c21e0b4d655 // the object
	purgedText     = "7f3a9c21e0b4d655"
)

func main() { standin.Main(os.Args[1], purgeDuringOutage) }

func purgeDuringOutage(run *standin.Run) error {
	deployment, err := run.NewDeployment("n0")
	if err != nil {
		return err
	}
	if _, err := deployment.Routers[0].StartReady(10 * time.Second); err != nil {
		return err
	}
	load := run.StartLoad(askEvery, func() standin.Request {
		return standin.Request{Class: "video-part", Object: purged, Group: 17, Timeout: 2500 * time.Millisecond}
	}, deployment.Routers[0])
	time.Sleep(3 * time.Second)

	purgedAt := time.Now().Truncate(time.Millisecond)
	told := purgedAt
	if run.Trouble {
		run.Logf("object %s is purged; the change log breaks off partway through the event", purgedText)
		deployment.ChangeLog.BreakWithin(purged, purgedAt)
		told = purgedAt.Add(toldAfterBreak)
	} else {
		run.Logf("object %s is purged; the change log tells it", purgedText)
		deployment.ChangeLog.PurgeObject(purged, purgedAt)
	}
	time.Sleep(time.Until(purgedAt.Add(dropsAfter)))
	run.Logf("the caches drop their copies from before the purge")
	for _, cache := range deployment.Caches {
		cache.Drop(purgedText, purgedAt)
	}
	time.Sleep(time.Until(purgedAt.Add(outage)))
	if run.Trouble {
		run.Logf("the change log is back")
		if err := deployment.ChangeLog.Resume(); err != nil {
			return err
		}
	}
	time.Sleep(2 * time.Second)
	asked, lost := load.Stop()
	run.Logf("requests: %v, without a whole answer: %v", asked, lost)
	return check(run, deployment, purgedAt, told.Add(standin.PurgeGrace+standin.Slack))
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
		return fmt.Errorf("no cache was asked for the object before the purge")
	}
	return nil
}
