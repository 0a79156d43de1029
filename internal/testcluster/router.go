package testcluster

import (
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strings"

	"garnetline/internal/fakeserver"
)

// Permissions of a router's files and folders.
const (
	filePermissions   = 0o600
	folderPermissions = 0o700
)

// Router is one router: its files, and its process if it runs.
type Router struct {
	Name           string
	ListenAddr     string             // for clients
	AdminAddr      string             // of the newest process
	FleetAddr      string             // that it receives its peers' packets on
	AdvertisedAddr string             // that its peers send to: the fault proxy's
	Output         *fakeserver.Output // the log of all its processes
	Voters         []string           // in its settings file; nil: the first Options.Voters routers

	cluster      *Cluster
	dir          string
	configFile   string
	settingsFile string
	clientSocket *os.File // passed to each process; nil before the first
	starts       int
	process      *process // the newest; nil before the first
}

// newRouter returns a router that is ready to be started: its addresses are chosen, its
// connections pass through the proxy, and its files are written.
func (c *Cluster) newRouter(name string, index int) (*Router, error) {
	router := &Router{
		Name:    name,
		Output:  &fakeserver.Output{},
		cluster: c,
		dir:     filepath.Join(c.options.Dir, fmt.Sprintf("%s-%d", name, index)),
	}
	router.configFile = filepath.Join(router.dir, "config.json")
	router.settingsFile = filepath.Join(router.dir, "garnetline.hcl")
	router.chooseAddresses(index)
	if err := router.advertiseProxy(); err != nil {
		return nil, err
	}
	if err := os.MkdirAll(router.StateDir(), folderPermissions); err != nil {
		return nil, err
	}
	if err := router.writeConfig(index); err != nil {
		return nil, err
	}
	return router, router.WriteSettings(FleetKey)
}

func (r *Router) chooseAddresses(index int) {
	address := r.cluster.addresses.address(index + 1)
	r.ListenAddr = netip.AddrPortFrom(address, clientPort).String()
	r.AdminAddr = netip.AddrPortFrom(address, adminPort).String()
	r.FleetAddr = netip.AddrPortFrom(address, fleetPort).String()
}

// advertiseProxy has the peers' packets pass through the fault proxy.
func (r *Router) advertiseProxy() error {
	advertised, err := r.cluster.Proxy.UDP(r.ProxyName(), netip.MustParseAddrPort(r.FleetAddr))
	if err != nil {
		return err
	}
	r.AdvertisedAddr = advertised.String()
	return nil
}

// StateDir is the router's folder of files that outlive a process.
func (r *Router) StateDir() string { return filepath.Join(r.dir, "state") }

// ProxyName is the router's name at the fault proxy. Unlike Name it is unique.
func (r *Router) ProxyName() string { return filepath.Base(r.dir) }

// SetFailpoint sets a failpoint of a program that was built with the tag faults: fault-wall, by
// how many ms its wall clock is set, or fault-save, how many ms a write to disk takes.
func (r *Router) SetFailpoint(name string, ms int64) error {
	file := filepath.Join(r.StateDir(), name)
	temporary := file + "~" // the program never reads a file that is half written
	if err := os.WriteFile(temporary, fmt.Append(nil, ms), filePermissions); err != nil {
		return err
	}
	return os.Rename(temporary, file)
}

// CountLogLines counts the lines of the router's log that contain all of the texts.
func (r *Router) CountLogLines(texts ...string) (count int) {
	for line := range strings.Lines(r.Output.String()) {
		if containsAll(line, texts) {
			count++
		}
	}
	return count
}

func containsAll(line string, texts []string) bool {
	for _, text := range texts {
		if !strings.Contains(line, text) {
			return false
		}
	}
	return true
}

// close kills the router's process, if it has one, and closes the clients' socket.
func (r *Router) close() {
	if r.process != nil {
		r.Kill()
	}
	if r.clientSocket != nil {
		_ = r.clientSocket.Close()
	}
}
