package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"garnetline/internal/fleet/bans"
	"garnetline/internal/fleet/leasemanager"
	"garnetline/routing"
)

// leasePage is what GET /fleet/duties shows.
type leasePage struct {
	Registry *leasemanager.Status `json:"register"`
	Held     []leasemanager.Lease `json:"held"` // by this router
}

// Handle answers the calls of the admin API at and below /fleet; ok is false where there is
// no such call.
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
		return jsonPage(f.Status())
	case f.leases == nil:
		return 0, nil, false
	case path == "/fleet/duties":
		return jsonPage(leasePage{Registry: f.leases.Status(), Held: f.leases.Leases()})
	case path == "/fleet/bans" && f.bans != nil:
		return jsonPage(f.bans.Status())
	}
	return 0, nil, false
}

// handlePost takes the parts of the path, of which the first is "fleet".
func (f *fleetServices) handlePost(ctx context.Context, parts []string) (status int, body []byte, ok bool) {
	if f.leases == nil || len(parts) < 2 {
		return 0, nil, false
	}
	switch {
	case parts[1] == "bans" && len(parts) == 7 && f.bans != nil && (parts[2] == "disable" || parts[2] == "enable"):
		return resultPage(f.changeBan(ctx, parts[2:]))
	case parts[1] == "duty" && len(parts) >= 4 && parts[2] == "move":
		// The name of a lease has a slash in it; the router's name follows "to".
		lease, router, _ := strings.Cut(strings.Join(parts[3:], "/"), "/to/")
		return resultPage(f.leases.Transfer(ctx, lease, router))
	case parts[1] == "elector" && len(parts) == 4 && (parts[2] == "add" || parts[2] == "remove"):
		return resultPage(f.leases.ChangeVoter(ctx, parts[3], parts[2] == "add"))
	}
	return 0, nil, false
}

// changeBan carries out a call about a ban. The parts of its path are: disable or enable, the
// server, the version that the operator saw or 0, who, and why.
func (f *fleetServices) changeBan(ctx context.Context, parts []string) error {
	server, err := routing.ParseServerID(parts[1])
	if err != nil {
		return err
	}
	knownVersion, err := strconv.ParseUint(parts[2], 10, 64)
	if err != nil {
		return fmt.Errorf("version: %q is none", parts[2])
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

// jsonPage answers with shown, which is plain data.
func jsonPage(shown any) (status int, body []byte, ok bool) {
	text, err := json.MarshalIndent(shown, "", " ")
	if err != nil {
		return http.StatusInternalServerError, []byte(err.Error()), true
	}
	return http.StatusOK, append(text, '\n'), true
}

// resultPage answers a call that changes something.
func resultPage(err error) (status int, body []byte, ok bool) {
	if err != nil {
		return http.StatusServiceUnavailable, []byte(err.Error() + "\n"), true
	}
	return http.StatusOK, []byte("done\n"), true
}
