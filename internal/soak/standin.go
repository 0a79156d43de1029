package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"slices"
	"strconv"
	"syscall"
)

// Commands of the standin program.
const (
	commandServers = "servers" // without arguments
	commandCrowd   = "crowd"   // with an address, a number of connections and the names of pictures
)

// errUsage reports arguments that RunStandin does not know.
var errUsage = errors.New("usage: standin servers | standin crowd ADDRESS CONNECTIONS PICTURE [PICTURE]")

// RunStandin runs a command of the standin program until standard input ends.
func RunStandin(arguments []string) error {
	switch {
	case len(arguments) == 1 && arguments[0] == commandServers:
		return runServers()
	case len(arguments) >= 4 && arguments[0] == commandCrowd:
		return runCrowd(arguments[1], arguments[2], arguments[3:])
	}
	return errUsage
}

// runCrowd plays pictures until standard input ends.
func runCrowd(addr, connections string, names []string) error {
	count, err := strconv.Atoi(connections)
	if err != nil {
		return err
	}
	var pictures []Picture
	all := slices.Concat(MemoryPictures, LoudPictures)
	for _, name := range names {
		index := slices.IndexFunc(all, func(picture Picture) bool { return picture.Name == name })
		if index < 0 {
			return fmt.Errorf("%w: no picture %q", errUsage, name)
		}
		pictures = append(pictures, all[index])
	}
	playing := startPlaying(addr, count, pictures)
	_, err = io.Copy(io.Discard, os.Stdin)
	playing.stop()
	return err
}

// standinProcess is a running standin program. It is not built with the race detector, and does not share
// processor time with the clients that are measured.
type standinProcess struct {
	command *exec.Cmd
	input   io.Closer
	output  io.Reader
}

func startStandin(program string, arguments ...string) (*standinProcess, error) {
	command := exec.CommandContext(context.Background(), program, arguments...)
	command.Stderr = os.Stderr
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	input, err := command.StdinPipe()
	if err != nil {
		return nil, err
	}
	output, err := command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	return &standinProcess{command: command, input: input, output: output}, command.Start()
}

// Crowd is a process of clients that play pictures.
type Crowd struct{ process *standinProcess }

// StartCrowd starts connections to the router. Connection i plays the picture i modulo their number.
func (d *Deployment) StartCrowd(connections int, pictures ...Picture) (*Crowd, error) {
	arguments := []string{commandCrowd, d.Addr, strconv.Itoa(connections)}
	for _, picture := range pictures {
		arguments = append(arguments, picture.Name)
	}
	process, err := startStandin(d.programs.Standin, arguments...)
	return &Crowd{process}, err
}

// Stop ends the connections.
func (c *Crowd) Stop() error {
	_ = c.process.input.Close()
	return c.process.command.Wait()
}
