package peers

import (
	"fmt"
	"time"
)

// Times of the case with a slow change log.
const (
	crowdedAnswer = 2 * time.Second // until a new watch is answered
	toldAtLatest  = 7 * time.Second // "counts as told 7 s later at the latest"
	drainGrace    = 1050 * time.Millisecond
	watchFor      = 12 * time.Second // from the end of the grace
	requestPause  = 40 * time.Millisecond
)

// playSlowChangeLog drains a cache while the change log answers each new watch 2 s late.
func playSlowChangeLog(scene *stage) ([]string, error) {
	answerAfter := time.Duration(0)
	if scene.trouble {
		answerAfter = crowdedAnswer
	}
	around, err := scene.newSite(branchCaches, sheetWork, answerAfter)
	if err != nil {
		return nil, err
	}
	process, err := scene.startRouter("n0", around)
	if err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		scene.requestSheets(process.listen, stop)
	}()
	time.Sleep(5 * time.Second)
	drained := around.caches[0]
	around.changeLog.setState(drained, stateDrains)
	drainedAt := time.Now()
	bindsAt := drainedAt.Add(toldAtLatest + drainGrace)
	time.Sleep(time.Until(bindsAt) + watchFor)
	close(stop)
	<-done
	return scene.sentAfter(around, drained, bindsAt), nil
}

// requestSheets sends requests one after another, until stop is closed.
func (s *stage) requestSheets(address string, stop <-chan struct{}) {
	var conn *client
	for {
		select {
		case <-stop:
			return
		case <-time.After(requestPause):
		}
		var err error
		if conn == nil {
			if conn, err = dialClient(address); err != nil {
				conn = nil
				continue
			}
		}
		next := request{id: s.newID(), class: "sheet", object: s.newID(), patience: 2500 * time.Millisecond}
		var got answer
		if err = conn.send(next.text()); err == nil {
			got, err = conn.receive(time.Now().Add(next.patience + lateAnswer))
		}
		s.log.printf("client: %s answered with %d, error %v", next.id, got.status, err)
		if err != nil || got.closes {
			conn.close()
			conn = nil
		}
	}
}

// sentAfter returns the requests that a drained cache got after a time, as a request or, named by others, as
// a source.
func (s *stage) sentAfter(around *site, drained *cache, bindsAt time.Time) []string {
	count := 0
	var first, last served
	for _, server := range around.servers() {
		for _, seen := range server.received() {
			named := server == drained || seen.fields["via"] == drained.name()
			if !named || seen.at.Before(bindsAt) {
				continue
			}
			if count == 0 || seen.at.Before(first.at) {
				first = seen
			}
			if count == 0 || seen.at.After(last.at) {
				last = seen
			}
			count++
		}
	}
	if count == 0 {
		return nil
	}
	return []string{fmt.Sprintf("drained cache %s got %d new requests, the first %v and the last %v after the drain bound the router",
		drained.name(), count, first.at.Sub(bindsAt).Round(time.Millisecond), last.at.Sub(bindsAt).Round(time.Millisecond))}
}
