// Package http is the front for the platform's protocol: HTTP/1.1 over
// textproto, one request at a time on a connection. It parses and answers;
// it decides nothing.
package http

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

	"garnetline/decide"
	"garnetline/internal/clock"
	"garnetline/internal/core"
	"garnetline/internal/sock"
	"garnetline/internal/stats"
)

const (
	maxHead    = 16 << 10
	maxBody    = 48_000
	maxWait    = 60_000.0  // ms; a longer X-Ttl-Ms is cut to it
	maxTTL     = 600_000   // ms; a longer X-Ttl-Ms is no time that a client waits
	maxSizeKB  = 1e9       // a larger X-Working-Set-Kb is no size of a part
	idleFor    = 6_000.0   // ms that a connection may be idle; clients close after 4 s
	firstFor   = 2_500.0   // ms from the connection's start to the last byte of its first request
	headFor    = 2_500.0   // ms from a later request's first byte to its last
	writeFor   = 2_000.0   // ms that an answer may take to be written
	lingerFor  = 2_800.0   // ms from the connection's start for which a refused client is still read
	lingerBig  = 5_500.0   // and for one that announced, or sent, more than a body may be
	lingerMost = 128 << 20 // bytes read and dropped meanwhile
	margin     = 20.0      // ms before the client gives up by which an answer is wanted
	lingerLast = 500.0     // ms for which a client is still read after the last answer on its connection
	freshFor   = 250.0     // ms that a connection has for its first request before it may have to make room
	kickedFor  = 50.0      // ms that is left to a request that is coming on a connection that is to make room
	endFor     = 100.0     // ms that a new connection has for its first request when all end
	aheadMost  = maxHead + maxBody
	backlogFor = 20 * time.Millisecond  // without a new connection, until the socket is closed at the end
	backlogAll = 400 * time.Millisecond // by which it is closed all the same
	pressEvery = 20 * time.Millisecond
)

// Core is what the front needs of the core.
type Core interface {
	Submit(*core.Request) bool
	Leave(*core.Request)
}

// Options are what a Server needs.
type Options struct {
	Clock   clock.Clock
	Core    Core
	Carrier core.Carrier
	Classes func() []decide.Class // as of now; their names and places do not change
	Ready   func() bool           // it has a list of caches
	Stats   *stats.Set
	Conns   func() int // connections open at once, as of now
	Traced  bool       // requests are to tell where they come from
	// Page answers every request by itself, one a connection; nil: requests go to the core.
	Page func(ctx context.Context, method, path string) (status int, body []byte)
}

// Server owns the listener and the clients' connections.
type Server struct {
	Options
	open     sync.WaitGroup
	closing  atomic.Bool   // answers say so and no connection is kept
	ended    atomic.Bool   // what is idle is closed
	stopping atomic.Bool   // the health check says so
	closeBy  time.Time     // the listener is closed by then; set when the end begins
	accepted chan struct{} // closed when Serve has returned
	freed    chan struct{} // a connection was given back
	mu       sync.Mutex
	conns    map[*conn]bool
	listener net.Listener
}

// New returns a server that has not been started.
func New(o Options) *Server {
	return &Server{Options: o, conns: map[*conn]bool{}, freed: make(chan struct{}, 1), accepted: make(chan struct{})}
}

// Serve accepts connections until Finish closes the listener. It is called once.
func (s *Server) Serve(l net.Listener) error {
	defer close(s.accepted)
	s.mu.Lock()
	s.listener = l
	if s.closing.Load() { // before it began
		l.Close()
	}
	s.mu.Unlock()
	for {
		s.last()
		nc, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if isTimeout(err) { // the end has begun, and nothing waits
			if s.ended.Load() {
				l.Close()
			}
			continue
		}
		if err != nil { // out of descriptors, or a client that has gone again
			s.Stats.Add("accept_errors", 1)
			time.Sleep(5 * time.Millisecond)
			continue
		}
		s.Stats.Add("connections_taken", 1)
		s.open.Add(1)
		c := s.newConn(nc)
		s.admit(c)
		go func() {
			defer s.open.Done()
			c.serve()
		}()
	}
}

// last lets one more connection be accepted at the end, if it waits already.
//
// Symptom guarded against: a listener that is closed resets what waits to be accepted,
// with the requests that those connections have brought.
func (s *Server) last() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ended.Load() || s.listener == nil {
		return
	}
	until := time.Now().Add(backlogFor)
	l, ok := s.listener.(interface{ SetDeadline(time.Time) error })
	if !ok || until.After(s.closeBy) || l.SetDeadline(until) != nil {
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
		room := len(s.conns) < max(s.Conns(), 1) || s.ended.Load() // at the end no more will come
		if room {
			s.conns[c] = true
		} else if v := s.victim(); v != nil {
			s.Stats.Add("connections_evicted", 1)
			v.kicked = true
			v.k.Net.SetReadDeadline(time.Now())
		}
		s.mu.Unlock()
		if room {
			return
		}
		select {
		case <-s.freed:
		case <-time.After(pressEvery):
		}
	}
}

// victim is the connection that can best be done without, or nil: one that was
// refused and is still read, then one that has had time for its first request,
// then the one that is idle for longest. Each is the longest of its kind.
func (s *Server) victim() *conn {
	var best *conn
	for c := range s.conns {
		if c.kicked || c.phase == busy || c.phase == fresh && s.Clock.Now()-c.since < freshFor {
			continue
		}
		if best == nil || c.phase < best.phase || c.phase == best.phase && c.since < best.since {
			best = c
		}
	}
	return best
}

// Stopping makes the health check fail; all else goes on.
func (s *Server) Stopping() { s.stopping.Store(true) }

// HandOver ends Serve and has every answer end its connection. What is open goes
// on, and what waits to be accepted is left to others who hold the socket.
func (s *Server) HandOver() {
	s.closing.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener != nil {
		s.listener.Close()
	}
}

// Finish ends Serve, closes idle connections, lets the others finish what is
// open on them and returns when all are closed.
func (s *Server) Finish() {
	s.mu.Lock()
	s.closing.Store(true)
	s.ended.Store(true)
	s.closeBy = time.Now().Add(backlogAll)
	for c := range s.conns {
		if c.phase != busy && !c.asking {
			c.k.Net.SetReadDeadline(time.Now().Add(clock.Duration(c.atEnd())))
		}
	}
	s.mu.Unlock()
	s.last() // the listener, if there is one already
	<-s.accepted
	s.open.Wait()
}

// phase is what a connection is at, in the order in which they make room.
type phase int

const (
	refused phase = iota // it has its answer and is read to its end
	fresh                // its first request is not whole
	idle
	busy
)

// conn is one client's connection. The goroutine in serve owns it; phase to kicked are
// the server's, under its lock.
type conn struct {
	s      *Server
	k      *sock.Conn
	born   float64
	phase  phase
	since  float64 // when the phase began
	asking bool    // a request has begun to come
	kicked bool    // it is to make room
	came   float64 // when the newest of what was read came
}

func (s *Server) newConn(nc net.Conn) *conn {
	now := s.Clock.Now()
	return &conn{s: s, k: sock.New(nc), born: now, phase: fresh, since: now}
}

// enter goes over to a phase, in which reads may go on for some time. A
// connection that is to make room, or is idle when all end, has none.
func (c *conn) enter(p phase, asking bool, within float64) {
	c.s.mu.Lock()
	defer c.s.mu.Unlock()
	if p != c.phase {
		c.phase, c.since = p, c.s.Clock.Now()
	}
	c.asking = asking
	switch {
	case p == busy:
		c.k.Net.SetReadDeadline(time.Time{})
		return
	case c.kicked && p == refused:
		within = 0
	case c.kicked && asking:
		within = min(within, kickedFor)
	case c.kicked:
		within = 0
	case c.s.ended.Load() && !asking:
		within = min(within, c.atEnd())
	}
	c.k.Net.SetReadDeadline(time.Now().Add(clock.Duration(within)))
}

// atEnd is how long a connection without a request waits for one when all end.
func (c *conn) atEnd() float64 {
	if c.phase == fresh {
		return endFor
	}
	return 0
}

// left is what is left of a time that began with the connection.
func (c *conn) left(of float64) float64 { return c.born + of - c.s.Clock.Now() }

// serve answers the requests of a connection. It is the one place where a
// client's connection is given back.
func (c *conn) serve() {
	s := c.s
	defer func() {
		c.k.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
		select {
		case s.freed <- struct{}{}:
		default:
		}
	}()
	for first := true; c.await(first); first = false {
		req, bad := c.read()
		if bad != nil {
			if bad.status != 0 {
				s.Stats.Add("requests_malformed", 1)
				c.error(bad)
			}
			return
		}
		// Symptom guarded against: a connection whose answer had not said that it
		// ends was closed when the end began just then, on the next request.
		if !c.handle(req) {
			return
		}
		if req.last {
			c.linger(lingerLast)
			return
		}
	}
}

// await waits for the first byte of a request.
func (c *conn) await(first bool) bool {
	p, within, rest := fresh, c.left(firstFor), c.left(firstFor)
	if !first {
		p, within, rest = idle, idleFor, headFor
	}
	c.enter(p, false, within)
	c.k.Allow(maxHead)
	c.k.Settle()
	if _, err := c.k.R.Peek(1); err != nil && !(isTimeout(err) && c.k.Poll()) {
		return false
	}
	c.enter(p, true, rest)
	return true
}

// keep tells whether the connection stays open after a request.
func (c *conn) keep(r *request) bool {
	c.s.mu.Lock()
	defer c.s.mu.Unlock()
	return !r.last && !c.s.closing.Load() && !c.kicked && !c.k.Spilt()
}

// request is a parsed request.
type request struct {
	method, path, query string
	head                textproto.MIMEHeader
	body                []byte
	last                bool // the client wants the connection closed
	at                  float64
	until               float64 // its client waits until then; 0: not told
}

// problem is an answer that the front gives by itself.
type problem struct {
	status int // 0: the client has gone, nothing is owed
	why    string
	allow  string
	big    bool // the client may have much to send yet
}

var gone = &problem{}

// read reads one request.
func (c *conn) read() (*request, *problem) {
	r := &request{}
	line, err := c.k.ReadLine()
	if err == nil && line == "" { // one empty line before a request is let pass
		line, err = c.k.ReadLine()
	}
	if err != nil {
		return nil, c.broken(err)
	}
	parts := strings.Split(line, " ")
	if len(parts) != 3 || parts[0] == "" || !strings.HasPrefix(parts[2], "HTTP/1.") || len(parts[2]) != 8 {
		return nil, &problem{status: 400, why: "malformed request line"}
	}
	u, err := url.ParseRequestURI(parts[1])
	if err != nil {
		return nil, &problem{status: 400, why: "malformed target"}
	}
	r.method, r.path, r.query = parts[0], u.EscapedPath(), u.RawQuery
	if r.head, err = c.k.ReadMIMEHeader(); err != nil {
		return nil, c.broken(err)
	}
	if len(r.head["Host"]) > 1 || parts[2] == "HTTP/1.1" && len(r.head["Host"]) == 0 {
		return nil, &problem{status: 400, why: "Host: want one"}
	}
	r.last = token(r.head, "Connection", "close") || parts[2] == "HTTP/1.0"
	if bad := c.body(r); bad != nil {
		return nil, bad
	}
	// Symptom guarded against: a request that waited behind another one on its connection
	// was given the time that its client had when it sent it, not what was left of that.
	if c.k.Fresh() || c.came == 0 {
		c.came = c.s.Clock.Now()
	}
	r.at = c.came
	c.s.Stats.Add("requests_read", 1)
	return r, nil
}

// broken tells what a failed read means for the client.
func (c *conn) broken(err error) *problem {
	var text textproto.ProtocolError
	switch {
	case c.k.Over():
		return &problem{status: 431, why: "head too long"}
	case errors.As(err, &text):
		return &problem{status: 400, why: "malformed header"}
	case errors.Is(err, context.DeadlineExceeded), isTimeout(err):
		return &problem{status: 408, why: "request too slow"}
	}
	return gone
}

func isTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}

// body reads what the head announces.
func (c *conn) body(r *request) *problem {
	te, cl := r.head["Transfer-Encoding"], r.head["Content-Length"]
	switch {
	case len(te) > 0 && len(cl) > 0:
		return &problem{status: 400, why: "Content-Length and Transfer-Encoding"}
	case len(te) > 0:
		if len(te) != 1 || !strings.EqualFold(te[0], "chunked") {
			return &problem{status: 501, why: "Transfer-Encoding: unknown"}
		}
		return c.chunked(r)
	case len(cl) == 0:
		return nil
	}
	n, err := strconv.ParseUint(cl[0], 10, 63)
	if err != nil || len(cl) > 1 {
		return &problem{status: 400, why: "Content-Length: not a number"}
	}
	if n > maxBody {
		return &problem{status: 413, why: "body too long", big: true}
	}
	if bad := c.goOn(r); bad != nil {
		return bad
	}
	c.k.Allow(int(n))
	b, err := c.k.Body(int(n))
	if err != nil {
		return c.broken(err)
	}
	// A copy: an attempt may still be written when the client's next request
	// is read into the buffer.
	r.body = bytes.Clone(b)
	return nil
}

// chunked reads a body in chunks.
func (c *conn) chunked(r *request) *problem {
	if bad := c.goOn(r); bad != nil {
		return bad
	}
	c.k.Allow(8*maxBody + maxHead) // chunks may be small, and each has a line of its own
	var err error
	if r.body, err = io.ReadAll(io.LimitReader(httputil.NewChunkedReader(c.k.R), maxBody+1)); err != nil {
		if bad := c.broken(err); bad != gone {
			return bad
		}
		return &problem{status: 400, why: "malformed chunks"}
	}
	if len(r.body) > maxBody {
		return &problem{status: 413, why: "body too long", big: true}
	}
	if _, err := c.k.ReadMIMEHeader(); err != nil { // trailers
		return c.broken(err)
	}
	return nil
}

// goOn tells a client that waits for it to send its body.
func (c *conn) goOn(r *request) *problem {
	if !token(r.head, "Expect", "100-continue") {
		return nil
	}
	if c.k.Flush(append(c.k.Out(), "HTTP/1.1 100 Continue\r\n\r\n"...), nil, writeFor) != nil {
		return gone
	}
	return nil
}

// token tells whether a header holds a word in its list.
func token(h textproto.MIMEHeader, name, word string) bool {
	for _, v := range h[name] {
		for w := range strings.SplitSeq(v, ",") {
			if strings.EqualFold(strings.TrimSpace(w), word) {
				return true
			}
		}
	}
	return false
}

// handle answers one request; it reports whether the connection still holds.
func (c *conn) handle(r *request) bool {
	if c.s.Page != nil {
		c.enter(busy, true, 0)
		status, body := c.s.Page(context.Background(), r.method, r.path)
		r.last = true
		return c.write(r, status, "Content-Type: text/plain\r\n", body)
	}
	if r.path == "/healthz" {
		return c.health(r)
	}
	q, bad := c.s.parse(r)
	if bad != nil {
		c.s.Stats.Add("requests_malformed", 1)
		return c.refuse(r, bad)
	}
	c.enter(busy, true, 0)
	open := c.s.Stats.Counter("requests_open")
	open.Add(1)
	defer open.Add(-1)
	answers := make(chan core.Answer, 1)
	q.Reply = func(a core.Answer) { answers <- a }
	if c.s.Traced {
		c.s.origin(q, r, c.k.Net)
	}
	r.until = q.Deadline + margin // from Submit on the core owns the request
	if !c.s.Core.Submit(q) {
		return c.refuse(r, &problem{status: 503, why: "stopping"})
	}
	// An error says that the client has gone: also one that wrote more before it left.
	heard := make(chan error, 1)
	go func() { heard <- c.k.Watch(aheadMost, func() { c.came = c.s.Clock.Now() }) }()
	select {
	case a := <-answers:
		ok := c.answer(r, a)
		// The watcher is waited for: the connection has one reader at a time.
		c.k.Net.SetReadDeadline(time.Now())
		err := <-heard
		return ok && (isTimeout(err) || err == sock.ErrLimit)
	case err := <-heard:
		if err != sock.ErrLimit {
			c.s.Core.Leave(q)
			return false
		}
		return c.answer(r, <-answers) // it sends without end: the answer is its last
	}
}

// origin notes where a request comes from. More than one traceparent is none.
func (s *Server) origin(q *core.Request, r *request, nc net.Conn) {
	q.Origin = &core.Origin{Came: r.at}
	if v := r.head["Traceparent"]; len(v) == 1 {
		q.Origin.Parent = v[0]
	}
	if host, _, err := net.SplitHostPort(nc.RemoteAddr().String()); err == nil {
		q.Origin.Client = host
	}
}

// health answers the front's question whether this router can be used.
func (c *conn) health(r *request) bool {
	switch {
	case r.method != "GET" && r.method != "HEAD":
		return c.refuse(r, &problem{status: 405, why: "GET only", allow: "GET"})
	case c.s.stopping.Load() || !c.s.Ready():
		return c.refuse(r, &problem{status: 503, why: "not ready"})
	}
	return c.write(r, 200, "Content-Type: text/plain\r\n", []byte("ok\n"))
}

// parse turns a request into what the core takes.
func (s *Server) parse(r *request) (*core.Request, *problem) {
	rest, ok := strings.CutPrefix(r.path, "/v1/")
	name, object, two := strings.Cut(rest, "/")
	if !ok || !two || strings.Contains(object, "/") {
		return nil, &problem{status: 404, why: "no such path"}
	}
	class := -1
	classes := s.Classes()
	for i := range classes {
		if classes[i].Name == name {
			class = i
		}
	}
	if class < 0 {
		return nil, &problem{status: 404, why: "unknown class"}
	}
	k := &classes[class]
	if want := map[bool]string{false: "GET", true: "PUT"}[k.Write]; r.method != want {
		return nil, &problem{status: 405, why: want + " only", allow: want}
	}
	q := &core.Request{Class: class, Carrier: s.Carrier, Body: r.body}
	bad := func(why string) (*core.Request, *problem) { return nil, &problem{status: 400, why: why} }
	o, err := strconv.ParseUint(object, 16, 64)
	if err != nil || len(object) != 16 || o == 0 || object != strings.ToLower(object) {
		return bad("object: not 16 hex digits")
	}
	q.Object = decide.ObjectID(o)
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
		q.Part = int(n)
	}
	for _, h := range []string{"X-Txn", "X-Ttl-Ms", "X-Txn-Key", "X-Family", "X-Working-Set-Kb"} {
		if len(r.head[h]) > 1 {
			return bad(h + ": more than one")
		}
	}
	q.Txn = r.head.Get("X-Txn")
	if _, err := strconv.ParseUint(q.Txn, 16, 64); err != nil || len(q.Txn) != 16 || q.Txn != strings.ToLower(q.Txn) {
		return bad("X-Txn: not 16 hex digits")
	}
	ms, err := strconv.ParseUint(r.head.Get("X-Ttl-Ms"), 10, 64)
	if err != nil || ms == 0 || ms > maxTTL {
		return bad("X-Ttl-Ms: not a time")
	}
	ttl := min(float64(ms), maxWait)
	q.Deadline = r.at + ttl - min(margin, ttl/10)
	if v := r.head.Get("X-Family"); v != "" {
		n, err := strconv.ParseUint(v, 10, 8)
		if err != nil {
			return bad("X-Family: not 0 to 255")
		}
		q.Group = int(n)
	}
	if v, told := r.head["X-Working-Set-Kb"]; told {
		if q.SizeKB, err = strconv.ParseFloat(v[0], 64); err != nil || strings.ContainsAny(v[0], "xXpP_") || !(q.SizeKB >= 0 && q.SizeKB <= maxSizeKB) {
			return bad("X-Working-Set-Kb: not a size")
		}
	}
	q.Key = r.head.Get("X-Txn-Key")
	if q.Key != "" && !core.Plain(q.Key) || q.Key == "" && k.Effect == decide.Keyed {
		return bad("X-Txn-Key: missing or malformed")
	}
	// A list of tags, a weak one or * is passed over: the answer is then whole.
	if v := r.head["If-None-Match"]; len(v) == 1 && len(v[0]) > 2 && v[0][0] == '"' && v[0][len(v[0])-1] == '"' {
		if tag := v[0][1 : len(v[0])-1]; core.Plain(tag) && !k.Write {
			q.Known = tag
		}
	}
	return q, nil
}

// answer writes a final answer.
func (c *conn) answer(r *request, a core.Answer) bool {
	switch a.Kind {
	case core.Served:
		head := "Content-Type: application/octet-stream\r\n"
		if a.Tag != "" {
			head += "ETag: \"" + a.Tag + "\"\r\n"
		}
		return c.write(r, 200, head, a.Body)
	case core.Same:
		head := ""
		if a.Tag != "" {
			head = "ETag: \"" + a.Tag + "\"\r\n"
		}
		return c.write(r, 304, head, nil)
	case core.Refused:
		head := "Content-Type: text/plain\r\n"
		if a.Backoff > 0 {
			head += fmt.Sprintf("X-Throttle-Ms: %d\r\n", int64(a.Backoff))
		}
		return c.write(r, 503, head, []byte("refused: a retry is harmless\n"))
	}
	if a.Kind == core.Clash {
		return c.refuse(r, &problem{status: 409, why: "X-Txn: another request with it is open"})
	}
	return c.write(r, 502, "Content-Type: text/plain\r\n", []byte("failed\n"))
}

// refuse answers by the front's own word.
func (c *conn) refuse(r *request, p *problem) bool {
	head := "Content-Type: text/plain\r\n"
	if p.allow != "" {
		head += "Allow: " + p.allow + "\r\n"
	}
	return c.write(r, p.status, head, []byte(p.why+"\n"))
}

// error answers what could not be read to its end, and lets the client read
// that before the connection is closed.
//
// Symptom guarded against: a connection that is closed with unread bytes is
// reset, and the reset overtakes the answer. What it still sends is dropped for
// a time that counts from the connection's start, however it sends.
func (c *conn) error(p *problem) {
	if c.refuse(&request{last: true}, p) {
		within := c.left(lingerFor)
		if p.big {
			within = c.left(lingerBig)
		}
		c.linger(within)
	}
}

// linger ends this side of a connection and reads what still comes, for some time.
func (c *conn) linger(within float64) {
	if half, ok := c.k.Net.(interface{ CloseWrite() error }); ok && half.CloseWrite() == nil {
		c.enter(refused, true, max(within, 0))
		io.Copy(io.Discard, io.LimitReader(c.k.Net, lingerMost))
	}
}

var reasons = map[int]string{200: "OK", 304: "Not Modified", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed",
	408: "Request Timeout", 409: "Conflict", 413: "Content Too Large", 431: "Request Header Fields Too Large", 501: "Not Implemented",
	502: "Bad Gateway", 503: "Service Unavailable"}

// writing is how long an answer may take to be written: a client that waits reads as its
// link lets it, up to the longest time that any class is waited for.
func (c *conn) writing(r *request) float64 {
	if r.until == 0 { // no request for the core: nobody told how long it is waited for
		return writeFor
	}
	return max(writeFor, min(r.until-c.s.Clock.Now(), clock.Millis(decide.Longest(c.s.Classes()))))
}

// write writes one whole answer.
func (c *conn) write(r *request, status int, head string, body []byte) bool {
	out := fmt.Appendf(c.k.Out(), "HTTP/1.1 %d %s\r\n%s", status, reasons[status], head)
	if status != 304 {
		out = fmt.Appendf(out, "Content-Length: %d\r\n", len(body))
	}
	if !c.keep(r) {
		r.last = true
		out = append(out, "Connection: close\r\n"...)
	}
	out = append(out, "\r\n"...)
	if r.method == "HEAD" {
		body = nil
	}
	err := c.k.Flush(out, body, c.writing(r))
	c.k.RestOut()
	c.k.RestIn()
	c.s.Stats.Add("http_"+strconv.Itoa(status), 1)
	c.s.Stats.Add("bytes_answered", int64(len(body)))
	return err == nil
}
