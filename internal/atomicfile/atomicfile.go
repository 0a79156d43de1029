// Package atomicfile replaces small state files atomically. The package has no state of its own.
// Its functions may be called from any goroutine, but each file must have one writer at a time.
package atomicfile

import "os"

const (
	// temporarySuffix is appended to the path of a state file to form the path of a temporary file.
	// Replace writes the new content to the temporary file and then renames it to the state file.
	temporarySuffix = ".new"
	// ownerOnly is the mode of state files, which other users must not read.
	ownerOnly = 0o600
)

// Replace creates the file at path or replaces its content atomically: if the process is killed
// during the call, the file has either the old or the new content. Replace does not sync the file
// to disk, so a crash of the machine can lose the new content.
func Replace(path string, content []byte) error {
	temporary := path + temporarySuffix
	if err := os.WriteFile(temporary, content, ownerOnly); err != nil {
		return err
	}
	return os.Rename(temporary, path)
}
