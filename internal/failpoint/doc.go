// Package failpoint lets tests disturb a process of the program: its wall clock may jump and
// its saves may take long. The failpoints exist only in programs built with -tags faults; in
// every other build the functions do what the program would do without them.
//
// The package owns no state: each call reads files in the directory that TMPDIR names, which
// the test writes. All functions may be called from any goroutine.
package failpoint
