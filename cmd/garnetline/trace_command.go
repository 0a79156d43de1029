package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"slices"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"garnetline/internal/operatorconfig"
	"garnetline/internal/trace"
	"garnetline/internal/trace/analysis"
	"garnetline/internal/trace/render"
	"garnetline/internal/trace/store"
	"garnetline/routing"
)

const (
	// followInterval is the time between two searches of the directories for new traces.
	followInterval = 300 * time.Millisecond
	// followLookBack is the maximum time, in ms, between the start of a trace and the moment when
	// the trace is written. It covers the longest wait of a client plus one sampling window, at
	// whose end the router decides which traces of ordinary requests it retains.
	followLookBack = 120_000
	// waterfallWidth is the width, in characters, of the bars in the output of "trace show".
	waterfallWidth = 40
	// defaultMostTraces is the default of --most.
	defaultMostTraces = 50
)

// The output formats of the command "trace export".
const (
	exportOTLP = "otlp"
	exportHTML = "html"
)

// newTraceCommand returns the commands that show retained traces. They print to out.
func newTraceCommand(out io.Writer) *cli.Command {
	sources := []cli.Flag{
		&cli.StringSliceFlag{Name: "folder", Usage: "`FOLDER` with trace segments; may be repeated, for the traces of several routers"},
		&cli.StringFlag{Name: "settings", Usage: "operators' settings `FILE` that names the folder; used without --folder"},
	}
	filters := slices.Concat(sources, traceFilterFlags())
	most := &cli.IntFlag{Name: "most", Usage: "maximum number of results", Value: defaultMostTraces}
	limited := slices.Concat(filters, []cli.Flag{most})
	export := slices.Concat(limited, []cli.Flag{
		&cli.StringFlag{Name: "as", Usage: "output format: otlp or html", Value: exportOTLP},
		&cli.StringFlag{Name: "id", Usage: "export only the trace with this id"},
	})
	return &cli.Command{Name: "trace", Usage: "show the retained traces of requests", Commands: []*cli.Command{
		{Name: "list", Usage: "print a line for each trace", Flags: limited,
			Action: func(_ context.Context, command *cli.Command) error { return listTraces(command, out) }},
		{Name: "show", Usage: "show one trace as a waterfall, with all attempts at all routers", ArgsUsage: "ID", Flags: sources,
			Action: func(_ context.Context, command *cli.Command) error { return showTrace(command, out) }},
		{Name: "follow", Usage: "print a line for each trace when it is retained, until interrupted", Flags: filters,
			Action: func(ctx context.Context, command *cli.Command) error {
				ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
				defer stop()
				return followTraces(ctx, command, out)
			}},
		{Name: "blame", Usage: "show which server, fill source or router failed attempts have in common", Flags: limited,
			Action: func(_ context.Context, command *cli.Command) error { return blameTraces(command, out) }},
		{Name: "export", Usage: "export traces as OTLP JSON, one trace a line, or as an HTML page", Flags: export,
			Action: func(_ context.Context, command *cli.Command) error { return exportTraces(command, out) }},
	}}
}

func traceFilterFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "class", Usage: "only traces of requests of this `CLASS`"},
		&cli.StringFlag{Name: "txn", Usage: "only the trace of the request with this X-Txn"},
		&cli.StringSliceFlag{Name: "outcome", Usage: "only traces with this outcome: failed, refused, served, same or left; may be repeated"},
		&cli.StringFlag{Name: "server", Usage: "only traces that involve this server or fill source, for example s-0000002a"},
		&cli.FloatFlag{Name: "slower", Usage: "only traces that took `MS` milliseconds or more"},
		&cli.IntFlag{Name: "tries", Usage: "only traces with `N` attempts or more"},
		&cli.DurationFlag{Name: "since", Usage: "only traces that began within this time before now, for example 15m"},
	}
}

// listTraces prints a line for each trace that the flags select, up to --most lines.
func listTraces(command *cli.Command, out io.Writer) error {
	most := command.Int("most")
	count := 0
	lines := &printer{out: out}
	printTraceHeader(lines)
	err := forEachTrace(command, func(found *trace.Trace) bool {
		printTraceRow(lines, found)
		count++
		return count < most
	})
	if err != nil {
		return err
	}
	if count == most {
		lines.linef("(the first %d; --most shows more)", count)
	}
	return lines.err
}

// showTrace prints one trace as a waterfall. It merges the partial traces that the routers
// retained.
func showTrace(command *cli.Command, out io.Writer) error {
	id, ok := trace.ParseID(command.Args().First())
	if !ok {
		return fmt.Errorf("trace show: ID: expected 32 lower-case hex digits that are not all 0, got %q", command.Args().First())
	}
	pieces, err := findTrace(command, id)
	if err != nil {
		return err
	}
	lines := &printer{out: out}
	for _, piece := range pieces {
		printTraceRow(lines, piece)
	}
	if err := render.Waterfall(out, trace.Merge(id, pieces), waterfallWidth); err != nil {
		return err
	}
	for _, piece := range pieces {
		for _, link := range piece.Links {
			lines.linef("at %s it rode a fill of trace %v", piece.Router, link.Trace)
		}
	}
	return lines.err
}

// blameTraces prints the servers, fill sources and routers of failed attempts. It begins with those
// whose attempts fail most often in comparison with all other attempts.
func blameTraces(command *cli.Command, out io.Writer) error {
	analysis, count := analysis.New(), 0
	err := forEachTrace(command, func(found *trace.Trace) bool {
		analysis.Add(found)
		count++
		return true
	})
	if err != nil {
		return err
	}
	lines := &printer{out: out}
	lines.linef("%d traces; failed attempts with it, without it, and the difference with 95%% confidence", count)
	for i, suspect := range analysis.Suspects() {
		if i == command.Int("most") {
			break
		}
		lines.linef("%s", suspect.Line())
	}
	return lines.err
}

// traceFilter returns the filter that the flags describe.
func traceFilter(command *cli.Command) (store.Filter, error) {
	filter := store.Filter{
		TransactionID: command.String("txn"),
		Class:         command.String("class"),
		MinDuration:   command.Float("slower"),
		MinAttempts:   command.Int("tries"),
	}
	if since := command.Duration("since"); since > 0 {
		filter.From = float64(time.Now().Add(-since).UnixMilli())
	}
	for _, name := range command.StringSlice("outcome") {
		outcome, ok := trace.ParseOutcome(name)
		if !ok {
			return filter, fmt.Errorf("--outcome: expected failed, refused, served, same or left, got %q", name)
		}
		filter.Outcomes |= 1 << outcome
	}
	if name := command.String("server"); name != "" {
		server, err := routing.ParseServerID(name)
		if err != nil {
			return filter, fmt.Errorf("--server: %w", err)
		}
		filter.Server = server
	}
	return filter, nil
}

// openIndexes reads the trace directories that --folder names. Without --folder, it reads the
// directory that the settings file names.
func openIndexes(command *cli.Command) ([]*store.Index, error) {
	folders := command.StringSlice("folder")
	if len(folders) == 0 {
		operators, err := operatorconfig.Load(command.String("settings"))
		if err != nil {
			return nil, err
		}
		if operators.Trace.Dir == "" {
			return nil, errors.New("trace: expected --folder, or --settings with a trace block that names a folder, got neither")
		}
		folders = []string{operators.Trace.Dir}
	}
	var indexes []*store.Index
	for _, folder := range folders {
		index, err := store.Read(folder)
		if err != nil {
			return nil, err
		}
		indexes = append(indexes, index)
	}
	return indexes, nil
}

// forEachTrace calls visit with each trace that the flags select, until visit returns false.
func forEachTrace(command *cli.Command, visit func(*trace.Trace) bool) error {
	filter, err := traceFilter(command)
	if err != nil {
		return err
	}
	return queryTraces(command, filter, visit)
}

// queryTraces calls visit with each trace that filter selects, until visit returns false. If the
// query of one directory fails, queryTraces still queries the other directories. It returns the
// first error.
func queryTraces(command *cli.Command, filter store.Filter, visit func(*trace.Trace) bool) error {
	indexes, err := openIndexes(command)
	for _, index := range indexes {
		more := true
		_, queryErr := index.Query(filter, func(found *trace.Trace) bool {
			more = visit(found)
			return more
		})
		if err == nil {
			err = queryErr
		}
		if !more {
			break
		}
	}
	return err
}

// findTrace returns the partial traces with the given id, which several routers may have retained.
// It returns an error if there are none.
func findTrace(command *cli.Command, id trace.ID) ([]*trace.Trace, error) {
	var pieces []*trace.Trace
	err := queryTraces(command, store.Filter{ID: id}, func(piece *trace.Trace) bool {
		pieces = append(pieces, piece)
		return true
	})
	if err == nil && len(pieces) == 0 {
		err = fmt.Errorf("trace %v: not found in the trace directories", id)
	}
	return pieces, err
}

func printTraceHeader(lines *printer) {
	lines.linef("%-32s  %-23s  %-8s %-12s %-8s %9s  tries  %s", "trace", "began", "router", "class", "outcome", "ms", "kept for")
}

func printTraceRow(lines *printer, found *trace.Trace) {
	began := time.UnixMilli(int64(found.Start)).UTC().Format("2006-01-02 15:04:05.000")
	row := fmt.Sprintf("%v  %s  %-8s %-12s %-8v %9.1f  %d+%d    %s", found.ID, began, found.Router, found.Class, found.Outcome,
		found.Duration(), found.Retry, found.Attempts, render.ReasonNames(found.Reasons))
	if found.Weight > 1 {
		row += fmt.Sprintf(" (for %.1f)", found.Weight)
	}
	if found.LostBefore > 0 {
		row += fmt.Sprintf(" (%d lost before it)", found.LostBefore)
	}
	lines.linef("%s", row)
}

// followTraces prints a line for each trace that is retained after the call, until ctx ends.
func followTraces(ctx context.Context, command *cli.Command, out io.Writer) error {
	lines := &printer{out: out}
	printTraceHeader(lines)
	filter, err := traceFilter(command)
	if err != nil {
		return err
	}
	var known map[trace.SpanID]bool // ids of the first spans of the traces that the previous query found
	ticker := time.NewTicker(followInterval)
	defer ticker.Stop()
	for first := true; ; first = false {
		seen := map[trace.SpanID]bool{}
		filter.From = float64(time.Now().UnixMilli()) - followLookBack
		err := queryTraces(command, filter, func(found *trace.Trace) bool {
			if len(found.Spans) == 0 {
				return true
			}
			id := found.Spans[0].ID
			seen[id] = true
			if !first && !known[id] {
				printTraceRow(lines, found)
			}
			return true
		})
		if err != nil {
			return err
		}
		known = seen
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// exportTraces writes the traces that the flags select as OTLP JSON or as an HTML page.
func exportTraces(command *cli.Command, out io.Writer) error {
	format := command.String("as")
	if format != exportOTLP && format != exportHTML {
		return fmt.Errorf("--as: expected otlp or html, got %q", format)
	}
	ids, pieces, err := tracesToExport(command)
	if err != nil {
		return err
	}
	var pages [][]trace.Span
	for _, id := range ids {
		spans := trace.Merge(id, pieces[id])
		if format == exportHTML {
			pages = append(pages, spans)
			continue
		}
		if err := render.OTLP(out, id, spans, pieces[id]); err != nil {
			return err
		}
	}
	if format == exportHTML {
		return render.Page(out, "garnetline traces", pages)
	}
	return nil
}

// tracesToExport returns the ids of the traces that the flags select, in the order in which they
// are found, and the partial traces of each id.
func tracesToExport(command *cli.Command) ([]trace.ID, map[trace.ID][]*trace.Trace, error) {
	if text := command.String("id"); text != "" {
		id, ok := trace.ParseID(text)
		if !ok {
			return nil, nil, fmt.Errorf("--id: expected 32 lower-case hex digits that are not all 0, got %q", text)
		}
		found, err := findTrace(command, id)
		return []trace.ID{id}, map[trace.ID][]*trace.Trace{id: found}, err
	}
	var ids []trace.ID
	pieces := map[trace.ID][]*trace.Trace{}
	err := forEachTrace(command, func(found *trace.Trace) bool {
		if pieces[found.ID] == nil {
			ids = append(ids, found.ID)
		}
		pieces[found.ID] = append(pieces[found.ID], found)
		return len(ids) < command.Int("most")
	})
	return ids, pieces, err
}
