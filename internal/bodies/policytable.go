package bodies

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Idempotency tells whether a request of a class may be retried although a server may have executed
// an earlier attempt.
type Idempotency uint8

// The kinds of idempotency.
const (
	Idempotent Idempotency = iota
	IdempotentWithKey
	NonIdempotent
)

// Texts in the policy table that tell whether a request is retried.
const (
	textRetried         = "retried"
	textRetriedInWindow = "retried within the key's window"
	textFailed          = "failed"
	textRetriedIfUnsent = "failed, unless none of it was sent"
)

// retryText returns the text for a request with a retained body after an attempt that a server may
// have executed.
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

// WritePolicyTable writes a table for operators. For each class and each range of body sizes, the
// table shows where bodies are retained and when their requests are retried. The keys of idempotency
// are class names. A class that is missing from idempotency is treated as Idempotent.
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

// writeClass writes one line for each location that a body of the class can have. The line contains
// the range of body sizes for that location. writeClass then writes a line for bodies that are too
// long.
func writeClass(lines *lineWriter, class Class, idempotency Idempotency) {
	ranges := []struct {
		maxSize  int64 // bytes
		location Location
	}{
		{class.MaxMemoryBytes, InMemory},
		{class.MaxDiskBytes, OnDisk},
		{class.MaxBytes, NotRetained},
	}
	minSize := int64(1)
	for _, sizes := range ranges {
		if sizes.maxSize < minSize {
			continue
		}
		maybeExecuted, notExecuted := idempotency.retryText(), textRetried
		if sizes.location == NotRetained {
			maybeExecuted, notExecuted = textFailed, textRetriedIfUnsent
		}
		lines.printf("%s\t%d to %d bytes\t%v\t%s\t%s\n", class.Name, minSize, sizes.maxSize, sizes.location, maybeExecuted, notExecuted)
		minSize = sizes.maxSize + 1
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
