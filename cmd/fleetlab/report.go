package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"github.com/urfave/cli/v3"
)

// report is a Markdown file of results. It keeps the first write error. The method close returns that
// error.
type report struct {
	file *os.File
	err  error
}

// writeReport creates a file in a folder and calls the function write to fill the file. Writes are
// not buffered, so that a user can read the first results while a long run continues.
func writeReport(folder, name string, write func(*report) error) error {
	file, err := os.Create(filepath.Join(folder, name))
	if err != nil {
		return err
	}
	results := &report{file: file}
	writeErr := write(results)
	return errors.Join(writeErr, results.close())
}

// Write appends to the file. It implements io.Writer for tables that other packages format. After
// a failed write, it writes nothing and returns the error of that write.
func (r *report) Write(text []byte) (int, error) {
	if r.err != nil {
		return 0, r.err
	}
	written, err := r.file.Write(text)
	r.err = err
	return written, err
}

func (r *report) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(r, format, args...) // r keeps the error, and close returns it
}

func (r *report) println(line string) { r.printf("%s\n", line) }

func (r *report) close() error { return errors.Join(r.err, r.file.Close()) }

// outFlag returns the flag --out, which sets the folder for the files that a command writes. The help
// of the flag contains the given description of these files.
func outFlag(description string) cli.Flag {
	return &cli.StringFlag{Name: "out", Usage: "`FOLDER` for " + description, Value: "."}
}
