package main

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// printer writes lines to out until a write fails, and keeps the error of that write in err.
type printer struct {
	out io.Writer
	err error
}

// linef writes one formatted line, unless an earlier write has failed.
func (p *printer) linef(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.out, format+"\n", args...)
	}
}

// table prints lines whose tab-separated cells are aligned in columns. The caller calls flush
// after the last line.
type table struct {
	printer
	columns *tabwriter.Writer
}

func newTable(out io.Writer) *table {
	columns := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	return &table{printer: printer{out: columns}, columns: columns}
}

// flush writes the aligned table to the writer given to newTable. It returns the first error of any
// write to the table.
func (t *table) flush() error {
	if t.err != nil {
		return t.err
	}
	return t.columns.Flush()
}
