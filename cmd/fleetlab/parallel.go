package main

import (
	"runtime"
	"sync"
)

// forEachParallel calls the function run once with each index from 0 to count-1, and waits for all
// calls. Up to GOMAXPROCS calls run at a time.
func forEachParallel(count int, run func(index int)) {
	var calls sync.WaitGroup
	slots := make(chan struct{}, runtime.GOMAXPROCS(0))
	for index := range count {
		slots <- struct{}{}
		calls.Go(func() {
			defer func() { <-slots }()
			run(index)
		})
	}
	calls.Wait()
}

// collectParallel calls the function run as forEachParallel does, and returns the results of the
// calls by index.
func collectParallel[T any](count int, run func(index int) T) []T {
	results := make([]T, count)
	forEachParallel(count, func(index int) { results[index] = run(index) })
	return results
}
