package faultproxy

import (
	"reflect"
	"testing"
	"time"
)

const (
	scheduledFaults = 20
	scheduledSteps  = 2 * scheduledFaults // each fault is set and removed
)

// newSchedule returns a schedule of partitions and losses among three endpoints.
func newSchedule(seed uint64, span time.Duration) []Step {
	kinds := []Fault{{Partitioned: true}, {Loss: 0.5}}
	return RandomSchedule(seed, []string{"x", "y", "z"}, kinds, scheduledFaults, span)
}

func TestRandomScheduleDependsOnSeedAlone(t *testing.T) {
	steps := newSchedule(7, time.Second)
	if repeated := newSchedule(7, time.Second); !reflect.DeepEqual(steps, repeated) {
		t.Errorf("seed 7 gave two different schedules:\n%v\nand\n%v", steps, repeated)
	}
	if reflect.DeepEqual(steps, newSchedule(8, time.Second)) {
		t.Error("seeds 7 and 8 gave the same schedule, want different ones")
	}
}

func TestRandomScheduleIsInOrderAndWithinSpan(t *testing.T) {
	const span = time.Second
	steps := newSchedule(7, span)
	if len(steps) != scheduledSteps {
		t.Errorf("got %d steps, want %d", len(steps), scheduledSteps)
	}
	for i, step := range steps {
		if step.From == step.To {
			t.Errorf("step %d: got the same party twice, want two different parties: %+v", i, step)
		}
		if i > 0 && step.At < steps[i-1].At {
			t.Errorf("step %d is at %v, before the previous step at %v", i, step.At, steps[i-1].At)
		}
		if step.At > span {
			t.Errorf("step %d is at %v, want at most the span of %v", i, step.At, span)
		}
	}
}

func TestRunScheduleSetsEachFault(t *testing.T) {
	proxy := newProxy(t, 1)
	steps := newSchedule(7, 50*time.Millisecond)
	proxy.RunSchedule(steps, nil)
	log := proxy.Log()
	if len(log) != len(steps) {
		t.Fatalf("got %d changes, want %d", len(log), len(steps))
	}
	for i, step := range steps {
		if entry := log[i]; entry.From != step.From || entry.To != step.To || entry.Fault != step.Fault {
			t.Errorf("change %d is %+v, want the change of step %+v", i, entry, step)
		}
		if log[i].At < step.At {
			t.Errorf("change %d came at %v, want %v or later", i, log[i].At, step.At)
		}
	}
}

func TestRunScheduleStops(t *testing.T) {
	proxy := newProxy(t, 1)
	stop := make(chan struct{})
	close(stop)
	proxy.RunSchedule([]Step{{At: time.Hour, From: "a", To: "b", Fault: Fault{Partitioned: true}}}, stop)
	if log := proxy.Log(); len(log) != 0 {
		t.Errorf("got changes %+v, want none", log)
	}
}

func TestHealRemovesEachFault(t *testing.T) {
	proxy := newProxy(t, 1)
	proxy.Partition([]string{"a"}, []string{"b", "c"})
	proxy.Heal()
	log := proxy.Log()
	if len(log) != 8 {
		t.Fatalf("got %d changes, want 4 partitions and 4 heals: %+v", len(log), log)
	}
	for i, entry := range log {
		if partitioned := i < 4; entry.Fault != (Fault{Partitioned: partitioned}) {
			t.Errorf("change %d is %+v, want Partitioned %t", i, entry, partitioned)
		}
	}
	proxy.Heal()
	if got := len(proxy.Log()); got != len(log) {
		t.Errorf("got %d changes after a second Heal, want %d", got, len(log))
	}
}
