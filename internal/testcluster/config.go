package testcluster

import (
	"fmt"
	"os"
	"strings"

	"garnetline/routing"
)

// originID is the server ID of the origin in every router's configuration.
const originID routing.ServerID = 250

// maxJoinAddresses is the maximum number of join addresses in a router's settings file.
const maxJoinAddresses = 3

// platformSettings is the format string of the platform settings. Its argument is the number of
// routers in the zone.
const platformSettings = `{"areas":["edge"],"machine_types":["box","parent","origin"],"zone":0,"weights":"rough",
"classes":[{"name":"part","effect":"read_like","aim_us":400000,"deadline_us":4000000,"value":2.0},
 {"name":"form","effect":"idempotency_key","group":"all","window_us":2000000,"aim_us":400000,"deadline_us":4000000,"value":3.0}],
"family_info":{"class_write":[false,true],"root_kind":2,"second_tier_kind":1,"seats_by_zone":[%d],"cleared_within_us":6000000,"one_flow_kb_per_s":5000,"can_join":true},
"limits":{"try_limit":6,"cancel":true,"retry_after":true,"max_retry_after_us":2000000},"rules":{"cold_from":0.15,"cold_us":16000000,"fall_multiple":3.0,"overload_for_us":1500000}}`

// maxAttempts is the try_limit of platformSettings: the maximum number of attempts of a request.
const maxAttempts = 6

// Format strings of a router's configuration file.
const (
	configTemplate = `{"name":%q,"listen":%q,"mgmt":%q,"seed":"%d","limits":{},"changelog":%q,
"known":{"seq":1,"results":[{"seq":1,"fleet":{"seq":0,"whole":true,"hosts":[%s]}}]},"settings":%s}`
	endpointTemplate = `{"host":%q,"dial":%q,"site":"edge","class":%q,"block":0,"health":"ready","share":100,"born_ms":0}`
)

// writeConfig writes the router's configuration file. The file lists addresses of the fault proxy
// for the change log and the servers.
func (r *Router) writeConfig(index int) error {
	changeLog, err := r.cluster.Proxy.TCP(r.ProxyName(), "log", r.cluster.ChangeLog.Addr().String())
	if err != nil {
		return err
	}
	endpoints, err := r.endpoints()
	if err != nil {
		return err
	}
	platform := fmt.Sprintf(platformSettings, max(1, r.cluster.options.Routers))
	config := fmt.Sprintf(configTemplate,
		r.Name, r.ListenAddr, r.AdminAddr, index+1, changeLog, strings.Join(endpoints, ","), platform)
	return os.WriteFile(r.configFile, []byte(config), filePermissions)
}

// endpoints returns the servers as entries of the configuration file. Every server is a cache; the
// first one is also the origin.
func (r *Router) endpoints() ([]string, error) {
	var endpoints []string
	for _, server := range r.cluster.Servers {
		endpoint, err := r.proxiedEndpoint(server.ID, "box", server.Name, server)
		if err != nil {
			return nil, err
		}
		endpoints = append(endpoints, endpoint)
	}
	if len(r.cluster.Servers) == 0 {
		return endpoints, nil
	}
	origin, err := r.proxiedEndpoint(originID, "origin", "archive", r.cluster.Servers[0])
	if err != nil {
		return nil, err
	}
	return append(endpoints, origin), nil
}

func (r *Router) proxiedEndpoint(id routing.ServerID, kind, proxyName string, server *Server) (string, error) {
	address, err := r.cluster.Proxy.TCP(r.ProxyName(), proxyName, server.Addr().String())
	if err != nil {
		return "", err
	}
	return fmt.Sprintf(endpointTemplate, id, address, kind), nil
}

// WriteSettings writes the router's settings file with the given fleet keys. Outside tests,
// operators write this file.
func (r *Router) WriteSettings(keys ...string) error {
	settings := "log {\n level = \"info\"\n}\n"
	if r.cluster.options.Fleet {
		settings += r.fleetBlock(keys)
	}
	if r.cluster.options.Voters > 0 {
		settings += r.leaseBlock()
	}
	return os.WriteFile(r.settingsFile, []byte(settings), filePermissions)
}

// fleetBlock returns the block "fleet" of the settings file.
func (r *Router) fleetBlock(keys []string) string {
	return fmt.Sprintf("fleet {\n enabled = true\n name = \"rig\"\n listen = %q\n advertise = %q\n join = [%s]\n keys = [%s]\n%s}\n",
		r.FleetAddr, r.AdvertisedAddr, quotedList(r.joinAddresses()), quotedList(keys), r.cluster.options.FleetSettings)
}

// joinAddresses returns the advertised addresses of the cluster's first routers. For the first
// router of the cluster, it returns the router's own address.
func (r *Router) joinAddresses() []string {
	r.cluster.mu.Lock()
	defer r.cluster.mu.Unlock()
	routers := r.cluster.Routers
	if len(routers) == 0 {
		return []string{r.AdvertisedAddr}
	}
	var addresses []string
	for _, router := range routers[:min(maxJoinAddresses, len(routers))] {
		addresses = append(addresses, router.AdvertisedAddr)
	}
	return addresses
}

// leaseBlock returns the block "duties" of the settings file, which configures the leases.
func (r *Router) leaseBlock() string {
	return fmt.Sprintf("duties {\n enabled = true\n electors = [%s]\n prober {\n  every_ms = 20\n  most_ms = 20\n }\n%s}\n",
		quotedList(r.voterNames()), r.cluster.options.LeaseSettings)
}

func (r *Router) voterNames() []string {
	if r.Voters != nil {
		return r.Voters
	}
	var names []string
	for i := range r.cluster.options.Voters {
		names = append(names, routerName(i))
	}
	return names
}

// quotedList formats values as the elements of a list in the settings file.
func quotedList(values []string) string {
	quoted := make([]string, len(values))
	for i, value := range values {
		quoted[i] = fmt.Sprintf("%q", value)
	}
	return strings.Join(quoted, ", ")
}
