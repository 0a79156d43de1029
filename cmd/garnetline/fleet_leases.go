package main

import (
	"errors"
	"path/filepath"
	"slices"

	"garnetline/internal/clock"
	"garnetline/internal/fleet/bans"
	"garnetline/internal/fleet/consensus"
	"garnetline/internal/fleet/consensus/wal"
	"garnetline/internal/fleet/fragment"
	"garnetline/internal/fleet/leasemanager"
	"garnetline/internal/fleet/loadreport"
	"garnetline/internal/fleet/membership"
	"garnetline/internal/fleet/recoveryprobe"
	"garnetline/internal/fleet/zonelease"
	"garnetline/internal/operatorconfig"
	"garnetline/internal/platformconfig"
)

// errVoterWithoutDir is returned for a voter that has no directory for its write-ahead log.
var errVoterWithoutDir = errors.New("folder: expected a directory that outlives the process, because the list electors names this router, got none")

// startLeases creates the lease manager and the services that the operators' file enables.
// fleetServices.Run starts them.
func (f *fleetServices) startLeases(router *daemon, fleetName, zone string) error {
	settings, platform := router.startup.operators.Leases, router.startup.platform
	bootClock := clock.NewBoot()
	options := leasemanager.Options{
		Settings:    leasemanager.Settings{Fleet: fleetName, Voters: settings.Voters, Consensus: settings.ConsensusSettings()},
		Name:        platform.Name,
		Incarnation: f.Status().Incarnation,
		Transport:   f.Transport,
		Clock:       bootClock,
		Log:         router.log,
		Metrics:     f.metrics,
		Eligible:    f.eligible,
	}
	if slices.Contains(settings.Voters, platform.Name) {
		dir := walDir(settings, platform)
		if dir == "" {
			return errVoterWithoutDir
		}
		options.LogDir = wal.Dir(dir)
	}
	if settings.Bans != nil {
		f.addBans(router, bootClock, *settings.Bans)
		options.OnBanResponse = f.bans.HandleResponse
	}
	var err error
	f.leases, err = leasemanager.New(options, f.Members().Self, wantedLeases(settings, zone))
	if err != nil {
		return err
	}
	if settings.RecoveryProbe != nil {
		f.addRecoveryProbe(zone, bootClock, *settings.RecoveryProbe)
	}
	if settings.LoadReport != nil {
		f.addLoadReports(zone, platform.Settings.Zone, bootClock, *settings.LoadReport)
	}
	f.SetReceiver(f.receive)
	return nil
}

// walDir returns the directory of a voter's write-ahead log. It returns "" if neither the
// operators' file nor the platform configuration names a directory.
func walDir(settings operatorconfig.Leases, platform *platformconfig.Config) string {
	if settings.WALDir != "" || platform.StateDir == "" {
		return settings.WALDir
	}
	return filepath.Join(platform.StateDir, "garnetline-elector-"+platform.Name)
}

// wantedLeases returns the names of the leases that this router may hold.
func wantedLeases(settings operatorconfig.Leases, zone string) []string {
	var names []string
	if settings.LoadReport != nil {
		names = append(names, loadreport.LeaseName(zone))
	}
	if settings.RecoveryProbe != nil {
		names = append(names, recoveryprobe.LeaseName(zone))
	}
	return names
}

func (f *fleetServices) addBans(router *daemon, bootClock clock.Clock, settings operatorconfig.Bans) {
	bansSettings := bans.DefaultSettings()
	bansSettings.PollInterval = settings.PollInterval
	f.bans = bans.New(bans.Options{
		Settings:              bansSettings,
		StateDir:              router.startup.platform.StateDir,
		RouterName:            router.startup.platform.Name,
		ReadyTimeout:          settings.ReadyTimeout,
		Disabled:              f.watcher.Disabled,
		SetDisabled:           f.watcher.SetDisabled,
		SetDisabledByRegistry: f.watcher.SetDisabledByRegistry,
		SendRequest:           f.sendBanRequest,
		Clock:                 bootClock,
		WallClock:             f.clock,
		Log:                   router.log,
		Metrics:               f.metrics,
	})
	f.background = append(f.background, f.bans)
}

func (f *fleetServices) sendBanRequest(requestID uint64, request consensus.BanRequest) {
	f.leases.SendBanRequest(requestID, leasemanager.EncodeBanRequest(requestID, request))
}

func (f *fleetServices) addRecoveryProbe(zone string, bootClock clock.Clock, settings operatorconfig.RecoveryProbe) {
	probeSettings := recoveryprobe.DefaultSettings()
	probeSettings.ReturnRate = settings.ReturnRate
	f.dispatcher.PublishEjected()
	f.recoveryProbe = recoveryprobe.New(recoveryprobe.Options{
		Options:         f.zoneOptions(zone, bootClock),
		Settings:        probeSettings,
		Self:            f.Members().Self,
		LastKnownHolder: f.leases.LastKnownHolder,
		Ejected:         f.dispatcher.Ejected,
		ExtendEjection:  f.dispatcher.ExtendEjection,
		RequireProbe:    f.dispatcher.RequireProbe,
	})
	f.background = append(f.background, f.recoveryProbe)
}

func (f *fleetServices) addLoadReports(zone string, zoneIndex int, bootClock clock.Clock, settings operatorconfig.LoadReport) {
	f.loadReports = loadreport.New(loadreport.Options{
		Options:     f.zoneOptions(zone, bootClock),
		MinInterval: settings.MinInterval,
		MaxInterval: settings.MaxInterval,
		Servers:     func() []loadreport.Server { return f.polledServers(zoneIndex) },
		ReportLoad:  f.dispatcher.ReportLoad,
	})
	f.background = append(f.background, f.loadReports)
}

// zoneOptions returns the options that the load report and recovery probe services have in common.
// Each service works for a whole zone, at the router that holds the service's lease.
func (f *fleetServices) zoneOptions(zone string, bootClock clock.Clock) zonelease.Options {
	return zonelease.Options{
		Zone:      zone,
		Valid:     f.leases.Valid,
		ZonePeers: func() []membership.ID { return f.zonePeers(zone) },
		Send:      f.Send,
		Clock:     bootClock,
		Metrics:   f.metrics,
	}
}

// polledServers returns the servers whose load is polled: the ready caches of a zone.
func (f *fleetServices) polledServers(zoneIndex int) []loadreport.Server {
	var servers []loadreport.Server
	for _, endpoint := range f.watcher.ReadyServers(zoneIndex, 0) {
		servers = append(servers, loadreport.Server{ID: endpoint.ID, Address: endpoint.Addr})
	}
	return servers
}

// zonePeers returns the other routers of a zone that are alive.
func (f *fleetServices) zonePeers(zone string) []membership.ID {
	var peers []membership.ID
	for _, member := range f.Members().Members {
		if member.State == membership.Alive && member.Zone == zone && !member.Self {
			peers = append(peers, member.ID)
		}
	}
	return peers
}

// receive passes a message from another router to the service for the message's channel.
func (f *fleetServices) receive(from membership.ID, incarnation uint64, channel fragment.Channel, message []byte) {
	switch channel {
	case fragment.LoadReport:
		if f.loadReports != nil {
			f.loadReports.Receive(message)
		}
	case fragment.EjectionReport, fragment.ProbeResult:
		if f.recoveryProbe != nil {
			f.recoveryProbe.Receive(from, channel, message)
		}
	default:
		f.leases.Deliver(from, incarnation, channel, message)
	}
}
