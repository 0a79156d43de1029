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
	"garnetline/internal/trace/blame"
	"garnetline/internal/trace/render"
	"garnetline/internal/trace/store"
	"garnetline/routing"
)

// followEvery is how often the folder is looked at for new traces.
const followEvery = 300 * time.Millisecond

// lookBack is how long ago, in ms, what is kept now may have begun: the longest wait of
// a client, and a window of ordinary traces.
const lookBack = 120_000

// traceCommand is what shows the traces that were kept. It writes to out.
func traceCommand(out io.Writer) *cli.Command {
	folders := &cli.StringSliceFlag{Name: "folder", Usage: "`FOLDER` of segments; may be given for each of several routers"}
	ops := &cli.StringFlag{Name: "settings", Usage: "operators' `FILE` that names the folder"}
	which := []cli.Flag{folders, ops,
		&cli.StringFlag{Name: "class", Usage: "of this `CLASS`"},
		&cli.StringFlag{Name: "txn", Usage: "of the try with this X-Txn"},
		&cli.StringSliceFlag{Name: "outcome", Usage: "that ended so: failed, refused, served, same or left"},
		&cli.StringFlag{Name: "server", Usage: "in which this server or source had a part, as in s-0000002a"},
		&cli.FloatFlag{Name: "slower", Usage: "that took `MS` or more"},
		&cli.IntFlag{Name: "tries", Usage: "with `N` attempts or more"},
		&cli.DurationFlag{Name: "since", Usage: "that began within this time until now, as in 15m"},
	}
	most := &cli.IntFlag{Name: "most", Usage: "so many at the most", Value: 50}
	return &cli.Command{Name: "trace", Usage: "show what was kept of requests", Commands: []*cli.Command{
		{Name: "list", Usage: "a line for each trace", Flags: slices.Concat(which, []cli.Flag{most}),
			Action: func(_ context.Context, c *cli.Command) error {
				n := 0
				head(out)
				err := each(c, func(t *trace.Trace) bool { row(out, t); n++; return n < c.Int("most") })
				if err == nil && n == c.Int("most") {
					fmt.Fprintf(out, "(the first %d; --most shows more)\n", n)
				}
				return err
			}},
		{Name: "show", Usage: "one trace as a waterfall, all its tries at all routers", ArgsUsage: "ID", Flags: []cli.Flag{folders, ops},
			Action: func(_ context.Context, c *cli.Command) error {
				id, ok := trace.ParseID(c.Args().First())
				if !ok {
					return errors.New("trace show: ID: want 32 hex digits")
				}
				pieces, err := find(c, id)
				if err != nil {
					return err
				}
				for _, t := range pieces {
					row(out, t)
				}
				if err := render.Waterfall(out, trace.Merge(id, pieces), 40); err != nil {
					return err
				}
				for _, t := range pieces {
					for _, l := range t.Links {
						fmt.Fprintf(out, "at %s it rode a fill of trace %v\n", t.Router, l.Trace)
					}
				}
				return nil
			}},
		{Name: "follow", Usage: "a line for each trace as it is kept, until interrupted", Flags: which,
			Action: func(ctx context.Context, c *cli.Command) error {
				ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
				defer stop()
				return follow(ctx, c, out)
			}},
		{Name: "blame", Usage: "which server, source or router failed attempts have in common", Flags: slices.Concat(which, []cli.Flag{most}),
			Action: func(_ context.Context, c *cli.Command) error {
				f, n := blame.New(), 0
				if err := each(c, func(t *trace.Trace) bool { f.Add(t); n++; return true }); err != nil {
					return err
				}
				fmt.Fprintf(out, "%d traces; failed attempts with it, without it, and the difference with 95%% confidence\n", n)
				for i, s := range f.Suspects() {
					if i == c.Int("most") {
						break
					}
					fmt.Fprintln(out, s.Line())
				}
				return nil
			}},
		{Name: "export", Usage: "traces as OTLP JSON, one a line, or as a page", Flags: slices.Concat(which, []cli.Flag{most,
			&cli.StringFlag{Name: "as", Usage: "otlp or html", Value: "otlp"}, &cli.StringFlag{Name: "id", Usage: "this trace alone"}}),
			Action: func(_ context.Context, c *cli.Command) error { return convert(c, out) }},
	}}
}

// filter reads the flags that say which traces are wanted.
func filter(c *cli.Command) (f store.Filter, err error) {
	f.Txn = c.String("txn")
	f.Class, f.Slower, f.Attempts = c.String("class"), c.Float("slower"), c.Int("tries")
	if d := c.Duration("since"); d > 0 {
		f.From = float64(time.Now().Add(-d).UnixMilli())
	}
	for _, name := range c.StringSlice("outcome") {
		o, ok := trace.ParseOutcome(name)
		if !ok {
			return f, fmt.Errorf("--outcome: %q is none", name)
		}
		f.Outcome |= 1 << o
	}
	if s := c.String("server"); s != "" {
		if f.Server, err = routing.ParseServerID(s); err != nil {
			return f, fmt.Errorf("--server: %w", err)
		}
	}
	return f, nil
}

// indexes reads the folders that the flags name.
func indexes(c *cli.Command) (all []*store.Index, err error) {
	folders := c.StringSlice("folder")
	if len(folders) == 0 {
		file, err := operatorconfig.Load(c.String("settings"))
		if err != nil {
			return nil, err
		}
		if file.Trace.Dir == "" {
			return nil, errors.New("trace: --folder, or --settings with a trace block that names one, is wanted")
		}
		folders = []string{file.Trace.Dir}
	}
	for _, f := range folders {
		x, err := store.Read(f)
		if err != nil {
			return nil, err
		}
		all = append(all, x)
	}
	return all, nil
}

// each calls do with each trace that the flags want until it returns false.
func each(c *cli.Command, do func(*trace.Trace) bool) error {
	f, err := filter(c)
	if err != nil {
		return err
	}
	return query(c, f, do)
}

func query(c *cli.Command, f store.Filter, do func(*trace.Trace) bool) error {
	all, err := indexes(c)
	for _, x := range all {
		more := true
		if _, e := x.Query(f, func(t *trace.Trace) bool { more = do(t); return more }); e != nil && err == nil {
			err = e
		}
		if !more {
			break
		}
	}
	return err
}

// find returns the pieces of one trace.
func find(c *cli.Command, id trace.ID) (pieces []*trace.Trace, err error) {
	all, err := indexes(c)
	for _, x := range all {
		if _, e := x.Query(store.Filter{ID: id}, func(t *trace.Trace) bool { pieces = append(pieces, t); return true }); e != nil && err == nil {
			err = e
		}
	}
	if err == nil && len(pieces) == 0 {
		err = fmt.Errorf("trace %v: not kept here", id)
	}
	return pieces, err
}

func head(out io.Writer) {
	fmt.Fprintf(out, "%-32s  %-23s  %-8s %-12s %-8s %9s  tries  %s\n", "trace", "began", "router", "class", "outcome", "ms", "kept for")
}

func row(out io.Writer, t *trace.Trace) {
	began := time.UnixMilli(int64(t.Start)).UTC().Format("2006-01-02 15:04:05.000")
	fmt.Fprintf(out, "%v  %s  %-8s %-12s %-8v %9.1f  %d+%d    %s", t.ID, began, t.Router, t.Class, t.Outcome, t.Took(), t.Try, t.Attempts, render.Whys(t.Why))
	if t.Weight > 1 {
		fmt.Fprintf(out, " (for %.1f)", t.Weight)
	}
	if t.Lost > 0 {
		fmt.Fprintf(out, " (%d lost before it)", t.Lost)
	}
	fmt.Fprintln(out)
}

// follow prints what is kept from now on.
func follow(ctx context.Context, c *cli.Command, out io.Writer) error {
	seen := map[trace.SpanID]bool{} // of the pieces' own requests
	tick := time.NewTicker(followEvery)
	defer tick.Stop()
	head(out)
	f, err := filter(c)
	if err != nil {
		return err
	}
	for first := true; ; first = false {
		was := seen
		seen = map[trace.SpanID]bool{}
		f.From = float64(time.Now().UnixMilli()) - lookBack
		err := query(c, f, func(t *trace.Trace) bool {
			if len(t.Spans) > 0 {
				seen[t.Spans[0].ID] = true
				if !first && !was[t.Spans[0].ID] {
					row(out, t)
				}
			}
			return true
		})
		if err != nil {
			return err
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// convert writes the traces that are wanted in another form.
func convert(c *cli.Command, out io.Writer) error {
	as := c.String("as")
	if as != "otlp" && as != "html" {
		return fmt.Errorf("--as: %q is neither otlp nor html", as)
	}
	var ids []trace.ID
	by := map[trace.ID][]*trace.Trace{}
	take := func(t *trace.Trace) bool {
		if by[t.ID] == nil {
			ids = append(ids, t.ID)
		}
		by[t.ID] = append(by[t.ID], t)
		return len(ids) < c.Int("most")
	}
	if s := c.String("id"); s != "" {
		id, ok := trace.ParseID(s)
		if !ok {
			return errors.New("--id: want 32 hex digits")
		}
		pieces, err := find(c, id)
		if err != nil {
			return err
		}
		ids, by[id] = []trace.ID{id}, pieces
	} else if err := each(c, take); err != nil {
		return err
	}
	var pages [][]trace.Span
	for _, id := range ids {
		spans := trace.Merge(id, by[id])
		if as == "html" {
			pages = append(pages, spans)
		} else if err := render.OTLP(out, id, spans, by[id]); err != nil {
			return err
		}
	}
	if as == "html" {
		return render.Page(out, "garnetline traces", pages)
	}
	return nil
}
