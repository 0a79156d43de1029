package testcluster

import (
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strings"

	"garnetline/internal/fakeserver"
)

// Permissions of a router's files and directories.
const (
	filePermissions = 0o600
	dirPermissions  = 0o700
)

// Router is one router of a cluster: its addresses, its files, and its process if one has been
// started.
type Router struct {
	Name           string
	ListenAddr     string             // on which the router accepts clients
	AdminAddr      string             // of the newest process
	FleetAddr      string             // on which the router receives its peers' packets
	AdvertisedAddr string             // an address of the fault proxy, to which the router's peers send packets
	Output         *fakeserver.Output // the logs of all processes of the router
	Voters         []string           // voters in the router's settings file; nil: the first Options.Voters routers

	cluster      *Cluster
	dir          string
	configFile   string
	settingsFile string
	clientSocket *os.File // passed to each process; nil before the first start
	starts       int      // number of processes started so far
	process      *process // the newest process; nil before the first start
}

// newRouter prepares a router. It chooses the addresses, sets up the forwarding by the fault proxy,
// and writes the files. It does not start a process.
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
	if err := os.MkdirAll(router.StateDir(), dirPermissions); err != nil {
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

// advertiseProxy makes the router advertise an address of the fault proxy, so that packets from its
// peers pass through the proxy.
func (r *Router) advertiseProxy() error {
	advertised, err := r.cluster.Proxy.UDP(r.ProxyName(), netip.MustParseAddrPort(r.FleetAddr))
	if err != nil {
		return err
	}
	r.AdvertisedAddr = advertised.String()
	return nil
}

// StateDir returns the directory of the files that the router's processes keep across restarts.
func (r *Router) StateDir() string { return filepath.Join(r.dir, "state") }

// ProxyName returns the router's name at the fault proxy. This name is unique in the cluster,
// unlike Name.
func (r *Router) ProxyName() string { return filepath.Base(r.dir) }

// SetFailpoint sets a failpoint of the router, whose program must be built with the tag "faults".
// The value is in milliseconds. For the failpoint "fault-wall", the value is the offset of the
// wall clock. For "fault-save", it is the duration of each write to disk.
func (r *Router) SetFailpoint(name string, milliseconds int64) error {
	file := filepath.Join(r.StateDir(), name)
	temporary := file + "~" // a rename is atomic, so the program never reads a partly written file
	if err := os.WriteFile(temporary, fmt.Append(nil, milliseconds), filePermissions); err != nil {
		return err
	}
	return os.Rename(temporary, file)
}

// CountLogLines returns the number of lines in the router's log that contain all of the texts.
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

// close kills the router's process, if there is one, and closes the client socket.
func (r *Router) close() {
	if r.process != nil {
		r.Kill()
	}
	if r.clientSocket != nil {
		_ = r.clientSocket.Close()
	}
}
