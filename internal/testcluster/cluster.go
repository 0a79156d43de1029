package testcluster

import (
	"fmt"
	"slices"
	"strings"
	"sync"

	"garnetline/internal/fakeserver"
	"garnetline/internal/faultproxy"
	"garnetline/routing"
)

// changeLogBase is the sequence number of the event that the routers' configuration already
// contains. The first event of the change log has the next sequence number.
const changeLogBase = 1

// Cluster is a set of running routers, fake servers and a change log, with the fault proxy between
// them.
type Cluster struct {
	Proxy     *faultproxy.Proxy
	Servers   []*Server
	ChangeLog *fakeserver.ChangeLog
	Routers   []*Router // AddRouter appends to it

	options   Options
	addresses *addressBlock

	mu sync.Mutex // guards Routers while routers are added
}

// Start starts a cluster. It starts the routers one after another and does not wait until they are
// ready. The caller must close the cluster.
func Start(options Options) (*Cluster, error) {
	if options.Timeout == 0 {
		options.Timeout = defaultTimeout
	}
	cluster := &Cluster{options: options, Proxy: faultproxy.New(options.Seed)}
	if err := cluster.start(); err != nil {
		cluster.Close()
		return nil, err
	}
	return cluster, nil
}

func (c *Cluster) start() (err error) {
	if c.addresses, err = claimAddressBlock(); err != nil {
		return err
	}
	if c.ChangeLog, err = fakeserver.NewChangeLog(changeLogBase); err != nil {
		return err
	}
	for i := range c.options.Servers {
		server, err := startServer(routing.ServerID(i+1), fmt.Sprintf("box%d", i+1))
		if err != nil {
			return err
		}
		c.Servers = append(c.Servers, server)
	}
	for i := range c.options.Routers {
		if _, err := c.AddRouter(routerName(i), i); err != nil {
			return err
		}
	}
	return nil
}

// routerName returns the name of the router with the given index. Indexes start at 0.
func routerName(index int) string { return fmt.Sprintf("r%02d", index) }

// AddRouter starts another router. The index selects the router's addresses. Two routers may have
// the same name, since the name of a router's directory includes the index.
func (c *Cluster) AddRouter(name string, index int) (*Router, error) {
	router, err := c.newRouter(name, index)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	c.Routers = append(c.Routers, router)
	c.mu.Unlock()
	return router, router.Start()
}

// Running returns the routers whose processes have not exited, including paused routers. It leaves
// out the excluded routers.
func (c *Cluster) Running(excluded ...*Router) []*Router {
	c.mu.Lock()
	defer c.mu.Unlock()
	var running []*Router
	for _, router := range c.Routers {
		if router.Running() && !slices.Contains(excluded, router) {
			running = append(running, router)
		}
	}
	return running
}

// Logs returns the last lines of each router's log.
func (c *Cluster) Logs(lines int) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var logs strings.Builder
	for _, router := range c.Routers {
		log := strings.Split(strings.TrimSpace(router.Output.String()), "\n")
		last := log[max(0, len(log)-lines):]
		fmt.Fprintf(&logs, "--- %s\n%s\n", router.ProxyName(), strings.Join(last, "\n"))
	}
	return logs.String()
}

// Close kills all processes that the cluster has started, and no others. It closes the servers, the
// change log and the proxy, and releases the addresses.
func (c *Cluster) Close() {
	for _, router := range c.Routers {
		router.close()
	}
	for _, server := range c.Servers {
		_ = server.Close()
	}
	if c.ChangeLog != nil {
		_ = c.ChangeLog.Close()
	}
	if c.addresses != nil {
		c.addresses.release()
	}
	c.Proxy.Close()
}
