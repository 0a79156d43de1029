package bans

import (
	"bytes"
	"context"
	"errors"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"garnetline/internal/clock"
	"garnetline/internal/fleet/consensus"
	"garnetline/internal/metrics"
	"garnetline/routing"
)

// disabledServers is a fake of the endpoint list, in which a Manager disables and enables servers.
type disabledServers struct {
	mu      sync.Mutex
	servers []routing.ServerID
}

func (d *disabledServers) list() []routing.ServerID {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.servers)
}

func (d *disabledServers) set(_ context.Context, server routing.ServerID, disable bool) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.servers = slices.DeleteFunc(d.servers, func(other routing.ServerID) bool { return other == server })
	if disable {
		d.servers = append(d.servers, server)
	}
	return nil
}

// testOptions returns the options of a router whose requests get no response. The caller may read
// the log only after the Manager has stopped.
func testOptions(folder string, disabled *disabledServers, log *bytes.Buffer) Options {
	logger := zerolog.New(log)
	return Options{
		Settings:              DefaultSettings(),
		StateDir:              folder,
		RouterName:            "r01",
		ReadyTimeout:          1,
		SendRequest:           func(uint64, consensus.BanRequest) {},
		Disabled:              disabled.list,
		SetDisabled:           disabled.set,
		SetDisabledByRegistry: disabled.set,
		Clock:                 clock.NewBoot(),
		WallClock:             clock.NewBoot(),
		Log:                   &logger,
		Metrics:               metrics.New(),
	}
}

// Without a quorum, a server can be disabled but not enabled. The next process restores the ban.
// The router becomes ready with its local bans and logs a warning.
func TestManagerWithoutQuorum(t *testing.T) {
	const server = routing.ServerID(7)
	folder := t.TempDir()
	disabled := &disabledServers{}
	var log bytes.Buffer
	manager := New(testOptions(folder, disabled, &log))
	ctx, stop := context.WithCancel(t.Context())
	go manager.Run(ctx)
	for !manager.Ready() {
		time.Sleep(time.Millisecond)
	}
	if err := manager.Apply(ctx, Change{Server: server, Disable: true, Reason: "disk"}); err != nil {
		t.Error(err)
	}
	if err := manager.Apply(ctx, Change{Server: server}); !errors.Is(err, ErrNoQuorum) {
		t.Errorf("enable without a quorum: got error %v, want ErrNoQuorum", err)
	}
	if list := disabled.list(); !slices.Equal(list, []routing.ServerID{server}) {
		t.Errorf("got disabled servers %v, want the server that was disabled", list)
	}
	stop()
	<-manager.Stopped()
	if text := log.String(); !strings.Contains(text, "ban list not confirmed by the lease registry before timeout, using the local copy") {
		t.Errorf("got no warning of unconfirmed bans in the log:\n%s", text)
	}
	next := New(testOptions(folder, disabled, &log)).machine.LocalBans()
	if ban := next[server]; len(next) != 1 || !ban.Unregistered || ban.SetBy != "the door of r01" || ban.Reason != "disk" {
		t.Errorf("got local bans %+v in the next process, want the unregistered ban with the reason disk", next)
	}
}

// A state file that cannot be parsed causes a log entry and does not prevent the start of the router.
func TestUnreadableStateFile(t *testing.T) {
	folder := t.TempDir()
	if err := os.WriteFile(filepath.Join(folder, stateFileName), []byte(`{"7":{"Own":true},`), 0o600); err != nil {
		t.Fatal(err)
	}
	var log bytes.Buffer
	manager := New(testOptions(folder, &disabledServers{}, &log))
	if bans := manager.machine.LocalBans(); len(bans) != 0 {
		t.Errorf("got local bans %+v, want none", bans)
	}
	if text := log.String(); !strings.Contains(text, "local ban file cannot be read") {
		t.Errorf("got no error about the ban file in the log:\n%s", text)
	}
}
