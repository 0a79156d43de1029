package main

import (
	"runtime"
	"sync"
)

// forEachParallel calls run with the indexes from 0 to count-1, up to GOMAXPROCS calls at a time,
// and waits for all calls.
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

// collectParallel is like forEachParallel, and returns the results of the calls by index.
func collectParallel[T any](count int, run func(index int) T) []T {
	results := make([]T, count)
	forEachParallel(count, func(index int) { results[index] = run(index) })
	return results
}
