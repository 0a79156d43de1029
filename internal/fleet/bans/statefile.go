package bans

import (
	"encoding/json"
	"errors"
	"io/fs"
	"os"
	"path/filepath"

	"garnetline/internal/atomicfile"
	"garnetline/routing"
)

// stateFileName is the name of the file in the state folder that stores the local bans.
const stateFileName = "garnetline-bans.json"

// stateFile is the path of the file that stores the local bans for the next process. If the
// path is empty, nothing is stored.
type stateFile string

func newStateFile(folder string) stateFile {
	if folder == "" {
		return ""
	}
	return stateFile(filepath.Join(folder, stateFileName))
}

// load returns the stored bans, or an empty map if the file does not exist.
func (f stateFile) load() (map[routing.ServerID]LocalBan, error) {
	bans := map[routing.ServerID]LocalBan{}
	if f == "" {
		return bans, nil
	}
	text, err := os.ReadFile(string(f))
	if errors.Is(err, fs.ErrNotExist) {
		return bans, nil
	}
	if err != nil {
		return nil, err
	}
	if err := json.Unmarshal(text, &bans); err != nil {
		return nil, err
	}
	return bans, nil
}

// save atomically replaces the stored bans.
func (f stateFile) save(bans map[routing.ServerID]LocalBan) error {
	if f == "" {
		return nil
	}
	text, err := json.Marshal(bans)
	if err != nil {
		return err
	}
	return atomicfile.Replace(string(f), text)
}
