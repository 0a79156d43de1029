package soak

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
)

// programVariable names the environment variable with the path of a daemon to run instead of one that is
// built from this module, for example that of an earlier release.
const programVariable = "GARNETLINE_SOAK_PROGRAM"

// Programs are the paths of the programs that a soak runs.
type Programs struct {
	Daemon  string
	Standin string // the servers and the clients that misbehave
}

// BuildPrograms builds the programs into dir, without the race detector. It builds no daemon if
// GARNETLINE_SOAK_PROGRAM names one.
func BuildPrograms(dir string) (Programs, error) {
	programs := Programs{Daemon: os.Getenv(programVariable), Standin: filepath.Join(dir, "standin")}
	if err := build(programs.Standin, "garnetline/internal/soak/standin"); err != nil {
		return programs, err
	}
	if programs.Daemon != "" {
		return programs, nil
	}
	programs.Daemon = filepath.Join(dir, "garnetline")
	return programs, build(programs.Daemon, "garnetline/cmd/garnetline")
}

func build(path, source string) error {
	command := exec.CommandContext(context.Background(), "go", "build", "-ldflags=-linkmode=external", "-o", path, source)
	command.Env = append(os.Environ(), "CGO_ENABLED=1")
	if output, err := command.CombinedOutput(); err != nil {
		return fmt.Errorf("%v: %w: %s", command, err, output)
	}
	return nil
}
