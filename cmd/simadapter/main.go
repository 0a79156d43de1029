// Command simadapter runs routers on standard input and output, in the line
// protocol of internal/wire: one independent decide.Router per instance.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"

	"garnetline/internal/simproto"
	"garnetline/routing"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}

// run answers batch after batch until the input ends.
func run(in io.Reader, w io.Writer) error {
	r, out := simproto.NewReader(in), bufio.NewWriterSize(w, 1<<16)
	routers := map[int]*routing.Router{}
	var line []byte
	var acts []routing.Action
	for {
		b, err := r.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		line = line[:0]
		by := -1
		for _, it := range b.Messages {
			switch it.Kind {
			case simproto.Start:
				if routers[it.Instance], err = routing.New(it.Settings, it.Seed); err != nil {
					return fmt.Errorf("instance %d: %w", it.Instance, err)
				}
				continue
			case simproto.Stop:
				delete(routers, it.Instance)
				continue
			}
			router := routers[it.Instance]
			if router == nil {
				continue
			}
			acts = router.Handle(b.Now, it.Event, acts[:0])
			if len(acts) > 0 && by != it.Instance {
				by = it.Instance
				line = simproto.AppendInstance(line, by)
			}
			for _, a := range acts {
				line = simproto.AppendAction(line, a)
			}
		}
		if _, err := out.Write(simproto.AppendReplyEnd(line)); err != nil {
			return fmt.Errorf("write: %w", err)
		}
		if err := out.Flush(); err != nil {
			return fmt.Errorf("write: %w", err)
		}
	}
}
