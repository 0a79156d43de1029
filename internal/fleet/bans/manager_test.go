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

// disabledServers stands in for the endpoint list, whose disabled servers a Manager sets.
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

// testOptions are those of a router whose requests nobody answers. Its log may be read once
// the Manager has stopped.
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

// Without a voter a server can be disabled, which the next process knows, and not enabled; the
// router becomes ready with the bans that it knows, and says so.
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
		t.Errorf("enabled without a quorum: %v", err)
	}
	if list := disabled.list(); !slices.Equal(list, []routing.ServerID{server}) {
		t.Errorf("disabled: %v", list)
	}
	stop()
	<-manager.Stopped()
	if text := log.String(); !strings.Contains(text, "ban list not confirmed by the lease registry before timeout, using the local copy") {
		t.Errorf("the log says:\n%s", text)
	}
	next := New(testOptions(folder, disabled, &log)).machine.LocalBans()
	if ban := next[server]; len(next) != 1 || !ban.Unregistered || ban.SetBy != "the door of r01" || ban.Reason != "disk" {
		t.Errorf("the next process knows %+v", next)
	}
}

// A state file that cannot be read is reported, and does not keep the router from starting.
func TestUnreadableStateFile(t *testing.T) {
	folder := t.TempDir()
	if err := os.WriteFile(filepath.Join(folder, stateFileName), []byte(`{"7":{"Own":true},`), 0o600); err != nil {
		t.Fatal(err)
	}
	var log bytes.Buffer
	manager := New(testOptions(folder, &disabledServers{}, &log))
	if bans := manager.machine.LocalBans(); len(bans) != 0 {
		t.Errorf("%+v", bans)
	}
	if text := log.String(); !strings.Contains(text, "local ban file cannot be read") {
		t.Errorf("the log says:\n%s", text)
	}
}
