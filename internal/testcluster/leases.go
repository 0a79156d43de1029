package testcluster

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// LeaseStatus is what a router shows of leases, as the admin API writes it.
type LeaseStatus struct {
	Register struct {
		Voter    bool     `json:"elector"`
		Leading  bool     `json:"leading"`
		Leader   string   `json:"leader"`
		Fault    string   `json:"fault"`
		Voters   []string `json:"voters"`
		Learners []string `json:"learners"`
		Term     uint64   `json:"term"`
		Applied  uint64   `json:"applied"`
		Leases   []struct {
			Lease        string `json:"duty"`
			Holder       string `json:"holder"`
			FencingToken uint64 `json:"token"`
		} `json:"duties"`
	} `json:"register"`
	Held []struct {
		Lease        string `json:"Duty"`
		FencingToken uint64 `json:"Token"`
	} `json:"held"`
}

// Duties is what the router shows of duties.
func (x *Router) Leases() (*LeaseStatus, error) {
	code, b, err := x.CallAdmin("GET", "/fleet/duties")
	if err != nil || code != 200 {
		return nil, fmt.Errorf("%s: /fleet/duties: %d %v", x.Name, code, err)
	}
	p := &LeaseStatus{}
	return p, json.Unmarshal(b, p)
}

// Holder waits until one of these routers says that it holds a duty, and returns it.
func (r *Cluster) WaitForHolder(within time.Duration, name string, of ...*Router) (holder *Router, token uint64, err error) {
	_, err = r.WaitUntil("somebody holds "+name, within, func() (bool, string) {
		seen := ""
		for _, x := range of {
			p, err := x.Leases()
			if err != nil {
				seen += err.Error() + "; "
				continue
			}
			for _, h := range p.Held {
				if h.Lease == name {
					holder, token = x, h.FencingToken
					return true, ""
				}
			}
			seen += fmt.Sprintf("%s: leader %q, %v %s; ", x.Name, p.Register.Leader, p.Register.Leases, p.Register.Fault)
		}
		return false, seen
	})
	return holder, token, err
}

// Acting waits until every box has been acted on under a later token.
func (r *Cluster) WaitForProbes(within time.Duration, after uint64) (time.Duration, error) {
	return r.WaitUntil(fmt.Sprintf("acts after token %d", after), within, func() (bool, string) {
		for _, b := range r.Servers {
			if a := b.Probes(); len(a) == 0 || a[len(a)-1].Token <= after {
				return false, b.Name
			}
		}
		return true, ""
	})
}

// Fault writes what a program built with -tags faults reads: fault-wall, by how many ms its
// wall clock is set, or fault-save, how long a save takes.
func (x *Router) SetFailpoint(name string, ms int64) error {
	file := filepath.Join(x.StateDir(), name)
	if err := os.WriteFile(file+"~", fmt.Append(nil, ms), 0o600); err != nil {
		return err
	}
	return os.Rename(file+"~", file)
}

// Handover is a change of who acts, as a box saw it.
type Handover struct {
	From, To uint64 // tokens
	Gap      time.Duration
}

// Handovers returns the changes of who acted at a box, and what breaks the rule: an act
// under a token that came after one under a later token.
func (b *Server) Handovers() (l []Handover, broken error) {
	acts := b.Probes()
	for i := 1; i < len(acts); i++ {
		switch a, z := acts[i-1], acts[i]; {
		case z.Token < a.Token:
			broken = fmt.Errorf("%s: an act of token %d came %v after one of %d", b.Name, z.Token, z.ReceivedAt.Sub(a.ReceivedAt), a.Token)
		case z.Token > a.Token:
			l = append(l, Handover{a.Token, z.Token, z.ReceivedAt.Sub(a.ReceivedAt)})
		}
	}
	return l, broken
}
