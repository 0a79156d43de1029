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
func run(input io.Reader, output io.Writer) error {
	reader, writer := simproto.NewReader(input), bufio.NewWriterSize(output, 1<<16)
	routers := map[int]*routing.Router{}
	var reply []byte
	var actions []routing.Action
	for {
		batch, err := reader.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		reply = reply[:0]
		replyTo := -1
		for _, message := range batch.Messages {
			switch message.Kind {
			case simproto.InstanceStart:
				if routers[message.Instance], err = routing.New(message.Settings, message.Seed); err != nil {
					return fmt.Errorf("instance %d: %w", message.Instance, err)
				}
				continue
			case simproto.InstanceStop:
				delete(routers, message.Instance)
				continue
			}
			router := routers[message.Instance]
			if router == nil {
				continue
			}
			actions = router.Handle(batch.Now, message.Event, actions[:0])
			if len(actions) > 0 && replyTo != message.Instance {
				replyTo = message.Instance
				reply = simproto.AppendInstance(reply, replyTo)
			}
			for _, action := range actions {
				reply = simproto.AppendAction(reply, action)
			}
		}
		if _, err := writer.Write(simproto.AppendReplyEnd(reply)); err != nil {
			return fmt.Errorf("write: %w", err)
		}
		if err := writer.Flush(); err != nil {
			return fmt.Errorf("write: %w", err)
		}
	}
}
