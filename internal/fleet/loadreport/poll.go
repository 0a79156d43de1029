package loadreport

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net"

	"garnetline/internal/adaptivetimeout"
	"garnetline/internal/clock"
	"garnetline/internal/textconn"
	"garnetline/internal/upstream"
	"garnetline/routing"
)

const (
	minPollTimeout    = 300.0   // ms; doubles after a poll that timed out
	maxPollTimeout    = 4800.0  // ms
	maxResponseSize   = 1 << 10 // bytes
	significantChange = 0.1     // change of the link utilization above which the next poll follows after MinInterval
	intervalGrowth    = 1.5     // factor by which the time between polls grows while the load does not change
)

// errLeaseLost is the error of a poll that was not written because this router no longer holds
// the lease.
var errLeaseLost = errors.New("load report: this router lost the lease before it wrote the poll to the server")

// polledServer is a server that is polled. The poll that is under way owns conn, sequence and
// timeout; the Collector's mu guards the other fields.
type polledServer struct {
	Server
	nextPollAt          float64
	interval            float64 // current ms between polls; it grows while the load does not change
	polling             bool    // a poll is under way
	lastLinkUtilization float64 // NaN: no poll has succeeded yet, or the server does not report it

	conn     *textconn.Conn
	sequence uint64
	timeout  adaptivetimeout.Timeout
}

func newPolledServer(server Server, interval float64) *polledServer {
	return &polledServer{
		Server:              server,
		interval:            interval,
		lastLinkUtilization: math.NaN(),
		timeout:             adaptivetimeout.New(minPollTimeout, maxPollTimeout),
	}
}

func (s *polledServer) close() {
	if s.conn != nil {
		_ = s.conn.Close() // the poll's response has been read or is no longer wanted
		s.conn = nil
	}
}

// scheduleNext sets the time of the server's next poll after a poll that returned the arguments
// load and err.
func (s *polledServer) scheduleNext(now float64, load routing.LoadReport, err error, minInterval, maxInterval float64) {
	change := math.Abs(load.LinkUtilization - s.lastLinkUtilization)
	if err != nil || change > significantChange || math.IsNaN(s.lastLinkUtilization) {
		s.interval = minInterval
	} else {
		s.interval = min(maxInterval, s.interval*intervalGrowth)
	}
	s.nextPollAt = now + s.interval
}

// poll polls a server once, passes the load to Options.ReportLoad and stores it for sendReports.
func (c *Collector) poll(ctx context.Context, server *polledServer, fencingToken uint64) {
	load, err := c.timedQuery(ctx, server, fencingToken)
	now := c.options.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	server.polling = false
	server.scheduleNext(now, load, err, c.options.MinInterval, c.options.MaxInterval)
	if err != nil {
		server.close()
		c.options.Metrics.Add("probes_failed", 1)
		return
	}
	server.lastLinkUtilization = load.LinkUtilization
	c.options.Metrics.Add("probes_answered", 1)
	c.unsent[server.ID] = measurement{load: load, measuredAt: now}
	c.options.ReportLoad(server.ID, load, 0)
}

// timedQuery polls a server, and adapts the timeout of its next poll to the result. Otherwise the load of a
// server that is always slower than minPollTimeout would never be known.
func (c *Collector) timedQuery(ctx context.Context, server *polledServer, fencingToken uint64) (routing.LoadReport, error) {
	start := c.options.Clock.Now()
	load, err := c.query(ctx, server, fencingToken)
	server.timeout.Record(c.options.Clock.Now()-start, err)
	return load, err
}

// query writes one poll and reads the response. It returns errLeaseLost if the fencing token is no
// longer valid right before the write.
func (c *Collector) query(ctx context.Context, server *polledServer, fencingToken uint64) (routing.LoadReport, error) {
	if err := server.connect(ctx); err != nil {
		return routing.LoadReport{}, err
	}
	conn := server.conn
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	server.sequence++
	tag := fmt.Sprintf("p%d.%d", fencingToken, server.sequence) // servers can read the fencing token from the tag
	command := fmt.Appendf(server.conn.WriteBuffer(), "*2\r\n$6\r\ngauges\r\n$%d\r\n%s\r\n", len(tag), tag)
	// The lease is checked right before the write: the router may have been delayed since the
	// poll was started.
	if current, ok := c.options.Valid(c.leaseName); !ok || current != fencingToken {
		c.options.Metrics.Add("probes_held_back", 1)
		return routing.LoadReport{}, errLeaseLost
	}
	if err := server.conn.Flush(command, server.timeout.Current()); err != nil {
		return routing.LoadReport{}, err
	}
	c.options.Metrics.Add("probes_sent", 1)
	return upstream.ReadLoadReport(server.conn, tag, maxResponseSize, server.timeout.Current())
}

// connect dials the server, unless the connection of an earlier poll is still open.
func (s *polledServer) connect(ctx context.Context) error {
	if s.conn != nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, clock.Duration(s.timeout.Current()))
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", s.Address.String())
	if err != nil {
		return err
	}
	s.conn = textconn.New(conn)
	return nil
}
