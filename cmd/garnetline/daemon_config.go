package main

import (
	"os"

	"github.com/urfave/cli/v3"

	"garnetline/internal/frontend/dnsfront"
	"garnetline/internal/logs"
	"garnetline/internal/operatorconfig"
	"garnetline/internal/platformconfig"
)

// daemonConfig is the configuration of a daemon: the platform's file and the operators' file.
type daemonConfig struct {
	platform  *platformconfig.Config
	operators operatorconfig.Config
}

// checkReload returns an error if a running daemon cannot change its configuration from c to
// updated.
func (c daemonConfig) checkReload(updated daemonConfig) error {
	if err := c.platform.CheckReload(updated.platform); err != nil {
		return err
	}
	return c.operators.CheckReload(updated.operators)
}

// loadConfig reads the configuration files that the flags and EDGE_CONFIG name. If the deprecated
// flag --dns names a file, that file replaces the dns block of the operators' file.
func loadConfig(command *cli.Command) (daemonConfig, error) {
	var loaded daemonConfig
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
