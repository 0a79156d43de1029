package main

import (
	"os"

	"github.com/urfave/cli/v3"

	"garnetline/internal/frontend/dnsfront"
	"garnetline/internal/logs"
	"garnetline/internal/operatorconfig"
	"garnetline/internal/platformconfig"
)

// setup is the configuration of one daemon: the platform's file and the operators' file.
type setup struct {
	platform  *platformconfig.Config
	operators operatorconfig.Config
}

// checkReload returns why a running daemon cannot go over to next, or nil.
func (s setup) checkReload(next setup) error {
	if err := s.platform.CheckReload(next.platform); err != nil {
		return err
	}
	return s.operators.CheckReload(next.operators)
}

// loadSetup reads the files that the flags and the environment name.
func loadSetup(command *cli.Command) (setup, error) {
	var loaded setup
	var err error
	loaded.platform, err = platformconfig.Load(command.String("config"), os.Getenv)
	if err != nil {
		return loaded, err
	}
	loaded.operators, err = operatorconfig.Load(command.String("settings"))
	dnsFile := command.String("dns")
	if err != nil || dnsFile == "" {
		return loaded, err
	}
	logs.New(os.Stderr).Warn().Str("file", dnsFile).Msg("--dns is deprecated: use the dns block of the --settings file")
	loaded.operators.DNS, err = dnsfront.LoadConfig(dnsFile)
	return loaded, err
}
