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

// inputBufferSize is the size of the read buffer in bytes. A batch can be several megabytes long.
const inputBufferSize = 1 << 20

// noInstance is the value of Reader.instance before a batch has selected an instance.
const noInstance = -1

// Reader reads batches. It is not safe for concurrent use.
type Reader struct {
	input    *bufio.Reader
	line     int         // number of the current line, starting at 1
	fields   fieldReader // values of the current line
	instance int         // instance that the last SELECT names, or noInstance

	// serverLists holds the server lists by number. A list is kept after the end of its batch,
	// because updates in later batches may refer to it.
	serverLists map[uint64][]routing.Server
	// loadFields holds the names of the values in a load report, by instance.
	loadFields map[int][]string
}

// NewReader returns a Reader that reads batches from input. The Reader buffers its input, so it
// may read past the end of the batch that Next returned last.
func NewReader(input io.Reader) *Reader {
	return &Reader{
		input:       bufio.NewReaderSize(input, inputBufferSize),
		serverLists: map[uint64][]routing.Server{},
		loadFields:  map[int][]string{},
	}
}

// Next reads one batch. It returns io.EOF if the input ends between two batches, a *ParseError
// for input that does not follow the protocol, and the wrapped error of a failed read.
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

// readBatchStart reads the first line of a batch.
func (r *Reader) readBatchStart(batch *Batch) error {
	name, err := r.readLine()
	if err != nil {
		return err
	}
	if name != messageBatchStart {
		return r.errorf("expected TURN at the start of a batch, got %q", name)
	}
	batch.Now = r.fields.duration("clock_us")
	return r.fields.end()
}

// errorf returns a *ParseError about the current line as a whole.
func (r *Reader) errorf(format string, values ...any) error {
	return &ParseError{Line: r.line, Field: messageField, Reason: fmt.Sprintf(format, values...)}
}

// readLine reads the next line, stores its values in r.fields and returns the name of its message.
// It returns io.EOF if there is no further line.
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

// incompleteLine returns the error to report for a line whose end could not be read. text is the
// part of the line that was read, and err is the error of the read. The result is io.EOF if the
// input ends between two lines.
func (r *Reader) incompleteLine(text string, err error) error {
	if !errors.Is(err, io.EOF) {
		return fmt.Errorf("read input: %w", err)
	}
	if text == "" {
		return io.EOF
	}
	r.line++
	return r.errorf("input ends in the middle of a line, after %.40q", text)
}

// readMessage parses the current line as the message with the given name. It appends the message to
// the batch if the message is addressed to an instance and routing decisions use it.
func (r *Reader) readMessage(name string, batch *Batch) error {
	switch name {
	case messageSelectInstance:
		r.instance = int(r.fields.unsigned("who", maxIndex))
		return r.fields.end()
	case messageServerList:
		return r.readServerList()
	}
	if r.instance == noInstance {
		return r.errorf("expected SELECT, CATALOG or END because the batch has not selected an instance, got %q", name)
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

// readInstanceStart reads the seed and the settings of an instance that starts, and appends the
// message to the batch.
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

// readServerList reads the header of a numbered server list and the line of each server. The list
// replaces an earlier list with the same number.
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
			return r.errorf("expected %d ITEM lines, got %d followed by %q (an empty line or the end of the input if \"\")", count, len(servers), name)
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
