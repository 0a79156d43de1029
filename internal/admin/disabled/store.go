// Package marks keeps which caches staff have taken out where it outlives the
// process: as one empty file each, so that a process and its successor, which share
// the folder, never write over each other.
package disabled

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"

	"garnetline/routing"
)

// Store is the folder of the marks. An empty one keeps nothing.
type Store string

// NewStore returns the folder of the marks in a state folder, which may be empty.
func NewStore(state string) Store {
	if state == "" {
		return ""
	}
	return Store(filepath.Join(state, "garnetline-disabled"))
}

// List returns what is marked. What is not a mark is passed over.
//
// Symptom guarded against: a folder that could not be read for want of descriptors
// looked empty, and every cache that was out came back.
func (d Store) List() (map[routing.ServerID]bool, error) {
	if d == "" {
		return nil, nil
	}
	l, err := os.ReadDir(string(d))
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, err
	}
	m := make(map[routing.ServerID]bool, len(l))
	for _, e := range l {
		if id, err := routing.ParseServerID(e.Name()); err == nil {
			m[id] = true
		}
	}
	return m, nil
}

// Set marks a server, or takes its mark away.
func (d Store) Set(id routing.ServerID, on bool) error {
	if d == "" {
		return nil
	}
	path := filepath.Join(string(d), id.String())
	if !on {
		if err := os.Remove(path); !errors.Is(err, fs.ErrNotExist) {
			return err
		}
		return nil
	}
	if err := os.MkdirAll(string(d), 0o700); err != nil {
		return err
	}
	return os.WriteFile(path, nil, 0o600)
}
