// Package peers plays the clients, the caches and the platform of the cases 6 to 10 of the second review
// against the project's own programs. The program of each case calls Main.
package peers

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"time"
)

// Exit statuses.
const (
	statusHeld   = 0
	statusBroken = 1
	statusNotRun = 2
)

// maxRunTime ends a case that hangs. A script may run for 120 s.
const maxRunTime = 110 * time.Second

// defaultSeed is the seed of the ids, objects and bodies, unless SEED is set.
const defaultSeed = 1

// scenario plays one case. It returns the breaks of the rule that were seen.
type scenario func(s *stage) (breaks []string, err error)

var scenarios = map[string]scenario{
	"pipelined-restart": playPipelinedRestart,
	"pipelined-writes":  playPipelinedWrites,
	"slow-changelog":    playSlowChangeLog,
	"hidden-request":    playHiddenRequest,
	"upgrade":           playUpgrade,
	"healed-partition":  playHealedPartition,
}

// Main plays a scenario, writes record.txt to the folder that the first argument names, and ends the process.
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 in
// the environment it leaves the disruption out.
func Main(name string) {
	status, err := play(name, os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, "review:", err)
	}
	os.Exit(status)
}

func play(name string, args []string) (status int, err error) {
	if len(args) != 1 || scenarios[name] == nil {
		return statusNotRun, errors.New("usage: caseN FOLDER")
	}
	seed := uint64(defaultSeed)
	if text := os.Getenv("SEED"); text != "" {
		if seed, err = strconv.ParseUint(text, 10, 64); err != nil {
			return statusNotRun, err
		}
	}
	stage, err := newStage(args[0], os.Getenv("TROUBLE") != "0", seed)
	if err != nil {
		return statusNotRun, err
	}
	overtime := time.AfterFunc(maxRunTime, func() {
		stage.log.printf("the case did not end within %v", maxRunTime)
		stage.close()
		os.Exit(statusNotRun)
	})
	defer overtime.Stop()
	stage.closeOnSignal()
	defer stage.close()
	stage.log.printf("case %s, trouble %t, seed %d", name, stage.trouble, seed)
	breaks, err := scenarios[name](stage)
	if err != nil {
		stage.log.printf("the case could not run: %v", err)
		return statusNotRun, err
	}
	for _, text := range breaks {
		stage.log.printf("BROKEN: %s", text)
		fmt.Println("BROKEN:", text)
	}
	if len(breaks) > 0 {
		return statusBroken, nil
	}
	stage.log.printf("the rule held")
	fmt.Println("the rule held")
	return statusHeld, nil
}
