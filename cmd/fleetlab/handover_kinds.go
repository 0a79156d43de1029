package main

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"garnetline/internal/faultproxy"
	"garnetline/internal/testcluster"
)

const (
	// handoverTimeout is the maximum time for a handover.
	handoverTimeout = 15 * time.Second

	// optionalHandoverTimeout is the time for which a run waits for a handover that may not happen.
	optionalHandoverTimeout = 3 * time.Second
)

// errNotHolder means that a router no longer held the lease when a run asked it to transfer the
// lease.
var errNotHolder = errors.New("lease transfer rejected: the router no longer holds the lease")

// handoverKind is a way to make a router lose its lease.
type handoverKind struct {
	name     string // used in tables, charts and the flag --kind
	planned  bool   // the holder itself transfers the lease
	optional bool   // the holder may keep its lease
	timeout  time.Duration

	// disturb makes the holder lose its lease, and returns a function that repairs the fault.
	disturb func(run *handoverRun, holder *testcluster.Router) (repair func() error, err error)
}

var handoverKinds = []handoverKind{
	{name: "moved by staff", planned: true, timeout: handoverTimeout, disturb: (*handoverRun).transferLease},
	{name: "ended in order", planned: true, timeout: handoverTimeout, disturb: (*handoverRun).shutDownHolder},
	{name: "killed", timeout: handoverTimeout, disturb: (*handoverRun).killHolder},
	{name: "stopped past its end", timeout: handoverTimeout, disturb: (*handoverRun).pauseHolder},
	{name: "cut off from all but the boxes", timeout: handoverTimeout, disturb: (*handoverRun).isolateHolder},
	// The handover is optional, because other routers may relay the holder's packets to the
	// leader. In that case the holder keeps its lease.
	{name: "cut off one way from the leader", optional: true, timeout: optionalHandoverTimeout, disturb: (*handoverRun).cutOffFromLeader},
}

func handoverKindNames() []string {
	var names []string
	for _, kind := range handoverKinds {
		names = append(names, kind.name)
	}
	return names
}

// findHandoverKinds returns the kinds with the given names, in the order of the names.
func findHandoverKinds(names []string) ([]handoverKind, error) {
	byName := map[string]handoverKind{}
	for _, kind := range handoverKinds {
		byName[kind.name] = kind
	}
	var found []handoverKind
	for _, name := range names {
		kind, known := byName[name]
		if !known {
			return nil, fmt.Errorf("unknown kind of handover %q, expected one of %q", name, handoverKindNames())
		}
		found = append(found, kind)
	}
	return found, nil
}

// noRepair is the repair function of kinds of handover that leave no fault to repair.
func noRepair() error { return nil }

// transferLease moves the lease to another router through the admin API, as an operator does. The
// error is errNotHolder if the router no longer holds the lease.
func (r *handoverRun) transferLease(holder *testcluster.Router) (func() error, error) {
	err := postAdmin(holder, "/fleet/duty/move/"+probeLease)
	var rejected *adminError
	if errors.As(err, &rejected) && rejected.status == http.StatusServiceUnavailable {
		return nil, errNotHolder
	}
	return noRepair, err
}

func (r *handoverRun) shutDownHolder(holder *testcluster.Router) (func() error, error) {
	r.load.SetExcluded(holder, true)
	return holder.Start, holder.Stop()
}

func (r *handoverRun) killHolder(holder *testcluster.Router) (func() error, error) {
	r.load.SetExcluded(holder, true)
	holder.Kill()
	return holder.Start, nil
}

func (r *handoverRun) pauseHolder(holder *testcluster.Router) (func() error, error) {
	r.load.SetExcluded(holder, true)
	return holder.Resume, holder.Pause()
}

// isolateHolder cuts the holder off from all other routers. The holder still reaches the servers.
func (r *handoverRun) isolateHolder(holder *testcluster.Router) (func() error, error) {
	for _, router := range r.cluster.Routers {
		if router != holder {
			r.cut(holder, router)
			r.cut(router, holder)
		}
	}
	return r.healLinks, nil
}

// cutOffFromLeader drops the holder's packets to the leader of the lease registry.
func (r *handoverRun) cutOffFromLeader(holder *testcluster.Router) (func() error, error) {
	for _, router := range r.cluster.Routers {
		if router != holder && leadsRegistry(router) {
			r.cut(holder, router)
		}
	}
	return r.healLinks, nil
}

// leadsRegistry reports whether a router's own status says that the router is the leader of the lease
// registry.
func leadsRegistry(router *testcluster.Router) bool {
	status, err := router.Leases()
	return err == nil && status.Registry.Leading
}

// cut drops all packets from one router to another.
func (r *handoverRun) cut(from, to *testcluster.Router) {
	r.cluster.Proxy.Set(from.ProxyName(), to.ProxyName(), faultproxy.Fault{Partitioned: true})
}

func (r *handoverRun) healLinks() error {
	r.cluster.Proxy.Heal()
	return nil
}
