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

// convergenceTimeout is the maximum time for routers to see each other, to elect a lease holder,
// or to use a recovered server again.
const convergenceTimeout = time.Minute

// shortConnectivityDelay is a line of the fleet block of the settings file. The connectivity state
// of a router tells how much of the fleet the router reaches. When the router reaches more of the
// fleet again, it waits before it improves this state. The line shortens the wait. With the
// default wait, runs with many faults would spend most of their time waiting.
const shortConnectivityDelay = " more_room_after_ms = 1000\n"

func programFlag() cli.Flag {
	return &cli.StringFlag{Name: "program", Usage: "`FILE` of the daemon; default: garnetline in the folder of this program"}
}

// programPath returns the path of the daemon's executable file: the value of the flag --program.
// Without this flag, it is the file garnetline in the folder of this program.
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

// withCluster starts a cluster in a new temporary folder, calls the function action with the
// cluster, and then stops the cluster.
func withCluster(options testcluster.Options, action func(*testcluster.Cluster) error) error {
	folder, err := os.MkdirTemp("", "fleetlab")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(folder) }() // the error is ignored: the operating system cleans up temporary files
	options.Dir = folder
	cluster, err := testcluster.Start(options)
	if err != nil {
		return err
	}
	defer cluster.Close()
	return action(cluster)
}

// adminError is a response of a router's admin API with a status other than 200.
type adminError struct {
	path   string
	status int
	body   []byte
}

func (e *adminError) Error() string {
	return fmt.Sprintf("POST %s: expected status 200, got %d: %s", e.path, e.status, e.body)
}

// postAdmin sends a POST request to a router's admin API. The error is an *adminError if the
// status of the response is not 200.
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

// milliseconds converts a duration to milliseconds, for tables.
func milliseconds(duration time.Duration) float64 {
	return float64(duration.Microseconds()) / 1000
}
