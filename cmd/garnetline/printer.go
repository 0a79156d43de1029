package main

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// printer writes lines until a write fails, and keeps that error.
type printer struct {
	out io.Writer
	err error
}

// linef writes one line, unless an earlier write has failed.
func (p *printer) linef(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.out, format+"\n", args...)
	}
}

// table is a printer of lines whose tab-separated cells are aligned in columns.
type table struct {
	printer
	columns *tabwriter.Writer
}

func newTable(out io.Writer) *table {
	columns := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	return &table{printer: printer{out: columns}, columns: columns}
}

// flush writes the table out, and returns the first error of all writes.
func (t *table) flush() error {
	if t.err != nil {
		return t.err
	}
	return t.columns.Flush()
}
