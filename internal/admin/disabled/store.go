// Package disabled stores which servers operators have disabled, for the next process of the
// same router. Each is one empty file, so that a process and its successor, which share the
// folder for a while, never overwrite each other. A Store holds no state of its own and may
// be used from any goroutine.
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

// Store is the path of the folder. The empty Store keeps nothing.
type Store string

// NewStore returns the store in a state folder; "" gives the empty Store. The folder is made
// by the first Set.
func NewStore(stateDir string) Store {
	if stateDir == "" {
		return ""
	}
	return Store(filepath.Join(stateDir, dirName))
}

// List returns the disabled servers. Other files are ignored, and a folder that is not there
// is empty; one that cannot be read is an error.
//
// Symptom guarded against: a folder that could not be read for want of descriptors looked
// empty, and every disabled server was enabled.
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

// Set stores that a server is disabled, or that it is not.
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
