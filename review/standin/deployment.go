package standin

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"
)

// Places of the kinds in the settings.
const (
	kindCache  = 0
	kindOrigin = 2
)

// kinds are the names of the kinds of servers.
var kinds = []string{"box", "parent", "origin"}

// Figures of the settings that the cases check against.
const (
	LongestDeadline = 3000 * time.Millisecond
	PurgeGrace      = 500 * time.Millisecond
	PurgeDone       = 6 * time.Second
	DrainGrace      = time.Second
	Slack           = 50 * time.Millisecond // every limit is so much longer on sockets
)

// settings are those of a small deployment in one zone. The argument is the number of routers.
const settings = `{"areas":["edge"],"machine_types":["box","parent","origin"],"zone":0,"peers_total":%[1]d,"weights":"rough","discovery":"pushed",
"classes":[
 {"name":"video-part","effect":"read_like","group":"all","window_us":5000000,"aim_us":400000,"aim_stretch":1.6,"deadline_us":3000000,"value":2.0,"late_worth":0.15},
 {"name":"sheet","effect":"read_like","group":"all","window_us":5000000,"aim_us":300000,"aim_stretch":2.0,"deadline_us":2500000,"value":1.0,"late_worth":0.2},
 {"name":"solution","effect":"idempotency_key","group":"all","window_us":2000000,"aim_us":700000,"deadline_us":3000000,"value":3.0}],
"family_info":{"class_write":[false,false,true],"in_pieces":[true,false,false],"lifetime_by_class_us":[0,12000000,0],"older_by_us":[0,0,0],
 "root_kind":2,"second_tier_kind":1,"seats_by_zone":[%[1]d],"home_hub":[0],"cleared_within_us":6000000,"obey_after_us":500000,
 "one_flow_kb_per_s":5000,"can_join":true,"bypass_allowed":false,"note_level":"silent","origin_limit_factor":2.5,
 "parent_starts_at":0.063,"parent_warms_in_us":22000000,"parent_fall_multiple":2.0},
"limits":{"try_limit":6,"cancel":true,"retry_after":true,"max_retry_after_us":2000000,"conn_idle_us":15000000,"connect_timeout_us":400000,"max_streams":100,"probes":true},
"rules":{"cold_from":0.15,"cold_us":16000000,"fall_multiple":3.0,"overload_for_us":1500000,"drain_grace_us":1000000},
"telemetry":{"fields":["active","x1"],"how":"pull"}}`

// Deployment is a small deployment: routers, two caches, an origin and a change log.
type Deployment struct {
	ChangeLog *ChangeLog
	Caches    []*Server
	Origin    *Server
	Routers   []*Router
}

// NewDeployment prepares a deployment and starts its servers and its change log, but no router.
func (r *Run) NewDeployment(routerNames ...string) (*Deployment, error) {
	deployment := &Deployment{}
	var err error
	if deployment.ChangeLog, err = r.NewChangeLog(); err != nil {
		return nil, err
	}
	for id := range uint32(2) {
		cache, err := r.NewServer(id+1, kindCache, false)
		if err != nil {
			return nil, err
		}
		deployment.Caches = append(deployment.Caches, cache)
	}
	if deployment.Origin, err = r.NewServer(9, kindOrigin, true); err != nil {
		return nil, err
	}
	for _, name := range routerNames {
		router, err := r.NewRouter(name)
		if err != nil {
			return nil, err
		}
		router.Config = filepath.Join(r.Dir, name+".json")
		document, err := deployment.ChangeLog.Document(name, router.ClientAddr, fmt.Sprintf(settings, len(routerNames)), kinds,
			deployment.Caches[0].Host, deployment.Caches[1].Host, deployment.Origin.Host)
		if err != nil {
			return nil, err
		}
		if err := os.WriteFile(router.Config, document, 0o600); err != nil {
			return nil, err
		}
		deployment.Routers = append(deployment.Routers, router)
	}
	return deployment, nil
}

// WriteSettings writes an operators' file with a fleet block for each router. Router number i
// listens on listen[i], and the others send to advertise[i]. The argument more holds further blocks.
func (d *Deployment) WriteSettings(run *Run, listen, advertise []string, more string) error {
	for i, router := range d.Routers {
		router.Settings = filepath.Join(run.Dir, router.Name+".hcl")
		text := fmt.Sprintf("fleet {\n  enabled = true\n  name = \"review\"\n  listen = %q\n  advertise = %q\n  join = [%s]\n  keys = [\"a key of the review, for loopback\"]\n}\n%s",
			listen[i], advertise[i], quoted(advertise), more)
		if err := os.WriteFile(router.Settings, []byte(text), 0o600); err != nil {
			return err
		}
	}
	return nil
}

func quoted(values []string) string {
	var list []string
	for _, value := range values {
		list = append(list, fmt.Sprintf("%q", value))
	}
	return strings.Join(list, ", ")
}
