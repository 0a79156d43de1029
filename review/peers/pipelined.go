package peers

import (
	"strings"
	"sync"
	"syscall"
	"time"
)

// playPipelinedRestart lets clients send some commands at once, and restarts the router as planned 50 ms
// after the last byte.
func playPipelinedRestart(scene *stage) ([]string, error) {
	const clients, perClient = 4, 6
	around, err := scene.newSite(branchCaches, videoWork, 0)
	if err != nil {
		return nil, err
	}
	process, err := scene.startRouter("n0", around)
	if err != nil {
		return nil, err
	}
	var written, finished sync.WaitGroup
	var guard sync.Mutex
	var outcomes []outcome
	for number := range clients {
		conn, err := dialClient(process.listen)
		if err != nil {
			return nil, err
		}
		defer conn.close()
		var requests []request
		object := scene.newID()
		for part := range perClient {
			requests = append(requests, request{id: scene.newID(), class: "video-part", object: object, part: part, patience: 6 * time.Second})
		}
		written.Add(1)
		finished.Go(func() {
			seen := scene.exchangePipelined(number, conn, requests, written.Done)
			guard.Lock()
			defer guard.Unlock()
			outcomes = append(outcomes, seen...)
		})
	}
	written.Wait()
	if scene.trouble {
		time.Sleep(50 * time.Millisecond)
		process.signal(syscall.SIGTERM)
		// SIGKILL comes no sooner than the longest deadline, counted as 3 s, and 0.7 s after SIGTERM.
		kill := time.AfterFunc(3700*time.Millisecond, func() { process.signal(syscall.SIGKILL) })
		defer kill.Stop()
	}
	finished.Wait()
	return lostOf(outcomes), nil
}

// playPipelinedWrites lets a client send some writes at once on one connection.
func playPipelinedWrites(scene *stage) ([]string, error) {
	const writes, bodyBytes = 4, 40_000
	around, err := scene.newSite(branchCaches, solutionWork, 0)
	if err != nil {
		return nil, err
	}
	process, err := scene.startRouter("n0", around)
	if err != nil {
		return nil, err
	}
	conn, err := dialClient(process.listen)
	if err != nil {
		return nil, err
	}
	defer conn.close()
	var requests []request
	for range writes {
		requests = append(requests, request{
			id: scene.newID(), class: "solution", object: scene.newID(), key: scene.newKey(),
			body: strings.Repeat("x", bodyBytes), patience: 3 * time.Second,
		})
	}
	if !scene.trouble {
		return lostOf(scene.exchangeInTurn(0, conn, requests)), nil
	}
	return lostOf(scene.exchangePipelined(0, conn, requests, func() {})), nil
}
