package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"garnetline/internal/fleet"
	"garnetline/internal/fleet/bans"
	"garnetline/internal/fleet/leasemanager"
	"garnetline/routing"
)

// leasePage is the response body of GET /fleet/duties.
type leasePage struct {
	Registry *leasemanager.Status `json:"register"`
	Held     []leasemanager.Lease `json:"held"` // leases that this router holds
}

// Handle answers a request to the admin API at or below /fleet. It returns ok == false if the API
// does not support the path or the method.
func (f *fleetServices) Handle(ctx context.Context, method, path string) (status int, body []byte, ok bool) {
	switch method {
	case http.MethodGet:
		return f.handleGet(path)
	case http.MethodPost:
		return f.handlePost(ctx, strings.Split(strings.TrimPrefix(path, "/"), "/"))
	}
	return 0, nil, false
}

func (f *fleetServices) handleGet(path string) (status int, body []byte, ok bool) {
	switch {
	case path == "/fleet":
		return jsonPage(f.statusWithWatch())
	case f.leases == nil:
		return 0, nil, false
	case path == "/fleet/duties":
		return jsonPage(leasePage{Registry: f.leases.Status(), Held: f.leases.Leases()})
	case path == "/fleet/bans" && f.bans != nil:
		return jsonPage(f.bans.Status())
	}
	return 0, nil, false
}

// statusWithWatch returns the status of the fleet with that of this router's watch of the change log.
func (f *fleetServices) statusWithWatch() *fleet.Status {
	status := *f.Status()
	if staleness, stale := f.watcher.Staleness(f.clock.Now()); stale {
		status.StaleWatch = &fleet.WatchStatus{Since: staleness.Since, Reason: string(staleness.Reason)}
	}
	return &status
}

// handlePost answers a POST request. The argument parts holds the segments of the request's path.
// The first segment is "fleet".
func (f *fleetServices) handlePost(ctx context.Context, parts []string) (status int, body []byte, ok bool) {
	if f.leases == nil || len(parts) < 2 {
		return 0, nil, false
	}
	switch {
	case parts[1] == "bans" && len(parts) == 7 && f.bans != nil && (parts[2] == "disable" || parts[2] == "enable"):
		return resultPage(f.changeBan(ctx, parts[2:]))
	case parts[1] == "duty" && len(parts) >= 4 && parts[2] == "move":
		// The name of a lease contains a slash. The name of a router may follow the lease after
		// "/to/".
		lease, router, _ := strings.Cut(strings.Join(parts[3:], "/"), "/to/")
		return resultPage(f.leases.Transfer(ctx, lease, router))
	case parts[1] == "elector" && len(parts) == 4 && (parts[2] == "add" || parts[2] == "remove"):
		return resultPage(f.leases.ChangeVoter(ctx, parts[3], parts[2] == "add"))
	}
	return 0, nil, false
}

// changeBan disables or enables a server in the lease registry. The argument parts holds five path
// segments: "disable" or "enable"; the server's id; the version of the ban that the operator saw,
// or 0; the operator's name; the reason.
func (f *fleetServices) changeBan(ctx context.Context, parts []string) error {
	server, err := routing.ParseServerID(parts[1])
	if err != nil {
		return err
	}
	knownVersion, err := strconv.ParseUint(parts[2], 10, 64)
	if err != nil {
		return fmt.Errorf("version: expected a non-negative integer, got %q", parts[2])
	}
	setBy, err := url.PathUnescape(parts[3])
	if err != nil {
		return err
	}
	reason, err := url.PathUnescape(parts[4])
	if err != nil {
		return err
	}
	return f.bans.Apply(ctx, bans.Change{
		Server:  server,
		Disable: parts[0] == "disable",
		Version: knownVersion,
		SetBy:   setBy,
		Reason:  reason,
	})
}

// jsonPage returns a response with content as indented JSON.
func jsonPage(content any) (status int, body []byte, ok bool) {
	text, err := json.MarshalIndent(content, "", " ")
	if err != nil {
		return http.StatusInternalServerError, []byte(err.Error()), true
	}
	return http.StatusOK, append(text, '\n'), true
}

// resultPage returns the response to a request that changes the fleet: status 200 if err is nil,
// otherwise status 503 with the text of err.
func resultPage(err error) (status int, body []byte, ok bool) {
	if err != nil {
		return http.StatusServiceUnavailable, []byte(err.Error() + "\n"), true
	}
	return http.StatusOK, []byte("done\n"), true
}
