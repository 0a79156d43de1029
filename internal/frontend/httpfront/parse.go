package httpfront

import (
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"garnetline/internal/dispatch"
	"garnetline/routing"
)

const (
	pathPrefix     = "/v1/"
	chunkParameter = "block" // name of the parameter in the query string
	hexIDLength    = 16      // hexadecimal digits
)

// singleValueHeaders are the headers that a request may have at most once.
var singleValueHeaders = [...]headerField{
	fieldTransactionID, fieldClientTimeout, fieldIdempotencyKey, fieldGroup, fieldObjectSize,
}

// parseRequest validates a request for an object and converts it to a dispatcher's request. If a
// request has several errors, the first check that fails decides the
// status of the response. The order of the checks therefore matters.
func (s *Server) parseRequest(r *request) (*dispatch.Request, *requestError) {
	className, objectText, ok := splitPath(r.path)
	if !ok {
		return nil, notFound("no such path")
	}
	classes := s.Classes()
	classIndex := findClass(classes, className)
	if classIndex < 0 {
		return nil, notFound("unknown class")
	}
	class := &classes[classIndex]
	if method := methodOf(class); r.method != method {
		return nil, methodNotAllowed(method)
	}
	object, err := parseObjectID(objectText)
	if err != nil {
		return nil, err
	}
	if !class.Write && len(r.body) > 0 {
		return nil, badRequest(reasonUnwantedBody, "body: none wanted")
	}
	dispatched := &dispatch.Request{Class: classIndex, Object: object, Transport: s.Transport, Body: r.body}
	if dispatched.Chunk, err = parseChunk(r.query); err != nil {
		return nil, err
	}
	if err := parseHeaders(dispatched, r, class); err != nil {
		return nil, err
	}
	return dispatched, nil
}

// splitPath returns the class name and the object id in a path of the form /v1/CLASS/OBJECT.
func splitPath(path string) (class, object string, ok bool) {
	rest, ok := strings.CutPrefix(path, pathPrefix)
	if !ok {
		return "", "", false
	}
	class, object, ok = strings.Cut(rest, "/")
	return class, object, ok && !strings.Contains(object, "/")
}

// findClass returns the index of the class with the given name, or -1 if no class has that name.
func findClass(classes []routing.Class, name string) int {
	index := -1
	for i := range classes {
		if classes[i].Name == name {
			index = i
		}
	}
	return index
}

// methodOf returns the HTTP method that requests of a class must use.
func methodOf(class *routing.Class) string {
	if class.Write {
		return http.MethodPut
	}
	return http.MethodGet
}

// parseHexID parses an identifier of the protocol, which is 16 lower-case hexadecimal digits.
func parseHexID(text string) (id uint64, ok bool) {
	id, err := strconv.ParseUint(text, 16, 64)
	return id, err == nil && len(text) == hexIDLength && text == strings.ToLower(text)
}

func parseObjectID(text string) (routing.ObjectID, *requestError) {
	object, ok := parseHexID(text)
	if !ok || object == 0 {
		return 0, badRequest(reasonObject, "object: not 16 hex digits")
	}
	return routing.ObjectID(object), nil
}

// parseChunk returns the chunk number in a query string, or 0 if the query string has none.
func parseChunk(query string) (int, *requestError) {
	values, err := url.ParseQuery(query)
	if err != nil || len(values[chunkParameter]) > 1 {
		return 0, badRequest(reasonQuery, "query: malformed")
	}
	if !values.Has(chunkParameter) {
		return 0, nil
	}
	text := values.Get(chunkParameter)
	chunk, err := strconv.ParseUint(text, 10, 31)
	if err != nil || strconv.FormatUint(chunk, 10) != text {
		return 0, badRequest(reasonQuery, "block: not a number")
	}
	return int(chunk), nil
}

// parseHeaders copies the values of the protocol's headers into dispatched.
func parseHeaders(dispatched *dispatch.Request, r *request, class *routing.Class) (err *requestError) {
	for _, field := range singleValueHeaders {
		if r.header.count(field) > 1 {
			return badRequest(reasonFieldValue, headerFieldNames[field]+": more than one")
		}
	}
	dispatched.TransactionID = r.header.first(fieldTransactionID)
	if _, ok := parseHexID(dispatched.TransactionID); !ok {
		return badRequest(reasonFieldValue, "X-Txn: not 16 hex digits")
	}
	timeoutMs, err := parseClientTimeout(r.header.first(fieldClientTimeout))
	if err != nil {
		return err
	}
	dispatched.Deadline = r.receivedAt + timeoutMs - min(responseMarginMs, timeoutMs/responseMarginDivisor)
	if dispatched.PurgeGroup, err = parseGroup(r.header.first(fieldGroup)); err != nil {
		return err
	}
	if dispatched.SizeKB, err = parseObjectSize(&r.header); err != nil {
		return err
	}
	dispatched.IdempotencyKey = r.header.first(fieldIdempotencyKey)
	if !validIdempotencyKey(dispatched.IdempotencyKey, class) {
		return badRequest(reasonFieldValue, "X-Txn-Key: missing or malformed")
	}
	if !class.Write {
		dispatched.IfNoneMatch = parseIfNoneMatch(&r.header)
	}
	return nil
}

// parseClientTimeout returns how many milliseconds the client waits for its response.
func parseClientTimeout(text string) (float64, *requestError) {
	timeoutMs, err := strconv.ParseUint(text, 10, 64)
	if err != nil || timeoutMs == 0 || timeoutMs > maxClientTimeoutMs {
		return 0, badRequest(reasonFieldValue, "X-Ttl-Ms: not a time")
	}
	return min(float64(timeoutMs), clientTimeoutCapMs), nil
}

// parseGroup returns the group in the text of an X-Family header, or 0 if the text is empty.
func parseGroup(text string) (int, *requestError) {
	if text == "" {
		return 0, nil
	}
	group, err := strconv.ParseUint(text, 10, 8)
	if err != nil {
		return 0, badRequest(reasonFieldValue, "X-Family: not 0 to 255")
	}
	return int(group), nil
}

// parseObjectSize returns the object size in KB in X-Working-Set-Kb, or 0 if the request has no such
// field.
func parseObjectSize(h *header) (float64, *requestError) {
	if h.count(fieldObjectSize) == 0 {
		return 0, nil
	}
	text := h.first(fieldObjectSize)
	size, err := strconv.ParseFloat(text, 64)
	inRange := size >= 0 && size <= maxObjectSizeKB // false for NaN
	if err != nil || strings.ContainsAny(text, "xXpP_") || !inRange {
		return 0, badRequest(reasonFieldValue, "X-Working-Set-Kb: not a size")
	}
	return size, nil
}

// validIdempotencyKey reports whether a request of the class may have the given key. An empty key
// means that the request has no key.
func validIdempotencyKey(key string, class *routing.Class) bool {
	if key == "" {
		return class.Idempotency != routing.IdempotentWithKey
	}
	return dispatch.ValidFieldValue(key)
}

// parseIfNoneMatch returns the entity tag of the client's copy without its quotes. It returns ""
// for a list of tags, for a weak tag and for *. The client then gets a complete response.
func parseIfNoneMatch(h *header) string {
	if h.count(fieldIfNoneMatch) != 1 {
		return ""
	}
	quoted := h.first(fieldIfNoneMatch)
	if len(quoted) <= 2 || quoted[0] != '"' || quoted[len(quoted)-1] != '"' {
		return ""
	}
	tag := quoted[1 : len(quoted)-1]
	if !dispatch.ValidFieldValue(tag) {
		return ""
	}
	return tag
}

// setClientInfo records the arrival time, client address and trace context of a request for its
// trace. It ignores the trace context if the request has several traceparent headers.
func setClientInfo(dispatched *dispatch.Request, r *request, netConn net.Conn) {
	client := &dispatch.ClientInfo{ReceivedAt: r.receivedAt}
	dispatched.Client = client
	if r.header.count(fieldTraceParent) == 1 {
		client.TraceParent = r.header.first(fieldTraceParent)
	}
	if host, _, err := net.SplitHostPort(netConn.RemoteAddr().String()); err == nil {
		client.Address = host
	}
}
