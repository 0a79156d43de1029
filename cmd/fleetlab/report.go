package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"github.com/urfave/cli/v3"
)

// report is a Markdown file of results. The first error of writing is kept, and returned when
// the file is closed.
type report struct {
	file *os.File
	err  error
}

// writeReport creates a file in a folder and calls write to fill it. Rows are in the file as
// soon as they are written, so that a long run shows what it has so far.
func writeReport(folder, name string, write func(*report) error) error {
	file, err := os.Create(filepath.Join(folder, name))
	if err != nil {
		return err
	}
	results := &report{file: file}
	writeErr := write(results)
	return errors.Join(writeErr, results.close())
}

// Write appends to the file. It is an io.Writer for tables that other packages format.
func (r *report) Write(text []byte) (int, error) {
	if r.err != nil {
		return 0, r.err
	}
	written, err := r.file.Write(text)
	r.err = err
	return written, err
}

func (r *report) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(r, format, args...) // r keeps the error
}

func (r *report) println(line string) { r.printf("%s\n", line) }

func (r *report) close() error { return errors.Join(r.err, r.file.Close()) }

// outFlag is the flag for the folder of a command's results.
func outFlag(files string) cli.Flag {
	return &cli.StringFlag{Name: "out", Usage: "`FOLDER` for " + files, Value: "."}
}
