package discovery

import (
	"context"
	"encoding/binary"
	"net"
	"net/netip"
	"time"

	"garnetline/internal/clock"
	"garnetline/internal/platformconfig"
	"garnetline/internal/textconn"
)

// dialFunc establishes a connection to the change log. It returns early if ctx is done.
type dialFunc func(ctx context.Context, to netip.AddrPort) (net.Conn, error)

// connectionRequest is what a connection asks the change log for.
type connectionRequest struct {
	config   *platformconfig.Config
	afterSeq uint64 // number of the last applied event
}

// reportKind is the type of a connectionReport.
type reportKind int

const (
	reportEstablished reportKind = iota // the connection is established and the request written
	reportFrame                         // a frame was received
	reportEnd                           // the connection has ended; it reports nothing more
)

// connectionReport is what the goroutine of a connection reports to the goroutine of Watcher.Run.
type connectionReport struct {
	id     connectionID
	kind   reportKind
	stream *textconn.Conn // of reportEstablished; its reader is the goroutine of the connection
	frame  frame          // of reportFrame
	err    error          // of reportEnd
}

// readConnection connects to the change log, writes the request and reports each frame. It returns
// when the connection ends or ctx is done.
func readConnection(ctx context.Context, dial dialFunc, id connectionID, request connectionRequest, reports chan<- connectionReport) {
	report := func(report connectionReport) (ok bool) {
		report.id = id
		select {
		case reports <- report:
			return true
		case <-ctx.Done():
			return false
		}
	}
	if err := readFrames(ctx, dial, request, report); err != nil {
		report(connectionReport{kind: reportEnd, err: err})
	}
}

// readFrames connects to the change log, writes the request and passes each frame to report. It returns
// nil once report returns false, and otherwise the error that ended the connection.
func readFrames(ctx context.Context, dial dialFunc, request connectionRequest, report func(connectionReport) (ok bool)) error {
	conn, err := dial(ctx, request.config.Discovery)
	if err != nil {
		return err
	}
	stream := textconn.New(conn)
	defer func() { _ = stream.Close() }()
	interrupt := func() { _ = conn.SetDeadline(time.Now()) }
	defer context.AfterFunc(ctx, interrupt)()
	message := binary.BigEndian.AppendUint64(stream.WriteBuffer(), request.afterSeq)
	if err := stream.Flush(message, dialTimeout); err != nil {
		return err
	}
	if !report(connectionReport{kind: reportEstablished, stream: stream}) {
		return nil
	}
	for {
		received, err := readFrame(stream, len(request.config.Zones), len(request.config.Kinds))
		if err != nil {
			return err
		}
		if !report(connectionReport{kind: reportFrame, frame: received}) {
			return nil
		}
	}
}

func dialTCP(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
	return (&net.Dialer{}).DialContext(ctx, "tcp", to.String())
}

// monotonicMillis returns the time since start, in ms.
func monotonicMillis(start time.Time) float64 { return clock.Millis(time.Since(start)) }
