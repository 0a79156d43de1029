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
	// followInterval is how often the folders are read for new traces.
	followInterval = 300 * time.Millisecond
	// followLookBack is how long ago, in ms, a trace that is retained now may have begun: the
	// longest wait of a client, and a window of ordinary traces.
	followLookBack = 120_000
	// waterfallWidth is the width of the bars of trace show, in characters.
	waterfallWidth = 40
	// defaultMostTraces is what --most has without a value.
	defaultMostTraces = 50
)

// The forms of trace export.
const (
	exportOTLP = "otlp"
	exportHTML = "html"
)

// newTraceCommand returns the commands that show retained traces. They write to out.
func newTraceCommand(out io.Writer) *cli.Command {
	sources := []cli.Flag{
		&cli.StringSliceFlag{Name: "folder", Usage: "`FOLDER` of segments; may be given for each of several routers"},
		&cli.StringFlag{Name: "settings", Usage: "operators' `FILE` that names the folder"},
	}
	filters := slices.Concat(sources, traceFilterFlags())
	most := &cli.IntFlag{Name: "most", Usage: "so many at the most", Value: defaultMostTraces}
	limited := slices.Concat(filters, []cli.Flag{most})
	export := slices.Concat(limited, []cli.Flag{
		&cli.StringFlag{Name: "as", Usage: "otlp or html", Value: exportOTLP},
		&cli.StringFlag{Name: "id", Usage: "this trace alone"},
	})
	return &cli.Command{Name: "trace", Usage: "show what was kept of requests", Commands: []*cli.Command{
		{Name: "list", Usage: "a line for each trace", Flags: limited,
			Action: func(_ context.Context, command *cli.Command) error { return listTraces(command, out) }},
		{Name: "show", Usage: "one trace as a waterfall, all its tries at all routers", ArgsUsage: "ID", Flags: sources,
			Action: func(_ context.Context, command *cli.Command) error { return showTrace(command, out) }},
		{Name: "follow", Usage: "a line for each trace as it is kept, until interrupted", Flags: filters,
			Action: func(ctx context.Context, command *cli.Command) error {
				ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
				defer stop()
				return followTraces(ctx, command, out)
			}},
		{Name: "blame", Usage: "which server, source or router failed attempts have in common", Flags: limited,
			Action: func(_ context.Context, command *cli.Command) error { return blameTraces(command, out) }},
		{Name: "export", Usage: "traces as OTLP JSON, one a line, or as a page", Flags: export,
			Action: func(_ context.Context, command *cli.Command) error { return exportTraces(command, out) }},
	}}
}

func traceFilterFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "class", Usage: "of this `CLASS`"},
		&cli.StringFlag{Name: "txn", Usage: "of the try with this X-Txn"},
		&cli.StringSliceFlag{Name: "outcome", Usage: "that ended so: failed, refused, served, same or left"},
		&cli.StringFlag{Name: "server", Usage: "in which this server or source had a part, as in s-0000002a"},
		&cli.FloatFlag{Name: "slower", Usage: "that took `MS` or more"},
		&cli.IntFlag{Name: "tries", Usage: "with `N` attempts or more"},
		&cli.DurationFlag{Name: "since", Usage: "that began within this time until now, as in 15m"},
	}
}

// listTraces prints a line for each trace that the flags want.
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

// showTrace prints all pieces of one trace, of all routers, as a waterfall.
func showTrace(command *cli.Command, out io.Writer) error {
	id, ok := trace.ParseID(command.Args().First())
	if !ok {
		return errors.New("trace show: ID: want 32 hex digits")
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

// blameTraces prints which servers, sources and routers failed attempts have in common.
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

// traceFilter reads the flags that say which traces are wanted.
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
			return filter, fmt.Errorf("--outcome: %q is none", name)
		}
		filter.Outcome |= 1 << outcome
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

// openIndexes reads the folders that the flags name.
func openIndexes(command *cli.Command) ([]*store.Index, error) {
	folders := command.StringSlice("folder")
	if len(folders) == 0 {
		operators, err := operatorconfig.Load(command.String("settings"))
		if err != nil {
			return nil, err
		}
		if operators.Trace.Dir == "" {
			return nil, errors.New("trace: --folder, or --settings with a trace block that names one, is wanted")
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

// forEachTrace calls visit with each trace that the flags want, until it returns false.
func forEachTrace(command *cli.Command, visit func(*trace.Trace) bool) error {
	filter, err := traceFilter(command)
	if err != nil {
		return err
	}
	return queryTraces(command, filter, visit)
}

// queryTraces is forEachTrace for a filter. A folder that cannot be read whole does not keep
// the others from being read; the first such error is returned.
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

// findTrace returns the pieces of one trace.
func findTrace(command *cli.Command, id trace.ID) ([]*trace.Trace, error) {
	var pieces []*trace.Trace
	err := queryTraces(command, store.Filter{ID: id}, func(piece *trace.Trace) bool {
		pieces = append(pieces, piece)
		return true
	})
	if err == nil && len(pieces) == 0 {
		err = fmt.Errorf("trace %v: not kept here", id)
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

// followTraces prints what is retained from now on, until ctx ends.
func followTraces(ctx context.Context, command *cli.Command, out io.Writer) error {
	lines := &printer{out: out}
	printTraceHeader(lines)
	filter, err := traceFilter(command)
	if err != nil {
		return err
	}
	var known map[trace.SpanID]bool // the first spans of the pieces of the look before
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

// exportTraces writes the traces that are wanted as OTLP or as a page.
func exportTraces(command *cli.Command, out io.Writer) error {
	form := command.String("as")
	if form != exportOTLP && form != exportHTML {
		return fmt.Errorf("--as: %q is neither otlp nor html", form)
	}
	ids, pieces, err := tracesToExport(command)
	if err != nil {
		return err
	}
	var pages [][]trace.Span
	for _, id := range ids {
		spans := trace.Merge(id, pieces[id])
		if form == exportHTML {
			pages = append(pages, spans)
			continue
		}
		if err := render.OTLP(out, id, spans, pieces[id]); err != nil {
			return err
		}
	}
	if form == exportHTML {
		return render.Page(out, "garnetline traces", pages)
	}
	return nil
}

// tracesToExport returns the ids of the traces that are wanted, in the order in which they
// were found, and the pieces of each.
func tracesToExport(command *cli.Command) ([]trace.ID, map[trace.ID][]*trace.Trace, error) {
	if text := command.String("id"); text != "" {
		id, ok := trace.ParseID(text)
		if !ok {
			return nil, nil, errors.New("--id: want 32 hex digits")
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
