package main

import (
	"fmt"
	"strconv"

	"garnetline/internal/faultproxy"
	"garnetline/internal/testcluster"
)

// verb is the word of a scenario line that selects an action.
type verb string

// The verbs of a scenario.
const (
	verbRouters verb = "routers"
	verbEnd     verb = "end"
	verbKill    verb = "kill"
	verbStart   verb = "start"
	verbStop    verb = "stop"
	verbStall   verb = "stall"
	verbWake    verb = "wake"
	verbCut     verb = "cut"
	verbOneWay  verb = "oneway"
	verbLoss    verb = "loss"
	verbSplit   verb = "split"
	verbHeal    verb = "heal"
	verbDisable verb = "disable"
	verbEnable  verb = "enable"
)

// anyNumber is the value of action.arguments for a verb that accepts any number of arguments.
const anyNumber = -1

// action is the implementation of a verb.
type action struct {
	arguments int // number of arguments, or anyNumber
	apply     func(cluster *testcluster.Cluster, arguments []string) error
}

var actions = map[verb]action{
	verbRouters: {1, doNothing}, // the routers are already running
	verbEnd:     {0, doNothing}, // scenarioRun.applyDueOperations ends the run
	verbKill:    {1, onRouter(killRouter)},
	verbStart:   {1, onRouter((*testcluster.Router).Start)},
	verbStop:    {1, onRouter((*testcluster.Router).Stop)},
	verbStall:   {1, onRouter((*testcluster.Router).Pause)},
	verbWake:    {1, onRouter((*testcluster.Router).Resume)},
	verbCut:     {2, cutLink},
	verbOneWay:  {2, cutOneDirection},
	verbLoss:    {3, setLoss},
	verbSplit:   {anyNumber, splitFleet},
	verbHeal:    {0, healLinks},
	verbDisable: {3, disableServer},
	verbEnable:  {3, enableServer},
}

// sideSeparator separates the two sides in the arguments of the verb "split".
const sideSeparator = "/"

func doNothing(*testcluster.Cluster, []string) error { return nil }

// onRouter returns an apply function of an action. That function calls act with the router that the
// first argument names.
func onRouter(act func(*testcluster.Router) error) func(*testcluster.Cluster, []string) error {
	return func(cluster *testcluster.Cluster, arguments []string) error {
		router, err := findRouter(cluster, arguments[0])
		if err != nil {
			return err
		}
		return act(router)
	}
}

func findRouter(cluster *testcluster.Cluster, name string) (*testcluster.Router, error) {
	for _, router := range cluster.Routers {
		if router.Name == name {
			return router, nil
		}
	}
	return nil, fmt.Errorf("unknown router %q", name)
}

func killRouter(router *testcluster.Router) error {
	router.Kill()
	return nil
}

// cutLink drops all packets between two routers.
func cutLink(cluster *testcluster.Cluster, arguments []string) error {
	return setLinkFault(cluster, arguments[0], arguments[1], faultproxy.Fault{Partitioned: true})
}

// cutOneDirection drops all packets from the first router to the second.
func cutOneDirection(cluster *testcluster.Cluster, arguments []string) error {
	return setFault(cluster, arguments[0], arguments[1], faultproxy.Fault{Partitioned: true})
}

// setLoss drops a share of the packets between two routers. The third argument is the share, from 0
// to 1.
func setLoss(cluster *testcluster.Cluster, arguments []string) error {
	share, err := strconv.ParseFloat(arguments[2], 64)
	if err != nil {
		return err
	}
	return setLinkFault(cluster, arguments[0], arguments[1], faultproxy.Fault{Loss: share})
}

// setLinkFault sets a fault in both directions between two routers.
func setLinkFault(cluster *testcluster.Cluster, a, b string, fault faultproxy.Fault) error {
	if err := setFault(cluster, a, b, fault); err != nil {
		return err
	}
	return setFault(cluster, b, a, fault)
}

// setFault sets a fault for the packets from one router to another.
func setFault(cluster *testcluster.Cluster, from, to string, fault faultproxy.Fault) error {
	sender, err := findRouter(cluster, from)
	if err != nil {
		return err
	}
	receiver, err := findRouter(cluster, to)
	if err != nil {
		return err
	}
	cluster.Proxy.Set(sender.ProxyName(), receiver.ProxyName(), fault)
	return nil
}

// splitFleet partitions the routers before the separator from those after it.
func splitFleet(cluster *testcluster.Cluster, arguments []string) error {
	var before, after []string
	side := &before
	for _, name := range arguments {
		if name == sideSeparator {
			side = &after
			continue
		}
		router, err := findRouter(cluster, name)
		if err != nil {
			return err
		}
		*side = append(*side, router.ProxyName())
	}
	cluster.Proxy.Partition(before, after)
	return nil
}

func healLinks(cluster *testcluster.Cluster, _ []string) error {
	cluster.Proxy.Heal()
	return nil
}

func disableServer(cluster *testcluster.Cluster, arguments []string) error {
	return postServer(cluster, "/caches/disable/", arguments)
}

func enableServer(cluster *testcluster.Cluster, arguments []string) error {
	return postServer(cluster, "/caches/enable/", arguments)
}

// postServer sends a POST request about a server to a router's admin API. The arguments are the
// server's ID, the word "at" and the router's name.
func postServer(cluster *testcluster.Cluster, path string, arguments []string) error {
	server := arguments[0]
	router, err := findRouter(cluster, arguments[2])
	if err != nil {
		return err
	}
	return postAdmin(router, path+server)
}
