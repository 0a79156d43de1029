package main

import (
	"runtime"
	"sync"
)

// forEachParallel calls run with the indexes from 0 to count-1, as many at once as there are
// processors, and waits for all calls.
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

// collectParallel is forEachParallel for calls with results, which it returns by index.
func collectParallel[T any](count int, run func(index int) T) []T {
	results := make([]T, count)
	forEachParallel(count, func(index int) { results[index] = run(index) })
	return results
}
