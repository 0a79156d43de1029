// Package atomicfile replaces small state files. It owns no state, and any goroutine may call
// it; a file has one writer at a time.
package atomicfile

import "os"

const (
	// temporarySuffix names the file that is written before it takes the place of the other.
	temporarySuffix = ".new"
	// ownerOnly is the mode of state files: no other user reads them.
	ownerOnly = 0o600
)

// Replace replaces the content of the file at path, as a whole or not at all: a process that
// is killed meanwhile leaves the old content. It does not wait for the disk.
func Replace(path string, content []byte) error {
	temporary := path + temporarySuffix
	if err := os.WriteFile(temporary, content, ownerOnly); err != nil {
		return err
	}
	return os.Rename(temporary, path)
}
