package faultproxy

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// maxFaultStart is the latest start of a fault, as a fraction of the schedule's span.
const maxFaultStart = 0.7

// Step is one change of a fault in a schedule.
type Step struct {
	At       time.Duration // since the schedule began
	From, To string
	Fault    Fault
}

// RandomSchedule draws a schedule from a seed. The schedule has the given number of faults. Each
// fault is of a random kind and affects a random direction between two endpoints, so at least two
// endpoints are needed. Each fault begins and is removed within the span. The steps are sorted by
// time.
func RandomSchedule(seed uint64, endpoints []string, kinds []Fault, faults int, span time.Duration) []Step {
	random := rand.New(rand.NewPCG(seed, scheduleStream))
	var steps []Step
	for range faults {
		dir := randomDirection(random, endpoints)
		start := time.Duration(random.Float64() * maxFaultStart * float64(span))
		length := time.Duration(random.Float64() * float64(span-start))
		kind := kinds[random.IntN(len(kinds))]
		steps = append(steps,
			Step{At: start, From: dir.from, To: dir.to, Fault: kind},
			Step{At: start + length, From: dir.from, To: dir.to},
		)
	}
	slices.SortStableFunc(steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return steps
}

// randomDirection draws an ordered pair of different endpoints.
func randomDirection(random *rand.Rand, endpoints []string) direction {
	from := random.IntN(len(endpoints))
	to := random.IntN(len(endpoints) - 1)
	if to >= from {
		to++
	}
	return direction{endpoints[from], endpoints[to]}
}

// RunSchedule applies each step of a schedule at its time. It returns after the last step, or as
// soon as the channel stop is closed. The channel may be nil.
func (p *Proxy) RunSchedule(steps []Step, stop <-chan struct{}) {
	startedAt := time.Now()
	for _, step := range steps {
		select {
		case <-time.After(time.Until(startedAt.Add(step.At))):
			p.Set(step.From, step.To, step.Fault)
		case <-stop:
			return
		}
	}
}
