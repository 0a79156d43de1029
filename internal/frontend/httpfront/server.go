// Package http is the front for the platform's protocol: HTTP/1.1 over
// textproto, one request at a time on a connection. It parses and answers;
// it decides nothing.
package httpfront

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http/httputil"
	"net/textproto"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"garnetline/internal/clock"
	"garnetline/internal/dispatch"
	"garnetline/internal/metrics"
	"garnetline/internal/textconn"
	"garnetline/routing"
)

const (
	maxHeaderBytes                = 16 << 10
	maxBodyBytes                  = 48_000
	clientTimeoutCapMs            = 60_000.0  // ms; a longer X-Ttl-Ms is cut to it
	maxClientTimeoutMs            = 600_000   // ms; a longer X-Ttl-Ms is no time that a client waits
	maxObjectSizeKB               = 1e9       // a larger X-Working-Set-Kb is no size of a part
	idleTimeoutMs                 = 6_000.0   // ms that a connection may be idle; clients close after 4 s
	firstRequestTimeoutMs         = 2_500.0   // ms from the connection's start to the last byte of its first request
	requestTimeoutMs              = 2_500.0   // ms from a later request's first byte to its last
	minWriteTimeoutMs             = 2_000.0   // ms that an answer may take to be written
	lingerTimeoutMs               = 2_800.0   // ms from the connection's start for which a refused client is still read
	largeBodyLingerTimeoutMs      = 5_500.0   // and for one that announced, or sent, more than a body may be
	maxLingerBytes                = 128 << 20 // bytes read and dropped meanwhile
	responseMarginMs              = 20.0      // ms before the client gives up by which an answer is wanted
	finalLingerTimeoutMs          = 500.0     // ms for which a client is still read after the last answer on its connection
	newConnGraceMs                = 250.0     // ms that a connection has for its first request before it may have to make room
	evictedReadTimeoutMs          = 50.0      // ms that is left to a request that is coming on a connection that is to make room
	shutdownFirstRequestTimeoutMs = 100.0     // ms that a new connection has for its first request when all end
	maxReadAheadBytes             = maxHeaderBytes + maxBodyBytes
	backlogWait                   = 20 * time.Millisecond  // without a new connection, until the socket is closed at the end
	maxBacklogWait                = 400 * time.Millisecond // by which it is closed all the same
	evictionInterval              = 20 * time.Millisecond
)

// Dispatcher is what the front needs of the core.
type Dispatcher interface {
	Submit(*dispatch.Request) bool
	Disconnect(*dispatch.Request)
}

// Options are what a Server needs.
type Options struct {
	Clock          clock.Clock
	Dispatcher     Dispatcher
	Transport      dispatch.Transport
	Classes        func() []routing.Class // as of now; their names and places do not change
	Ready          func() bool            // it has a list of caches
	Metrics        *metrics.Registry
	MaxConnections func() int // connections open at once, as of now
	RecordClient   bool       // requests are to tell where they come from
	// Handler answers every request by itself, one a connection; nil: requests go to the core.
	Handler func(ctx context.Context, method, path string) (status int, body []byte)
}

// Server owns the listener and the clients' connections.
type Server struct {
	Options
	connections        sync.WaitGroup
	keepAlivesDisabled atomic.Bool   // answers say so and no connection is kept
	shuttingDown       atomic.Bool   // what is idle is closed
	healthChecksFail   atomic.Bool   // the health check says so
	acceptDeadline     time.Time     // the listener is closed by then; set when the end begins
	serveDone          chan struct{} // closed when Serve has returned
	connectionClosed   chan struct{} // a connection was given back
	mu                 sync.Mutex
	conns              map[*conn]bool
	listener           net.Listener
}

// New returns a server that has not been started.
func New(o Options) *Server {
	return &Server{Options: o, conns: map[*conn]bool{}, connectionClosed: make(chan struct{}, 1), serveDone: make(chan struct{})}
}

// Serve accepts connections until Finish closes the listener. It is called once.
func (s *Server) Serve(l net.Listener) error {
	defer close(s.serveDone)
	s.mu.Lock()
	s.listener = l
	if s.keepAlivesDisabled.Load() { // before it began
		l.Close()
	}
	s.mu.Unlock()
	for {
		s.drainBacklog()
		nc, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if isTimeout(err) { // the end has begun, and nothing waits
			if s.shuttingDown.Load() {
				l.Close()
			}
			continue
		}
		if err != nil { // out of descriptors, or a client that has gone again
			s.Metrics.Add("accept_errors", 1)
			time.Sleep(5 * time.Millisecond)
			continue
		}
		s.Metrics.Add("connections_taken", 1)
		s.connections.Add(1)
		c := s.newConn(nc)
		s.admit(c)
		go func() {
			defer s.connections.Done()
			c.serve()
		}()
	}
}

// drainBacklog lets one more connection be accepted at the end, if it waits already.
//
// Symptom guarded against: a listener that is closed resets what waits to be accepted,
// with the requests that those connections have brought.
func (s *Server) drainBacklog() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.shuttingDown.Load() || s.listener == nil {
		return
	}
	until := time.Now().Add(backlogWait)
	l, ok := s.listener.(interface{ SetDeadline(time.Time) error })
	if !ok || until.After(s.acceptDeadline) || l.SetDeadline(until) != nil {
		s.listener.Close()
	}
}

// admit waits until there is room for one more connection, and makes it.
//
// Symptom guarded against: connections that say nothing, or that asked once and
// stay, took all that may be open, and the usual clients waited outside.
func (s *Server) admit(c *conn) {
	for {
		s.mu.Lock()
		room := len(s.conns) < max(s.MaxConnections(), 1) || s.shuttingDown.Load() // at the end no more will come
		if room {
			s.conns[c] = true
		} else if v := s.evictionCandidate(); v != nil {
			s.Metrics.Add("connections_evicted", 1)
			v.evicted = true
			v.text.NetConn.SetReadDeadline(time.Now())
		}
		s.mu.Unlock()
		if room {
			return
		}
		select {
		case <-s.connectionClosed:
		case <-time.After(evictionInterval):
		}
	}
}

// evictionCandidate is the connection that can best be done without, or nil: one that was
// refused and is still read, then one that has had time for its first request,
// then the one that is idle for longest. Each is the longest of its kind.
func (s *Server) evictionCandidate() *conn {
	var best *conn
	for c := range s.conns {
		if c.evicted || c.state == stateActive || c.state == stateNew && s.Clock.Now()-c.stateSince < newConnGraceMs {
			continue
		}
		if best == nil || c.state < best.state || c.state == best.state && c.stateSince < best.stateSince {
			best = c
		}
	}
	return best
}

// FailHealthChecks makes the health check fail; all else goes on.
func (s *Server) FailHealthChecks() { s.healthChecksFail.Store(true) }

// StopAccepting ends Serve and has every answer end its connection. What is open goes
// on, and what waits to be accepted is left to others who hold the socket.
func (s *Server) StopAccepting() {
	s.keepAlivesDisabled.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener != nil {
		s.listener.Close()
	}
}

// Shutdown ends Serve, closes idle connections, lets the others finish what is
// open on them and returns when all are closed.
func (s *Server) Shutdown() {
	s.mu.Lock()
	s.keepAlivesDisabled.Store(true)
	s.shuttingDown.Store(true)
	s.acceptDeadline = time.Now().Add(maxBacklogWait)
	for c := range s.conns {
		if c.state != stateActive && !c.receiving {
			c.text.NetConn.SetReadDeadline(time.Now().Add(clock.Duration(c.shutdownReadTimeout())))
		}
	}
	s.mu.Unlock()
	s.drainBacklog() // the listener, if there is one already
	<-s.serveDone
	s.connections.Wait()
}

// connState is what a connection is at, in the order in which they make room.
type connState int

const (
	stateRejected connState = iota // it has its answer and is read to its end
	stateNew                       // its first request is not whole
	stateIdle
	stateActive
)

// conn is one client's connection. The goroutine in serve owns it; phase to kicked are
// the server's, under its lock.
type conn struct {
	server     *Server
	text       *textconn.Conn
	acceptedAt float64
	state      connState
	stateSince float64 // when the phase began
	receiving  bool    // a request has begun to come
	evicted    bool    // it is to make room
	lastReadAt float64 // when the newest of what was read came
}

func (s *Server) newConn(nc net.Conn) *conn {
	now := s.Clock.Now()
	return &conn{server: s, text: textconn.New(nc), acceptedAt: now, state: stateNew, stateSince: now}
}

// setState goes over to a phase, in which reads may go on for some time. A
// connection that is to make room, or is idle when all end, has none.
func (c *conn) setState(p connState, asking bool, within float64) {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	if p != c.state {
		c.state, c.stateSince = p, c.server.Clock.Now()
	}
	c.receiving = asking
	switch {
	case p == stateActive:
		c.text.NetConn.SetReadDeadline(time.Time{})
		return
	case c.evicted && p == stateRejected:
		within = 0
	case c.evicted && asking:
		within = min(within, evictedReadTimeoutMs)
	case c.evicted:
		within = 0
	case c.server.shuttingDown.Load() && !asking:
		within = min(within, c.shutdownReadTimeout())
	}
	c.text.NetConn.SetReadDeadline(time.Now().Add(clock.Duration(within)))
}

// shutdownReadTimeout is how long a connection without a request waits for one when all end.
func (c *conn) shutdownReadTimeout() float64 {
	if c.state == stateNew {
		return shutdownFirstRequestTimeoutMs
	}
	return 0
}

// remaining is what is left of a time that began with the connection.
func (c *conn) remaining(of float64) float64 { return c.acceptedAt + of - c.server.Clock.Now() }

// serve answers the requests of a connection. It is the one place where a
// client's connection is given back.
func (c *conn) serve() {
	s := c.server
	defer func() {
		c.text.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
		select {
		case s.connectionClosed <- struct{}{}:
		default:
		}
	}()
	for first := true; c.awaitRequest(first); first = false {
		req, bad := c.readRequest()
		if bad != nil {
			if bad.status != 0 {
				s.Metrics.Add("requests_malformed", 1)
				c.rejectUnread(bad)
			}
			return
		}
		// Symptom guarded against: a connection whose answer had not said that it
		// ends was closed when the end began just then, on the next request.
		if !c.handleRequest(req) {
			return
		}
		if req.closeAfter {
			c.linger(finalLingerTimeoutMs)
			return
		}
	}
}

// awaitRequest waits for the first byte of a request.
func (c *conn) awaitRequest(first bool) bool {
	p, within, rest := stateNew, c.remaining(firstRequestTimeoutMs), c.remaining(firstRequestTimeoutMs)
	if !first {
		p, within, rest = stateIdle, idleTimeoutMs, requestTimeoutMs
	}
	c.setState(p, false, within)
	c.text.LimitRead(maxHeaderBytes)
	c.text.BeginMessage()
	if _, err := c.text.R.Peek(1); err != nil && !(isTimeout(err) && c.text.Readable()) {
		return false
	}
	c.setState(p, true, rest)
	return true
}

// keepAlive tells whether the connection stays open after a request.
func (c *conn) keepAlive(r *request) bool {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	return !r.closeAfter && !c.server.keepAlivesDisabled.Load() && !c.evicted && !c.text.Discarded()
}

// request is a parsed request.
type request struct {
	method, path, query string
	header              textproto.MIMEHeader
	body                []byte
	closeAfter          bool // the client wants the connection closed
	receivedAt          float64
	clientDeadline      float64 // its client waits until then; 0: not told
}

// requestError is an answer that the front gives by itself.
type requestError struct {
	status    int // 0: the client has gone, nothing is owed
	message   string
	allow     string
	largeBody bool // the client may have much to send yet
}

var errClientDisconnected = &requestError{}

// readRequest reads one request.
func (c *conn) readRequest() (*request, *requestError) {
	r := &request{}
	line, err := c.text.ReadLine()
	if err == nil && line == "" { // one empty line before a request is let pass
		line, err = c.text.ReadLine()
	}
	if err != nil {
		return nil, c.readFailure(err)
	}
	parts := strings.Split(line, " ")
	if len(parts) != 3 || parts[0] == "" || !strings.HasPrefix(parts[2], "HTTP/1.") || len(parts[2]) != 8 {
		return nil, &requestError{status: 400, message: "malformed request line"}
	}
	u, err := url.ParseRequestURI(parts[1])
	if err != nil {
		return nil, &requestError{status: 400, message: "malformed target"}
	}
	r.method, r.path, r.query = parts[0], u.EscapedPath(), u.RawQuery
	if r.header, err = c.text.ReadMIMEHeader(); err != nil {
		return nil, c.readFailure(err)
	}
	if len(r.header["Host"]) > 1 || parts[2] == "HTTP/1.1" && len(r.header["Host"]) == 0 {
		return nil, &requestError{status: 400, message: "Host: want one"}
	}
	r.closeAfter = headerHasToken(r.header, "Connection", "close") || parts[2] == "HTTP/1.0"
	if bad := c.readBody(r); bad != nil {
		return nil, bad
	}
	// Symptom guarded against: a request that waited behind another one on its connection
	// was given the time that its client had when it sent it, not what was left of that.
	if c.text.ReceivedBytes() || c.lastReadAt == 0 {
		c.lastReadAt = c.server.Clock.Now()
	}
	r.receivedAt = c.lastReadAt
	c.server.Metrics.Add("requests_read", 1)
	return r, nil
}

// readFailure tells what a failed read means for the client.
func (c *conn) readFailure(err error) *requestError {
	var text textproto.ProtocolError
	switch {
	case c.text.LimitExceeded():
		return &requestError{status: 431, message: "head too long"}
	case errors.As(err, &text):
		return &requestError{status: 400, message: "malformed header"}
	case errors.Is(err, context.DeadlineExceeded), isTimeout(err):
		return &requestError{status: 408, message: "request too slow"}
	}
	return errClientDisconnected
}

func isTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}

// readBody reads what the head announces.
func (c *conn) readBody(r *request) *requestError {
	te, cl := r.header["Transfer-Encoding"], r.header["Content-Length"]
	switch {
	case len(te) > 0 && len(cl) > 0:
		return &requestError{status: 400, message: "Content-Length and Transfer-Encoding"}
	case len(te) > 0:
		if len(te) != 1 || !strings.EqualFold(te[0], "chunked") {
			return &requestError{status: 501, message: "Transfer-Encoding: unknown"}
		}
		return c.readChunkedBody(r)
	case len(cl) == 0:
		return nil
	}
	n, err := strconv.ParseUint(cl[0], 10, 63)
	if err != nil || len(cl) > 1 {
		return &requestError{status: 400, message: "Content-Length: not a number"}
	}
	if n > maxBodyBytes {
		return &requestError{status: 413, message: "body too long", largeBody: true}
	}
	if bad := c.writeContinue(r); bad != nil {
		return bad
	}
	c.text.LimitRead(int(n))
	b, err := c.text.ReadBody(int(n))
	if err != nil {
		return c.readFailure(err)
	}
	// A copy: an attempt may still be written when the client's next request
	// is read into the buffer.
	r.body = bytes.Clone(b)
	return nil
}

// readChunkedBody reads a body in chunks.
func (c *conn) readChunkedBody(r *request) *requestError {
	if bad := c.writeContinue(r); bad != nil {
		return bad
	}
	c.text.LimitRead(8*maxBodyBytes + maxHeaderBytes) // chunks may be small, and each has a line of its own
	var err error
	if r.body, err = io.ReadAll(io.LimitReader(httputil.NewChunkedReader(c.text.R), maxBodyBytes+1)); err != nil {
		if bad := c.readFailure(err); bad != errClientDisconnected {
			return bad
		}
		return &requestError{status: 400, message: "malformed chunks"}
	}
	if len(r.body) > maxBodyBytes {
		return &requestError{status: 413, message: "body too long", largeBody: true}
	}
	if _, err := c.text.ReadMIMEHeader(); err != nil { // trailers
		return c.readFailure(err)
	}
	return nil
}

// writeContinue tells a client that waits for it to send its body.
func (c *conn) writeContinue(r *request) *requestError {
	if !headerHasToken(r.header, "Expect", "100-continue") {
		return nil
	}
	if c.text.Flush(append(c.text.WriteBuffer(), "HTTP/1.1 100 Continue\r\n\r\n"...), nil, minWriteTimeoutMs) != nil {
		return errClientDisconnected
	}
	return nil
}

// headerHasToken tells whether a header holds a word in its list.
func headerHasToken(h textproto.MIMEHeader, name, word string) bool {
	for _, v := range h[name] {
		for w := range strings.SplitSeq(v, ",") {
			if strings.EqualFold(strings.TrimSpace(w), word) {
				return true
			}
		}
	}
	return false
}

// handleRequest answers one request; it reports whether the connection still holds.
func (c *conn) handleRequest(r *request) bool {
	if c.server.Handler != nil {
		c.setState(stateActive, true, 0)
		status, body := c.server.Handler(context.Background(), r.method, r.path)
		r.closeAfter = true
		return c.writeMessage(r, status, "Content-Type: text/plain\r\n", body)
	}
	if r.path == "/healthz" {
		return c.handleHealthCheck(r)
	}
	q, bad := c.server.parseRequest(r)
	if bad != nil {
		c.server.Metrics.Add("requests_malformed", 1)
		return c.writeError(r, bad)
	}
	c.setState(stateActive, true, 0)
	open := c.server.Metrics.Counter("requests_open")
	open.Add(1)
	defer open.Add(-1)
	answers := make(chan dispatch.Response, 1)
	q.Respond = func(a dispatch.Response) { answers <- a }
	if c.server.RecordClient {
		c.server.setClientInfo(q, r, c.text.NetConn)
	}
	r.clientDeadline = q.Deadline + responseMarginMs // from Submit on the core owns the request
	if !c.server.Dispatcher.Submit(q) {
		return c.writeError(r, &requestError{status: 503, message: "stopping"})
	}
	// An error says that the client has gone: also one that wrote more before it left.
	heard := make(chan error, 1)
	go func() { heard <- c.text.ReadAhead(maxReadAheadBytes, func() { c.lastReadAt = c.server.Clock.Now() }) }()
	select {
	case a := <-answers:
		ok := c.writeResponse(r, a)
		// The watcher is waited for: the connection has one reader at a time.
		c.text.NetConn.SetReadDeadline(time.Now())
		err := <-heard
		return ok && (isTimeout(err) || err == textconn.ErrMessageTooLong)
	case err := <-heard:
		if err != textconn.ErrMessageTooLong {
			c.server.Dispatcher.Disconnect(q)
			return false
		}
		return c.writeResponse(r, <-answers) // it sends without end: the answer is its last
	}
}

// setClientInfo notes where a request comes from. More than one traceparent is none.
func (s *Server) setClientInfo(q *dispatch.Request, r *request, nc net.Conn) {
	q.Client = &dispatch.ClientInfo{ReceivedAt: r.receivedAt}
	if v := r.header["Traceparent"]; len(v) == 1 {
		q.Client.TraceParent = v[0]
	}
	if host, _, err := net.SplitHostPort(nc.RemoteAddr().String()); err == nil {
		q.Client.Address = host
	}
}

// handleHealthCheck answers the front's question whether this router can be used.
func (c *conn) handleHealthCheck(r *request) bool {
	switch {
	case r.method != "GET" && r.method != "HEAD":
		return c.writeError(r, &requestError{status: 405, message: "GET only", allow: "GET"})
	case c.server.healthChecksFail.Load() || !c.server.Ready():
		return c.writeError(r, &requestError{status: 503, message: "not ready"})
	}
	return c.writeMessage(r, 200, "Content-Type: text/plain\r\n", []byte("ok\n"))
}

// parseRequest turns a request into what the core takes.
func (s *Server) parseRequest(r *request) (*dispatch.Request, *requestError) {
	rest, ok := strings.CutPrefix(r.path, "/v1/")
	name, object, two := strings.Cut(rest, "/")
	if !ok || !two || strings.Contains(object, "/") {
		return nil, &requestError{status: 404, message: "no such path"}
	}
	class := -1
	classes := s.Classes()
	for i := range classes {
		if classes[i].Name == name {
			class = i
		}
	}
	if class < 0 {
		return nil, &requestError{status: 404, message: "unknown class"}
	}
	k := &classes[class]
	if want := map[bool]string{false: "GET", true: "PUT"}[k.Write]; r.method != want {
		return nil, &requestError{status: 405, message: want + " only", allow: want}
	}
	q := &dispatch.Request{Class: class, Transport: s.Transport, Body: r.body}
	bad := func(why string) (*dispatch.Request, *requestError) {
		return nil, &requestError{status: 400, message: why}
	}
	o, err := strconv.ParseUint(object, 16, 64)
	if err != nil || len(object) != 16 || o == 0 || object != strings.ToLower(object) {
		return bad("object: not 16 hex digits")
	}
	q.Object = routing.ObjectID(o)
	if !k.Write && len(r.body) > 0 {
		return bad("body: none wanted")
	}
	values, err := url.ParseQuery(r.query)
	if err != nil || len(values["block"]) > 1 {
		return bad("query: malformed")
	}
	if v := values.Get("block"); v != "" || values.Has("block") {
		n, err := strconv.ParseUint(v, 10, 31)
		if err != nil || strconv.FormatUint(n, 10) != v {
			return bad("block: not a number")
		}
		q.Chunk = int(n)
	}
	for _, h := range []string{"X-Txn", "X-Ttl-Ms", "X-Txn-Key", "X-Family", "X-Working-Set-Kb"} {
		if len(r.header[h]) > 1 {
			return bad(h + ": more than one")
		}
	}
	q.TransactionID = r.header.Get("X-Txn")
	if _, err := strconv.ParseUint(q.TransactionID, 16, 64); err != nil || len(q.TransactionID) != 16 || q.TransactionID != strings.ToLower(q.TransactionID) {
		return bad("X-Txn: not 16 hex digits")
	}
	ms, err := strconv.ParseUint(r.header.Get("X-Ttl-Ms"), 10, 64)
	if err != nil || ms == 0 || ms > maxClientTimeoutMs {
		return bad("X-Ttl-Ms: not a time")
	}
	ttl := min(float64(ms), clientTimeoutCapMs)
	q.Deadline = r.receivedAt + ttl - min(responseMarginMs, ttl/10)
	if v := r.header.Get("X-Family"); v != "" {
		n, err := strconv.ParseUint(v, 10, 8)
		if err != nil {
			return bad("X-Family: not 0 to 255")
		}
		q.Group = int(n)
	}
	if v, told := r.header["X-Working-Set-Kb"]; told {
		if q.SizeKB, err = strconv.ParseFloat(v[0], 64); err != nil || strings.ContainsAny(v[0], "xXpP_") || !(q.SizeKB >= 0 && q.SizeKB <= maxObjectSizeKB) {
			return bad("X-Working-Set-Kb: not a size")
		}
	}
	q.IdempotencyKey = r.header.Get("X-Txn-Key")
	if q.IdempotencyKey != "" && !dispatch.ValidFieldValue(q.IdempotencyKey) || q.IdempotencyKey == "" && k.Idempotency == routing.IdempotentWithKey {
		return bad("X-Txn-Key: missing or malformed")
	}
	// A list of tags, a weak one or * is passed over: the answer is then whole.
	if v := r.header["If-None-Match"]; len(v) == 1 && len(v[0]) > 2 && v[0][0] == '"' && v[0][len(v[0])-1] == '"' {
		if tag := v[0][1 : len(v[0])-1]; dispatch.ValidFieldValue(tag) && !k.Write {
			q.IfNoneMatch = tag
		}
	}
	return q, nil
}

// writeResponse writes a final answer.
func (c *conn) writeResponse(r *request, a dispatch.Response) bool {
	switch a.Kind {
	case dispatch.Served:
		head := "Content-Type: application/octet-stream\r\n"
		if a.ETag != "" {
			head += "ETag: \"" + a.ETag + "\"\r\n"
		}
		return c.writeMessage(r, 200, head, a.Body)
	case dispatch.NotModified:
		head := ""
		if a.ETag != "" {
			head = "ETag: \"" + a.ETag + "\"\r\n"
		}
		return c.writeMessage(r, 304, head, nil)
	case dispatch.Rejected:
		head := "Content-Type: text/plain\r\n"
		if a.RetryAfter > 0 {
			head += fmt.Sprintf("X-Throttle-Ms: %d\r\n", int64(a.RetryAfter))
		}
		return c.writeMessage(r, 503, head, []byte("refused: a retry is harmless\n"))
	}
	if a.Kind == dispatch.DuplicateID {
		return c.writeError(r, &requestError{status: 409, message: "X-Txn: another request with it is open"})
	}
	return c.writeMessage(r, 502, "Content-Type: text/plain\r\n", []byte("failed\n"))
}

// writeError answers by the front's own word.
func (c *conn) writeError(r *request, p *requestError) bool {
	head := "Content-Type: text/plain\r\n"
	if p.allow != "" {
		head += "Allow: " + p.allow + "\r\n"
	}
	return c.writeMessage(r, p.status, head, []byte(p.message+"\n"))
}

// rejectUnread answers what could not be read to its end, and lets the client read
// that before the connection is closed.
//
// Symptom guarded against: a connection that is closed with unread bytes is
// reset, and the reset overtakes the answer. What it still sends is dropped for
// a time that counts from the connection's start, however it sends.
func (c *conn) rejectUnread(p *requestError) {
	if c.writeError(&request{closeAfter: true}, p) {
		within := c.remaining(lingerTimeoutMs)
		if p.largeBody {
			within = c.remaining(largeBodyLingerTimeoutMs)
		}
		c.linger(within)
	}
}

// linger ends this side of a connection and reads what still comes, for some time.
func (c *conn) linger(within float64) {
	if half, ok := c.text.NetConn.(interface{ CloseWrite() error }); ok && half.CloseWrite() == nil {
		c.setState(stateRejected, true, max(within, 0))
		io.Copy(io.Discard, io.LimitReader(c.text.NetConn, maxLingerBytes))
	}
}

var reasonPhrases = map[int]string{200: "OK", 304: "Not Modified", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed",
	408: "Request Timeout", 409: "Conflict", 413: "Content Too Large", 431: "Request Header Fields Too Large", 501: "Not Implemented",
	502: "Bad Gateway", 503: "Service Unavailable"}

// writeTimeout is how long an answer may take to be written: a client that waits reads as its
// link lets it, up to the longest time that any class is waited for.
func (c *conn) writeTimeout(r *request) float64 {
	if r.clientDeadline == 0 { // no request for the core: nobody told how long it is waited for
		return minWriteTimeoutMs
	}
	return max(minWriteTimeoutMs, min(r.clientDeadline-c.server.Clock.Now(), clock.Millis(routing.MaxDeadline(c.server.Classes()))))
}

// writeMessage writes one whole answer.
func (c *conn) writeMessage(r *request, status int, head string, body []byte) bool {
	out := fmt.Appendf(c.text.WriteBuffer(), "HTTP/1.1 %d %s\r\n%s", status, reasonPhrases[status], head)
	if status != 304 {
		out = fmt.Appendf(out, "Content-Length: %d\r\n", len(body))
	}
	if !c.keepAlive(r) {
		r.closeAfter = true
		out = append(out, "Connection: close\r\n"...)
	}
	out = append(out, "\r\n"...)
	if r.method == "HEAD" {
		body = nil
	}
	err := c.text.Flush(out, body, c.writeTimeout(r))
	c.text.ShrinkWriteBuffer()
	c.text.ShrinkReadBuffer()
	c.server.Metrics.Add("http_"+strconv.Itoa(status), 1)
	c.server.Metrics.Add("bytes_answered", int64(len(body)))
	return err == nil
}
