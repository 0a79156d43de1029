package main

import (
	"context"
	"os"
	"sync/atomic"
	"time"

	"garnetline/internal/memorybudget"
	"garnetline/internal/platformconfig"
	"garnetline/internal/processgroup"
	"garnetline/internal/procstat"
)

const (
	// resourceInterval is how often a process checks its memory.
	resourceInterval = 500 * time.Millisecond
	// sharedResourceInterval is the same for a process that can be replaced. It also counts the processes
	// that share its limits.
	sharedResourceInterval = 100 * time.Millisecond
	// memoryReportInterval is the least time between two reports about memory in the log.
	memoryReportInterval = time.Second
	// nearLimitShare is the fraction of the memory of a process from which on reports say who holds it.
	nearLimitShare = 0.9
)

// resources divides the limits of the configuration among the processes of the router, and reports in
// the log who holds the memory when it is short.
type resources struct {
	daemon    *daemon
	budget    *memorybudget.Budget
	group     *processgroup.Group // nil if no other process can share the limits
	processes atomic.Int64

	// Only the goroutine of run uses the following fields.
	applied    memoryLimits
	refused    int64
	reportedAt time.Time
}

// newResources applies the limits of the startup configuration.
func newResources(d *daemon) *resources {
	resources := &resources{daemon: d, budget: memorybudget.New(0, d.metrics)}
	resources.processes.Store(1)
	platform := d.startup.platform
	applyProcessors(platform.Limits)
	if platform.ListenFD != 0 && platform.StateDir != "" {
		resources.joinGroup(platform.StateDir)
	}
	resources.applyMemory()
	return resources
}

// joinGroup makes the process known to others of the same router. If that fails, the process takes it
// that another one runs.
func (r *resources) joinGroup(stateDir string) {
	group, err := processgroup.Join(stateDir)
	if err != nil {
		r.daemon.log.Warn().Err(err).Msg("cannot count the processes of the router, using half of the limits")
		r.processes.Store(2)
		return
	}
	r.group = group
	r.daemon.onClose(group.Leave)
	r.processes.Store(int64(group.Count()))
}

// limits returns this process's share of the configured descriptors.
func (r *resources) limits() platformconfig.Limits {
	platform := r.daemon.platform.Load()
	return shareOfSockets(platform.Limits, int(r.processes.Load()), platform.ListenFD != 0)
}

// run follows the number of processes and watches the memory until ctx is done.
func (r *resources) run(ctx context.Context) {
	interval := resourceInterval
	if r.group != nil {
		interval = sharedResourceInterval
	}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		r.countProcesses()
		r.daemon.front.EnforceConnectionLimit()
		r.applyMemory()
		r.reportMemory()
	}
}

func (r *resources) countProcesses() {
	if r.group == nil {
		return
	}
	count := int64(r.group.Count())
	if previous := r.processes.Swap(count); previous != count {
		r.daemon.log.Info().Int64("processes", count).Msg("the number of processes that share the limits has changed")
	}
}

// applyMemory applies the limits on memory if they have changed.
func (r *resources) applyMemory() {
	limits := r.memoryLimits()
	if limits == r.applied {
		return
	}
	r.applied = limits
	r.budget.Resize(limits.clientBytes)
	applyRuntimeMemory(limits.runtimeBytes)
}

func (r *resources) memoryLimits() memoryLimits {
	platform := r.daemon.platform.Load()
	return newMemoryLimits(platform.Limits, memoryShare{
		processes:     int(r.processes.Load()),
		replaceable:   platform.ListenFD != 0,
		reservedBytes: reservedBytes(r.daemon.startup.operators.DNS),
	})
}

// reportMemory logs who holds the memory if reservations were refused since the last report, or if the
// process is near its limit.
func (r *resources) reportMemory() {
	if r.applied.clientBytes == 0 || time.Since(r.reportedAt) < memoryReportInterval {
		return
	}
	usage := r.budget.Usage()
	resident := procstat.ResidentBytes(os.Getpid())
	limit := int64(r.daemon.platform.Load().Limits.MemoryMB) << 20 / r.processes.Load()
	nearLimit := float64(resident) >= nearLimitShare*float64(limit)
	if !nearLimit && usage.Refused() == r.refused {
		return
	}
	event := r.daemon.log.Warn().Bool("near_limit", nearLimit).Int64("resident_bytes", resident).Int64("limit_bytes", limit).
		Int64("heap_bytes", heapBytes()).Int64("budget_bytes", usage.Limit).Int64("refused", usage.Refused()-r.refused)
	for _, account := range usage.Accounts {
		event.Int64(account.Account.String()+"_bytes", account.Bytes)
	}
	event.Int64("open_requests", r.daemon.counter("requests_open")).
		Int64("connections_evicted", r.daemon.counter("connections_evicted_memory")).Msg("memory is short")
	r.refused = usage.Refused()
	r.reportedAt = time.Now()
}
