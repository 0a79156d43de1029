package soak

import (
	"sync"
	"time"

	"garnetline/internal/procstat"
)

const sampleInterval = 10 * time.Millisecond

// Usage is the highest usage of resources by all processes of a router together.
type Usage struct {
	ResidentBytes int64
	Descriptors   int
}

// UsageMonitor samples the resources of processes.
type UsageMonitor struct {
	mu        sync.Mutex
	processes []*Process
	peak      Usage
	stop      chan struct{}
	stopped   chan struct{}
}

// NewUsageMonitor starts a monitor that watches no process yet.
func NewUsageMonitor() *UsageMonitor {
	monitor := &UsageMonitor{stop: make(chan struct{}), stopped: make(chan struct{})}
	go monitor.run()
	return monitor
}

// Watch adds a process.
func (m *UsageMonitor) Watch(process *Process) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.processes = append(m.processes, process)
}

// Stop ends the monitor and returns the peak.
func (m *UsageMonitor) Stop() Usage {
	close(m.stop)
	<-m.stopped
	return m.peak
}

func (m *UsageMonitor) run() {
	defer close(m.stopped)
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-m.stop:
			return
		case <-ticker.C:
			m.sample()
		}
	}
}

func (m *UsageMonitor) sample() {
	m.mu.Lock()
	defer m.mu.Unlock()
	var current Usage
	for _, process := range m.processes {
		if process.Exited() {
			continue
		}
		current.ResidentBytes += procstat.ResidentBytes(process.cmd.Process.Pid)
		current.Descriptors += process.descriptors()
	}
	m.peak.ResidentBytes = max(m.peak.ResidentBytes, current.ResidentBytes)
	m.peak.Descriptors = max(m.peak.Descriptors, current.Descriptors)
}
