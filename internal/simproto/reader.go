package simproto

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math"
	"strings"

	"garnetline/routing"
)

// inputBufferSize is in bytes. A batch can be megabytes long.
const inputBufferSize = 1 << 20

// noInstance is the instance of a Reader before a batch has selected one.
const noInstance = -1

// Reader reads batches. It is not safe for concurrent use.
type Reader struct {
	input    *bufio.Reader
	line     int         // number of the current line, counted from 1
	fields   fieldReader // of the current line
	instance int         // that the following messages are for, or noInstance

	// serverLists are kept by number after their batch, since later updates may name them.
	serverLists map[uint64][]routing.Server
	// loadFields are the names of the values in a load report, by instance.
	loadFields map[int][]string
}

// NewReader returns a Reader that reads batches from input. It reads ahead of what Next has
// returned.
func NewReader(input io.Reader) *Reader {
	return &Reader{
		input:       bufio.NewReaderSize(input, inputBufferSize),
		serverLists: map[uint64][]routing.Server{},
		loadFields:  map[int][]string{},
	}
}

// Next reads one batch. It returns io.EOF if the input ends between two batches, a *ParseError
// for input that does not follow the protocol, and the wrapped error of a read that failed.
// After an error the Reader must not be used any more.
func (r *Reader) Next() (Batch, error) {
	var batch Batch
	if err := r.readBatchStart(&batch); err != nil {
		return batch, err
	}
	r.instance = noInstance
	for {
		name, err := r.readLine()
		switch {
		case errors.Is(err, io.EOF):
			return batch, r.errorf("input ends inside a batch")
		case err != nil:
			return batch, err
		case name == messageBatchEnd:
			return batch, r.fields.end()
		}
		if err := r.readMessage(name, &batch); err != nil {
			return batch, err
		}
	}
}

// readBatchStart reads the line that begins a batch.
func (r *Reader) readBatchStart(batch *Batch) error {
	name, err := r.readLine()
	if err != nil {
		return err
	}
	if name != messageBatchStart {
		return r.errorf("want TURN, got %q", name)
	}
	batch.Now = r.fields.duration("clock_us")
	return r.fields.end()
}

// errorf returns an error about the whole current line.
func (r *Reader) errorf(format string, values ...any) error {
	return &ParseError{Line: r.line, Field: messageField, Reason: fmt.Sprintf(format, values...)}
}

// readLine reads the next line, makes its values the current fields and returns the name of its
// message. It returns io.EOF if there is no further line.
func (r *Reader) readLine() (string, error) {
	text, err := r.input.ReadString('\n')
	if err != nil {
		return "", r.incompleteLine(text, err)
	}
	r.line++
	name, values, hasValues := strings.Cut(strings.TrimSuffix(text, "\n"), " ")
	r.fields = fieldReader{line: r.line, rest: values, hasMore: hasValues}
	return name, nil
}

// incompleteLine returns what it means that a read ended with an error after the given text and
// before the end of the line: io.EOF if the input ends between two lines.
func (r *Reader) incompleteLine(text string, err error) error {
	if !errors.Is(err, io.EOF) {
		return fmt.Errorf("read: %w", err)
	}
	if text == "" {
		return io.EOF
	}
	r.line++
	return r.errorf("line is cut short")
}

// readMessage reads the current line, of the given message, and appends to the batch what it means
// for an instance, if anything.
func (r *Reader) readMessage(name string, batch *Batch) error {
	switch name {
	case messageSelectInstance:
		r.instance = int(r.fields.unsigned("who", maxIndex))
		return r.fields.end()
	case messageServerList:
		return r.readServerList()
	}
	if r.instance == noInstance {
		return r.errorf("%q before any SELECT, or unknown", name)
	}
	switch name {
	case messageInstanceStart:
		return r.readInstanceStart(batch)
	case messageInstanceStop:
		batch.Messages = append(batch.Messages, Message{Instance: r.instance, Kind: InstanceStop})
		return r.fields.end()
	}
	event, err := r.readEvent(name)
	if err != nil {
		return err
	}
	if event != nil {
		batch.Messages = append(batch.Messages, Message{Instance: r.instance, Kind: InstanceEvent, Event: event})
	}
	return nil
}

// readInstanceStart reads the settings with which an instance starts.
func (r *Reader) readInstanceStart(batch *Batch) error {
	message := Message{Instance: r.instance, Kind: InstanceStart}
	message.Seed = r.fields.unsigned("random_seed", math.MaxUint64)
	message.Settings, r.loadFields[r.instance] = r.fields.settings()
	if err := r.fields.end(); err != nil {
		return err
	}
	batch.Messages = append(batch.Messages, message)
	return nil
}

// readServerList reads a numbered list of servers and its lines. It takes the place of an earlier
// list with the same number.
func (r *Reader) readServerList() error {
	number := r.fields.unsigned("roster_id", maxServerList)
	count := r.fields.unsigned("rows_in", maxIndex)
	if err := r.fields.end(); err != nil {
		return err
	}
	var servers []routing.Server
	for range count {
		name, err := r.readLine()
		if err != nil && !errors.Is(err, io.EOF) {
			return err
		}
		if name != messageServer {
			return r.errorf("want ITEM, got %q", name)
		}
		server, err := r.fields.server()
		if err != nil {
			return err
		}
		servers = append(servers, server)
	}
	r.serverLists[number] = servers
	return nil
}
