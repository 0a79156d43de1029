package faultproxy

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// maxFaultStart is the part of a schedule's span within which its faults begin.
const maxFaultStart = 0.7

// Step is one change of a schedule.
type Step struct {
	At       time.Duration // since the schedule began
	From, To string
	Fault    Fault
}

// RandomSchedule draws a schedule from a seed: a number of faults of the given kinds among at least
// two parties. Each begins and is removed within the span. The steps are in the order of their time.
func RandomSchedule(seed uint64, parties []string, kinds []Fault, faults int, span time.Duration) []Step {
	random := rand.New(rand.NewPCG(seed, scheduleStream))
	var steps []Step
	for range faults {
		way := randomDirection(random, parties)
		start := time.Duration(random.Float64() * maxFaultStart * float64(span))
		length := time.Duration(random.Float64() * float64(span-start))
		kind := kinds[random.IntN(len(kinds))]
		steps = append(steps,
			Step{At: start, From: way.from, To: way.to, Fault: kind},
			Step{At: start + length, From: way.from, To: way.to},
		)
	}
	slices.SortStableFunc(steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return steps
}

// randomDirection draws two different parties.
func randomDirection(random *rand.Rand, parties []string) direction {
	from := random.IntN(len(parties))
	to := random.IntN(len(parties) - 1)
	if to >= from {
		to++
	}
	return direction{parties[from], parties[to]}
}

// RunSchedule sets the faults of a schedule at their times. It returns after the last step, or when
// stop is closed; with a nil stop only after the last step.
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
