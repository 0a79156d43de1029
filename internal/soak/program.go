package soak

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
)

// programVariable names the environment variable with the path of a program to run instead of one
// that is built from this module, for example that of an earlier release.
const programVariable = "GARNETLINE_SOAK_PROGRAM"

// BuildProgram builds the daemon into dir, without the race detector, and returns its path. It builds
// nothing if GARNETLINE_SOAK_PROGRAM names a program.
func BuildProgram(dir string) (string, error) {
	if program := os.Getenv(programVariable); program != "" {
		return program, nil
	}
	path := filepath.Join(dir, "garnetline")
	build := exec.CommandContext(context.Background(), "go", "build", "-ldflags=-linkmode=external", "-o", path, "garnetline/cmd/garnetline")
	build.Env = append(os.Environ(), "CGO_ENABLED=1")
	if output, err := build.CombinedOutput(); err != nil {
		return "", fmt.Errorf("%v: %w: %s", build, err, output)
	}
	return path, nil
}
