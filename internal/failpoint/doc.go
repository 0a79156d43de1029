// Package failpoint lets tests inject faults into a running program: steps of the wall clock and
// slow syncs of files to disk. The faults are possible only in programs built with -tags faults.
// In other builds, WallClock returns the real time and BeforeSync does nothing.
//
// The package has no state of its own: with -tags faults, each call reads a file that the test
// writes to the directory that the environment variable TMPDIR names. All functions are safe for
// concurrent use.
package failpoint
