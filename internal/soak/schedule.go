package soak

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"
)

// Times of the platform.
const (
	acceptAfterSignal = 700 * time.Millisecond // requests may still come this long after SIGTERM
	newConnections    = 400 * time.Millisecond // new connections may still come this long after SIGTERM
	longestKillDelay  = 3 * time.Second        // the kill waits for the longest deadline of a class, but not longer
	restartPause      = time.Second            // between the end of a process and the start of the next one
	earlyKillDelay    = 500 * time.Millisecond // a kill of a series comes at most this long after the process is ready
)

// Plan is what one run does. It follows from its seed.
type Plan struct {
	Seed uint64
	Options
	Crowd    int // connections that misbehave
	Pictures []Picture
	Steps    []Step
}

// Step is one disruption of a run.
type Step string

// The steps.
const (
	StepQuiet         Step = "quiet"
	StepUpgrade       Step = "upgrade"
	StepKillSeries    Step = "kill series"
	StepRestartServer Step = "restart of a server"
	StepReload        Step = "reload"
)

// NewPlan returns the plan of a seed.
func NewPlan(seed uint64) Plan {
	random := rand.New(rand.NewPCG(seed, seed))
	plan := Plan{
		Seed: seed,
		Options: Options{
			Limits:    []Limits{{192, 1024}, {96, 1024}, {96, 512}}[random.IntN(3)],
			Kind:      []Kind{Keyed, Unsafe}[random.IntN(2)],
			Deadline:  []time.Duration{600 * time.Millisecond, 1500 * time.Millisecond, 3 * time.Second}[random.IntN(3)],
			OwnSocket: random.IntN(3) == 0,
		},
		Crowd: []int{0, 60, 300 + random.IntN(301)}[random.IntN(3)],
	}
	for range 1 + random.IntN(4) {
		plan.Pictures = append(plan.Pictures, MemoryPictures[random.IntN(len(MemoryPictures))])
	}
	plan.Pictures = append(plan.Pictures, LoudPictures[random.IntN(len(LoudPictures))])
	all := []Step{StepQuiet, StepUpgrade, StepUpgrade, StepKillSeries, StepRestartServer, StepReload}
	for range 3 {
		plan.Steps = append(plan.Steps, all[random.IntN(len(all))])
	}
	return plan
}

// String describes the plan in one line.
func (p Plan) String() string {
	names := make([]string, 0, len(p.Pictures))
	for _, picture := range p.Pictures {
		names = append(names, picture.Name)
	}
	return fmt.Sprintf("seed %d: %d MB, %d descriptors, writes %s, deadline %v, own socket %v, %d connections play %q, then %q",
		p.Seed, p.Limits.MemoryMB, p.Limits.Sockets, p.Kind, p.Deadline, p.OwnSocket, p.Crowd, names, p.Steps)
}

// Report is what a run showed.
type Report struct {
	Plan     Plan
	Usage    Usage
	Usual    UsualResult
	Findings []string // broken rules
}

// run is a run in progress.
type run struct {
	plan       Plan
	deployment *Deployment
	monitor    *UsageMonitor
	usual      *UsualClients
	repeater   *repeater
	random     *rand.Rand
	current    *Process
	processes  []*Process
	findings   []string
}

// Run carries out a plan with the given programs. The error says that the run could not be carried out.
func Run(programs Programs, dir string, plan Plan) (Report, error) {
	deployment, err := NewDeployment(programs, dir, plan.Options)
	if err != nil {
		return Report{}, err
	}
	defer deployment.Close()
	current := &run{plan: plan, deployment: deployment, monitor: NewUsageMonitor(), random: rand.New(rand.NewPCG(plan.Seed, 1))}
	defer current.killAll()
	if err := current.start(); err != nil {
		return Report{}, err
	}
	current.usual = StartUsualClients(deployment.Addr, plan.Deadline)
	current.repeater = startRepeater(deployment.Addr, plan.Deadline)
	crowd, err := deployment.StartCrowd(plan.Crowd, plan.Pictures...)
	if err != nil {
		return Report{}, err
	}
	for _, step := range plan.Steps {
		if err = current.perform(step); err != nil {
			break
		}
	}
	if stopErr := crowd.Stop(); stopErr != nil {
		current.findings = append(current.findings, "crowd: "+stopErr.Error())
	}
	ids := current.repeater.stop()
	report := Report{Plan: plan, Usual: current.usual.Stop(), Usage: current.monitor.Stop()}
	report.Findings = append(current.findings, current.check(report, ids)...)
	return report, err
}

// start starts a process beside the current one, waits until it is ready and makes it the current one.
func (r *run) start() error {
	process, err := r.deployment.Start()
	if err != nil {
		return err
	}
	r.processes = append(r.processes, process)
	r.monitor.Watch(process)
	r.current = process
	if err := process.WaitReady(); err != nil {
		r.findings = append(r.findings, err.Error())
	}
	return nil
}

func (r *run) perform(step Step) error {
	switch step {
	case StepUpgrade:
		if r.plan.OwnSocket {
			return r.restart()
		}
		return r.upgrade()
	case StepKillSeries:
		return r.killSeries()
	case StepRestartServer:
		return r.deployment.RestartServer(r.random.IntN(serverCount - 1))
	case StepReload:
		r.current.Signal(syscall.SIGHUP)
	case StepQuiet:
	}
	time.Sleep(restartPause)
	return nil
}

// upgrade starts a new process, tells the old one to end, and kills it as early as the platform may.
func (r *run) upgrade() error {
	previous := r.current
	if err := r.start(); err != nil {
		return err
	}
	previous.Signal(syscall.SIGTERM)
	time.Sleep(acceptAfterSignal + min(r.plan.Deadline, longestKillDelay))
	if previous.Exited() && previous.ExitedBySignal() {
		r.findings = append(r.findings, "the old process of an upgrade crashed: "+previous.Log.String())
	}
	previous.Kill()
	return nil
}

// restart tells the process to end, kills it as early as the platform may, and starts another one.
// Clients are sent elsewhere meanwhile.
func (r *run) restart() error {
	r.current.Signal(syscall.SIGTERM)
	time.Sleep(newConnections)
	r.usual.setPaused(true)
	time.Sleep(acceptAfterSignal - newConnections + min(r.plan.Deadline, longestKillDelay))
	r.repeater.noteKill()
	r.current.Kill()
	time.Sleep(restartPause)
	err := r.start()
	r.usual.setPaused(false)
	return err
}

// killSeries kills the process, starts another one, kills that soon after it is ready, and starts a third.
func (r *run) killSeries() error {
	for range 2 {
		begin := time.Now()
		r.repeater.noteKill()
		r.current.Kill()
		time.Sleep(restartPause)
		r.usual.noteKill(interval{begin, time.Now()}) // until then no process answers
		if err := r.start(); err != nil {
			return err
		}
		time.Sleep(time.Duration(r.random.Int64N(int64(earlyKillDelay))))
	}
	return nil
}

func (r *run) killAll() {
	for _, process := range r.processes {
		process.Kill()
	}
}

// check returns the broken rules that show at the end of a run.
func (r *run) check(report Report, ids []string) []string {
	var findings []string
	if r.current.Exited() {
		findings = append(findings, "the process has exited: "+r.current.Log.String())
	}
	if report.Usage.ResidentBytes > int64(r.plan.Limits.MemoryMB)<<20 {
		findings = append(findings, fmt.Sprintf("resident memory reached %d KB, want at most %d", report.Usage.ResidentBytes>>10, r.plan.Limits.MemoryMB<<10))
	}
	if report.Usage.Descriptors > r.plan.Limits.Sockets {
		findings = append(findings, fmt.Sprintf("%d descriptors in use, want at most %d", report.Usage.Descriptors, r.plan.Limits.Sockets))
	}
	if report.Usual.Refused > 0 && !r.plan.OwnSocket {
		findings = append(findings, fmt.Sprintf("%d connections refused although the platform holds the socket", report.Usual.Refused))
	}
	for _, lost := range report.Usual.Lost {
		findings = append(findings, "lost request of a usual client: "+lost)
	}
	executions, err := r.deployment.Servers.Executions()
	if err != nil {
		findings = append(findings, "servers: "+err.Error())
	}
	if r.plan.Kind == Unsafe {
		for _, repeated := range repeatedExecutions(executions, append(ids, report.Usual.writes...)) {
			findings = append(findings, "write that may run once ran again: "+repeated)
		}
	}
	for _, late := range r.repeater.lateExecutions(executions) {
		findings = append(findings, "request sent on for a client that had left: "+late)
	}
	return findings
}
