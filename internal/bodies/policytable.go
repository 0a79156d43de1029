package bodies

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Idempotency is whether a request of a class may be repeated after an attempt that may have
// been executed.
type Idempotency uint8

// The kinds of idempotency.
const (
	Idempotent Idempotency = iota
	IdempotentWithKey
	NonIdempotent
)

// What the table says about a retry.
const (
	textRetried         = "sent again"
	textRetriedInWindow = "sent again within the key's window"
	textFailed          = "failed"
	textRetriedIfUnsent = "failed, unless nothing of it had left"
)

// retryText returns what happens to a retained body after an attempt that may have been executed.
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

// WritePolicyTable writes, for operators, what happens to the bodies of each class by their size.
// Classes that the map does not name are Idempotent.
func WritePolicyTable(w io.Writer, classes []Class, idempotency map[string]Idempotency) error {
	table := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	lines := &lineWriter{w: table}
	lines.printf("class\tbody of\tis kept in\tafter an attempt that may have run\tafter one that proved not to\n")
	for _, class := range classes {
		writeClass(lines, class, idempotency[class.Name])
	}
	if lines.err != nil {
		return lines.err
	}
	return table.Flush()
}

// writeClass writes a line for each range of sizes that has its own location.
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
	lines.printf("%s\tmore\t-\trefused, 413; given up if some of it had left\t\n", class.Name)
}

// lineWriter writes formatted lines until the first error, which it retains.
type lineWriter struct {
	w   io.Writer
	err error
}

func (l *lineWriter) printf(format string, arguments ...any) {
	if l.err == nil {
		_, l.err = fmt.Fprintf(l.w, format, arguments...)
	}
}
