package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/urfave/cli/v3"

	"garnetline/internal/testcluster"
)

// convergenceTimeout is how long routers may take to see each other, and to grant a lease.
const convergenceTimeout = time.Minute

// shortConnectivityDelay is a line of the operators' fleet block. It shortens the time after
// which a router trusts that it can reach more of the fleet than before, so that a run of many
// faults does not consist of waiting.
const shortConnectivityDelay = " more_room_after_ms = 1000\n"

func programFlag() cli.Flag {
	return &cli.StringFlag{Name: "program", Usage: "the daemon; without it, garnetline beside this program"}
}

// programPath returns the path of the daemon.
func programPath(command *cli.Command) (string, error) {
	if path := command.String("program"); path != "" {
		return path, nil
	}
	self, err := os.Executable()
	if err != nil {
		return "", err
	}
	return filepath.Join(filepath.Dir(self), "garnetline"), nil
}

// withCluster starts a cluster with a temporary folder of its own, calls use and ends the
// cluster.
func withCluster(options testcluster.Options, use func(*testcluster.Cluster) error) error {
	folder, err := os.MkdirTemp("", "fleetlab")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(folder) }() // what is left is the system's to clean up
	options.Dir = folder
	cluster, err := testcluster.Start(options)
	if err != nil {
		return err
	}
	defer cluster.Close()
	return use(cluster)
}

// adminError is a response of a router's admin API other than 200.
type adminError struct {
	path   string
	status int
	body   []byte
}

func (e *adminError) Error() string {
	return fmt.Sprintf("POST %s: status %d: %s", e.path, e.status, e.body)
}

// postAdmin sends a POST to a router's admin API. The error is an *adminError if the router
// responds with another status than 200.
func postAdmin(router *testcluster.Router, path string) error {
	status, body, err := router.CallAdmin(http.MethodPost, path)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return &adminError{path: path, status: status, body: body}
	}
	return nil
}

// milliseconds converts a duration for tables.
func milliseconds(duration time.Duration) float64 {
	return float64(duration.Microseconds()) / 1000
}
