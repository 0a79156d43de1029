// Package disabled stores which servers operators have disabled, so that the next process of the
// same router knows them. Each disabled server is one empty file. A process and its successor use
// the same directory for a while; with one file for each server, they never overwrite each other's
// entries. A Store has no state in memory and is safe for concurrent use.
package disabled

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"

	"garnetline/routing"
)

const (
	dirName  = "garnetline-disabled"
	dirMode  = 0o700
	fileMode = 0o600
)

// Store is the path of the directory with the files. The empty Store stores nothing.
type Store string

// NewStore returns the Store in a state directory, or the empty Store if stateDir is "". Set
// creates the directory of the Store when it disables the first server.
func NewStore(stateDir string) Store {
	if stateDir == "" {
		return ""
	}
	return Store(filepath.Join(stateDir, dirName))
}

// List returns the disabled servers. It ignores files whose names are not server ids, and returns
// no servers if the directory does not exist. It returns an error if the directory cannot be read,
// for example because the process has no free file descriptors. If List returned no servers instead,
// the router would send requests to every disabled server.
func (s Store) List() (map[routing.ServerID]bool, error) {
	if s == "" {
		return nil, nil
	}
	entries, err := os.ReadDir(string(s))
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, err
	}
	servers := make(map[routing.ServerID]bool, len(entries))
	for _, entry := range entries {
		if id, err := routing.ParseServerID(entry.Name()); err == nil {
			servers[id] = true
		}
	}
	return servers, nil
}

// Set stores whether a server is disabled.
func (s Store) Set(id routing.ServerID, disabled bool) error {
	if s == "" {
		return nil
	}
	path := filepath.Join(string(s), id.String())
	if !disabled {
		if err := os.Remove(path); !errors.Is(err, fs.ErrNotExist) {
			return err
		}
		return nil
	}
	if err := os.MkdirAll(string(s), dirMode); err != nil {
		return err
	}
	return os.WriteFile(path, nil, fileMode)
}
