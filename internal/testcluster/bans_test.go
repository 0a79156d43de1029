package testcluster

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"garnetline/internal/fleet/bans"
)

// TestBansSurviveRestartsAndPartitions checks the bans of eight routers, five of which are voters.
// The bans that operators set survive when all processes are killed and all files except the
// voters' logs and the router identities are lost. A router that reports that it is ready applies
// the bans. During a partition, the routers of the minority can ban a server but cannot enable one.
// Their ban is registered after the partition heals. In the same way, while a majority of the
// voters is down, routers can ban a server but cannot enable one, and the ban is registered
// afterwards.
func TestBansSurviveRestartsAndPartitions(t *testing.T) {
	cluster := startFleet(t, Options{Routers: 8, Servers: 4, Voters: 5, LeaseSettings: " bans {\n  every_ms = 200\n }\n", Seed: 31})
	test := &bansTest{clusterTest: cluster, load: cluster.StartLoad(50*time.Millisecond, cluster.Routers...)}
	for _, server := range cluster.Servers {
		test.servers = append(test.servers, server.ID.String())
	}
	test.banByAdminAPI()
	test.banByCommand()
	test.rejectEnableOfOlderVersion()
	test.restartWithVoterLogsAlone()
	test.banInMinority()
	test.banWithoutVoterMajority()
	test.enableAll()
	test.load.Stop()
}

// bansTest is the state of a test of bans.
type bansTest struct {
	*clusterTest
	load    *Load
	servers []string // IDs
}

// registeredBan is a ban, or the end of a ban, that a test expects in the lease registry.
type registeredBan struct {
	server   string
	disabled bool
	setBy    string // substring of the name of the operator or router; "" matches any
}

func (b registeredBan) matches(ban bans.Ban) bool {
	return ban.Server == b.server && ban.Disabled == b.disabled && strings.Contains(ban.SetBy, b.setBy)
}

func (b registeredBan) String() string {
	return fmt.Sprintf("%s is registered with disabled=%v, set by %q", b.server, b.disabled, b.setBy)
}

// bans returns the page of the admin API on which a router shows the bans.
func (b *bansTest) bans(router *Router) *bans.Status {
	b.t.Helper()
	status := &bans.Status{}
	requireNoError(b.t, router.getPage("/fleet/bans", status))
	return status
}

// waitForRegistered waits until every router has read the expected ban, or end of a ban, from the
// registry.
func (b *bansTest) waitForRegistered(expected registeredBan, routers ...*Router) {
	b.t.Helper()
	b.waitUntil(expected.String(), func() (bool, string) {
		for _, router := range routers {
			if registered := b.bans(router).Bans; !slices.ContainsFunc(registered, expected.matches) {
				return false, fmt.Sprintf("%s: %+v", router.Name, registered)
			}
		}
		return true, ""
	})
}

// expectDisabledHere reports an error for each given server that the router itself has not
// disabled.
func (b *bansTest) expectDisabledHere(router *Router, servers ...string) {
	b.t.Helper()
	got := b.bans(router).DisabledHere
	for _, server := range servers {
		if !slices.Contains(got, server) {
			b.t.Errorf("%s: got disabled servers %v, want %s among them", router.Name, got, server)
		}
	}
}

func (b *bansTest) banByAdminAPI() {
	b.t.Helper()
	banned := b.servers[0]
	b.post(b.Routers[6], "/fleet/bans/disable/"+banned+"/0/ada/a%20bad%20disk", http.StatusOK)
	b.waitForRegistered(registeredBan{server: banned, disabled: true, setBy: "ada"}, b.Routers...)
	b.waitForBan("the ban holds at all routers", banned, true, b.Routers...)
	registered := b.bans(b.Routers[0]).Bans[0]
	if registered.Reason != "a bad disk" || registered.SetAt == 0 {
		b.t.Errorf("got %+v, want the reason %q and a time", registered, "a bad disk")
	}
}

func (b *bansTest) banByCommand() {
	b.t.Helper()
	b.expectCommand([]string{"--mgmt", b.Routers[3].AdminAddr}, b.servers[0], "ada", "a bad disk")
	server := b.servers[3]
	b.expectCommand([]string{"disable", "--mgmt", b.Routers[3].AdminAddr, "--who", "eve", "--why", "a/b c?", server}, "done")
	b.waitForRegistered(registeredBan{server: server, disabled: true, setBy: "eve"}, b.Routers...)
	b.expectCommand([]string{"enable", "--mgmt", b.Routers[2].AdminAddr, server}, "done")
	b.waitForRegistered(registeredBan{server: server, disabled: false}, b.Routers...)
}

// expectCommand runs a subcommand of "fleet bans". It reports an error for each wanted text that is
// missing from the output.
func (b *bansTest) expectCommand(args []string, wanted ...string) {
	b.t.Helper()
	command := exec.CommandContext(b.t.Context(), program, append([]string{"fleet", "bans"}, args...)...)
	output, err := command.CombinedOutput()
	for _, want := range wanted {
		if !strings.Contains(string(output), want) {
			b.t.Errorf("fleet bans %q: got output %s, error %v, want %q in the output", args, output, err, want)
		}
	}
}

// rejectEnableOfOlderVersion checks that the admin API rejects a call to enable a server if the
// call names an older version of the server's ban.
func (b *bansTest) rejectEnableOfOlderVersion() {
	b.t.Helper()
	b.post(b.Routers[0], "/fleet/bans/enable/"+b.servers[0]+"/1/bob/an%20older%20view", http.StatusServiceUnavailable)
}

// restartWithVoterLogsAlone kills all routers, removes their local files except the voters' logs
// and the router identities, and starts the routers again.
func (b *bansTest) restartWithVoterLogsAlone() {
	b.t.Helper()
	for _, router := range b.Routers {
		killAndExclude(b.load, router)
	}
	for _, router := range b.Routers {
		requireNoError(b.t, removeLocalState(router))
		requireNoError(b.t, router.Start())
	}
	for _, router := range b.Routers {
		b.waitUntil(router.Name+" is ready", func() (bool, string) {
			code, _, err := router.CallAdmin(http.MethodGet, "/ready")
			return code == http.StatusOK, fmt.Sprint(code, err)
		})
		b.expectDisabledHere(router, b.servers[0])
	}
	b.waitForConvergence("all have rejoined", b.Routers...)
	for _, router := range b.Routers {
		b.load.SetExcluded(router, false)
	}
}

// removeLocalState removes a router's files except the voter's log and the router identity.
func removeLocalState(router *Router) error {
	files, err := filepath.Glob(filepath.Join(router.StateDir(), "*"))
	for _, file := range files {
		if !strings.Contains(file, "elector") && !strings.HasSuffix(file, "seat") {
			err = errors.Join(err, os.RemoveAll(file))
		}
	}
	return err
}

// banInMinority bans a server on each side of a partition, and checks that the minority cannot
// enable a server.
func (b *bansTest) banInMinority() {
	b.t.Helper()
	majority, minority := b.Routers[:6], b.Routers[6:]
	first, byMinority, byMajority := b.servers[0], b.servers[1], b.servers[2]
	b.partition(minority, majority)
	b.post(minority[0], "/caches/disable/"+byMinority, http.StatusOK)
	b.post(minority[0], "/caches/enable/"+first, http.StatusServiceUnavailable)
	b.expectDisabledHere(minority[0], first, byMinority)
	b.post(majority[0], "/caches/disable/"+byMajority, http.StatusOK)
	b.waitForRegistered(registeredBan{server: byMajority, disabled: true, setBy: majority[0].Name}, majority...)
	b.Proxy.Heal()
	b.waitForRegistered(registeredBan{server: byMinority, disabled: true, setBy: minority[0].Name}, b.Routers...)
	b.waitForBan("the minority's ban holds at all routers", byMinority, true, b.Routers...)
}

// banWithoutVoterMajority bans a server while three of five voters are down, and checks that no
// server can be enabled during this time.
func (b *bansTest) banWithoutVoterMajority() {
	b.t.Helper()
	down, caller := b.Routers[:3], b.Routers[5]
	for _, voter := range down {
		killAndExclude(b.load, voter)
	}
	b.post(caller, "/caches/enable/"+b.servers[1], http.StatusServiceUnavailable)
	b.post(caller, "/caches/disable/"+b.servers[3], http.StatusOK)
	for _, voter := range down {
		requireNoError(b.t, voter.Start())
	}
	b.waitForConvergence("the voters have rejoined", b.Routers...)
	b.waitForRegistered(registeredBan{server: b.servers[3], disabled: true, setBy: caller.Name}, b.Routers...)
}

// enableAll enables all servers, each by a call to a different router.
func (b *bansTest) enableAll() {
	b.t.Helper()
	for i, server := range b.servers {
		router := b.Routers[i]
		b.waitUntil(server+" is enabled", func() (bool, string) {
			code, body, err := router.CallAdmin(http.MethodPost, "/caches/enable/"+server)
			return code == http.StatusOK, fmt.Sprintf("%d %s %v", code, body, err)
		})
		b.waitForBan(server+" is enabled at all routers", server, false, b.Routers...)
		b.waitForRegistered(registeredBan{server: server, disabled: false, setBy: router.Name}, b.Routers...)
	}
	for _, router := range b.Routers {
		if got := b.bans(router).DisabledHere; len(got) != 0 {
			b.t.Errorf("%s: got disabled servers %v, want none", router.Name, got)
		}
		if _, err := os.Stat(filepath.Join(router.StateDir(), "garnetline-bans.json")); err != nil {
			b.t.Error(err)
		}
	}
}
