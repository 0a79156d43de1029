package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"

	"garnetline/internal/simproto"
	"garnetline/routing"
)

// outputBufferSize is the size of the write buffer in bytes.
const outputBufferSize = 1 << 16

// noInstance is the value of adapter.replyInstance while the reply has no actions.
const noInstance = -1

// adapter runs the routers of all instances in this process.
type adapter struct {
	routers       map[int]*routing.Router // by instance
	reply         []byte                  // reply to the current batch
	replyInstance int                     // instance of the last action in reply, or noInstance
	actions       []routing.Action        // actions for the current event; the slice is reused for each event
}

// run reads batches from input and writes one reply for each batch to output until the input ends.
// It flushes every reply immediately, because the simulator waits for the reply.
func run(input io.Reader, output io.Writer) error {
	reader := simproto.NewReader(input)
	writer := bufio.NewWriterSize(output, outputBufferSize)
	adapter := adapter{routers: map[int]*routing.Router{}}
	for {
		batch, err := reader.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		reply, err := adapter.answer(&batch)
		if err != nil {
			return err
		}
		if _, err := writer.Write(reply); err != nil {
			return fmt.Errorf("write reply: %w", err)
		}
		if err := writer.Flush(); err != nil {
			return fmt.Errorf("write reply: %w", err)
		}
	}
}

// answer handles the messages of a batch and returns the reply, which is valid until the next
// call. It returns an error if the settings of an instance are invalid.
func (a *adapter) answer(batch *simproto.Batch) ([]byte, error) {
	a.reply = a.reply[:0]
	a.replyInstance = noInstance
	for i := range batch.Messages {
		message := &batch.Messages[i]
		switch message.Kind {
		case simproto.InstanceStart:
			router, err := routing.New(message.Settings, message.Seed)
			if err != nil {
				return nil, fmt.Errorf("instance %d: %w", message.Instance, err)
			}
			a.routers[message.Instance] = router
		case simproto.InstanceStop:
			delete(a.routers, message.Instance)
		case simproto.InstanceEvent:
			a.handleEvent(batch, message)
		}
	}
	a.reply = simproto.AppendReplyEnd(a.reply)
	return a.reply, nil
}

// handleEvent passes an event to the router of its instance and appends the router's actions to the
// reply. Events for an instance that is not running are ignored.
func (a *adapter) handleEvent(batch *simproto.Batch, message *simproto.Message) {
	router := a.routers[message.Instance]
	if router == nil {
		return
	}
	a.actions = router.Handle(batch.Now, message.Event, a.actions[:0])
	if len(a.actions) > 0 && a.replyInstance != message.Instance {
		a.replyInstance = message.Instance
		a.reply = simproto.AppendInstance(a.reply, message.Instance)
	}
	for _, action := range a.actions {
		a.reply = simproto.AppendAction(a.reply, action)
	}
}
