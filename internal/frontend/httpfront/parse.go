package httpfront

import (
	"net"
	"net/url"
	"strconv"
	"strings"

	"garnetline/internal/dispatch"
	"garnetline/routing"
)

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
