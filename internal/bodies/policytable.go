package bodies

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Idempotency tells whether a request of a class may be retried after an attempt that a server may
// have executed.
type Idempotency uint8

// The kinds of idempotency.
const (
	Idempotent Idempotency = iota
	IdempotentWithKey
	NonIdempotent
)

// Texts of the table about retries.
const (
	textRetried         = "retried"
	textRetriedInWindow = "retried within the key's window"
	textFailed          = "failed"
	textRetriedIfUnsent = "failed, unless none of it was sent"
)

// retryText returns the text for a retained body after an attempt that may have been executed.
func (i Idempotency) retryText() string {
	switch i {
	case Idempotent:
		return textRetried
	case IdempotentWithKey:
		return textRetriedInWindow
	case NonIdempotent:
		return textFailed
	}
	return ""
}

// WritePolicyTable writes a table for operators that shows, for each class and each range of body
// sizes, where bodies are retained and when they are retried. Classes that are missing from
// idempotency are Idempotent.
func WritePolicyTable(w io.Writer, classes []Class, idempotency map[string]Idempotency) error {
	table := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	lines := &lineWriter{w: table}
	lines.printf("class\tbody size\tretained in\tafter an attempt that may have been executed\tafter an attempt known not to have been executed\n")
	for _, class := range classes {
		writeClass(lines, class, idempotency[class.Name])
	}
	if lines.err != nil {
		return lines.err
	}
	return table.Flush()
}

// writeClass writes one line for each location that a body of the class can have, with the range of
// sizes, and one for bodies that are too long.
func writeClass(lines *lineWriter, class Class, idempotency Idempotency) {
	ranges := []struct {
		to       int64 // bytes
		location Location
	}{
		{class.MaxMemoryBytes, InMemory},
		{class.MaxDiskBytes, OnDisk},
		{class.MaxBytes, NotRetained},
	}
	from := int64(1)
	for _, sizes := range ranges {
		if sizes.to < from {
			continue
		}
		maybeExecuted, notExecuted := idempotency.retryText(), textRetried
		if sizes.location == NotRetained {
			maybeExecuted, notExecuted = textFailed, textRetriedIfUnsent
		}
		lines.printf("%s\t%d to %d bytes\t%v\t%s\t%s\n", class.Name, from, sizes.to, sizes.location, maybeExecuted, notExecuted)
		from = sizes.to + 1
	}
	lines.printf("%s\tmore\t-\trejected with status 413; aborted if part of it was sent\t\n", class.Name)
}

// lineWriter writes formatted lines until the first error and keeps that error.
type lineWriter struct {
	w   io.Writer
	err error
}

func (l *lineWriter) printf(format string, arguments ...any) {
	if l.err == nil {
		_, l.err = fmt.Fprintf(l.w, format, arguments...)
	}
}
