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

// changeLogBase makes the first event of the change log follow the one in the routers'
// configuration.
const changeLogBase = 1

// Cluster is the running routers, servers and change log, and the fault proxy between them.
type Cluster struct {
	Proxy     *faultproxy.Proxy
	Servers   []*Server
	ChangeLog *fakeserver.ChangeLog
	Routers   []*Router // AddRouter appends to it

	options   Options
	addresses *addressBlock

	mu sync.Mutex // guards Routers while routers are added
}

// Start starts a cluster, its routers one after another without waiting until they are ready.
// The caller has to close it.
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

// routerName is the name of the router with an index, from 0.
func routerName(index int) string { return fmt.Sprintf("r%02d", index) }

// AddRouter starts another router, which has the addresses with an index. Two routers may have
// the same name: each has files of its own.
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

// Running returns the routers whose processes run, paused or not, except those given.
func (c *Cluster) Running(except ...*Router) []*Router {
	c.mu.Lock()
	defer c.mu.Unlock()
	var running []*Router
	for _, router := range c.Routers {
		if router.Running() && !slices.Contains(except, router) {
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

// Close kills all processes that the cluster started, and no others, and closes the servers and
// the proxy.
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
