package loadreport

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net"

	"garnetline/internal/clock"
	"garnetline/internal/textconn"
	"garnetline/internal/upstream"
	"garnetline/routing"
)

const (
	pollTimeout       = 300.0 // ms
	maxAnswerSize     = 1 << 10
	significantChange = 0.1 // of the link's utilization, after which the next poll comes soon
	intervalGrowth    = 1.5 // of the time between polls, while nothing changes
)

// errLeaseLost reports a poll that was not written: another router holds the lease by now.
var errLeaseLost = errors.New("lease lost before the poll was written")

// polledServer is one that is polled. Its connection and sequence belong to the poll that is
// under way, the rest to the Collector's lock.
type polledServer struct {
	Server
	nextPollAt          float64
	interval            float64 // ms between polls now; longer while the load does not change
	polling             bool
	lastLinkUtilization float64 // NaN: not polled yet

	conn     *textconn.Conn
	sequence uint64
}

func newPolledServer(server Server, interval float64) *polledServer {
	return &polledServer{Server: server, interval: interval, lastLinkUtilization: math.NaN()}
}

func (s *polledServer) close() {
	if s.conn != nil {
		_ = s.conn.Close() // a poll's answer was read, or is given up
		s.conn = nil
	}
}

// scheduleNext sets when the server is polled again, after a poll that returned err or load.
func (s *polledServer) scheduleNext(now float64, load routing.LoadReport, err error, minInterval, maxInterval float64) {
	change := math.Abs(load.LinkUtilization - s.lastLinkUtilization)
	if err != nil || change > significantChange || math.IsNaN(s.lastLinkUtilization) {
		s.interval = minInterval
	} else {
		s.interval = min(maxInterval, s.interval*intervalGrowth)
	}
	s.nextPollAt = now + s.interval
}

// poll polls a server once, and keeps its report to be sent.
func (c *Collector) poll(ctx context.Context, server *polledServer, fencingToken uint64) {
	load, err := c.query(ctx, server, fencingToken)
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

// query writes one poll and reads its answer.
func (c *Collector) query(ctx context.Context, server *polledServer, fencingToken uint64) (routing.LoadReport, error) {
	if err := server.connect(ctx); err != nil {
		return routing.LoadReport{}, err
	}
	server.sequence++
	tag := fmt.Sprintf("p%d.%d", fencingToken, server.sequence) // servers may read the token there
	command := fmt.Appendf(server.conn.WriteBuffer(), "*2\r\n$6\r\ngauges\r\n$%d\r\n%s\r\n", len(tag), tag)
	// Checked at the write, after whatever came between.
	if current, ok := c.options.Valid(c.leaseName); !ok || current != fencingToken {
		c.options.Metrics.Add("probes_held_back", 1)
		return routing.LoadReport{}, errLeaseLost
	}
	if err := server.conn.Flush(command, nil, pollTimeout); err != nil {
		return routing.LoadReport{}, err
	}
	c.options.Metrics.Add("probes_sent", 1)
	return upstream.ReadLoadReport(server.conn, tag, maxAnswerSize, pollTimeout)
}

// connect dials the server, unless there is a connection from an earlier poll.
func (s *polledServer) connect(ctx context.Context) error {
	if s.conn != nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, clock.Duration(pollTimeout))
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", s.Address.String())
	if err != nil {
		return err
	}
	s.conn = textconn.New(conn)
	return nil
}
