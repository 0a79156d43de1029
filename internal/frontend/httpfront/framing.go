package httpfront

import (
	"net/http"
	"strconv"
	"strings"
)

// chunkedCoding is the only transfer coding that the server knows.
const chunkedCoding = "chunked"

// transferCodings summarizes the Transfer-Encoding fields of a request.
type transferCodings struct {
	chunked     int  // number of codings that are chunked
	chunkedLast bool // the last coding is chunked
	unknown     bool // another coding is named
	malformed   bool // an element is no coding, or is chunked with a parameter
}

// add adds the elements of one field. An empty element counts as malformed: RFC 9110, section 5.6.1 lets
// a recipient ignore it, but not all do.
func (t *transferCodings) add(list string) {
	for element := range listElements(list) {
		coding, _, hasParameter := strings.Cut(element, ";")
		t.chunkedLast = false
		switch {
		case !validToken([]byte(strings.TrimRight(coding, " \t"))):
			t.malformed = true
		case !equalFoldASCII(coding, chunkedCoding):
			t.unknown = true
		case hasParameter:
			t.malformed = true
		default:
			t.chunked++
			t.chunkedLast = true
		}
	}
}

// check returns an error unless the only coding is chunked. Where the end of the body is not known, the
// error is a 400, whatever the codings are (RFC 9112, section 6.3).
func (t *transferCodings) check() error {
	if t.malformed || t.chunked != 1 || !t.chunkedLast {
		return badRequest(reasonBodyLength, "Transfer-Encoding: want chunked, once and last")
	}
	if t.unknown {
		return &requestError{status: http.StatusNotImplemented, reason: reasonBodyLength, message: "Transfer-Encoding: unknown"}
	}
	return nil
}

// readBody reads the body, if the header announces one (RFC 9112, section 6.3).
func (c *conn) readBody(r *request) error {
	encodings, lengths := r.header.count(fieldTransferEncoding), r.header.count(fieldContentLength)
	switch {
	case encodings > 0 && lengths > 0:
		return badRequest(reasonBodyLength, "Content-Length and Transfer-Encoding")
	case encodings > 0 && r.minorVersion == 0:
		// A proxy that speaks HTTP/1.0 passes on the field without knowing the coding.
		return badRequest(reasonBodyLength, "Transfer-Encoding: not in HTTP/1.0")
	case encodings > 0:
		if err := r.header.codings.check(); err != nil {
			return err
		}
		return c.readChunkedBody(r)
	case lengths == 0:
		return nil
	}
	length, err := strconv.ParseUint(r.header.first(fieldContentLength), 10, 63)
	if err != nil || lengths > 1 {
		return badRequest(reasonBodyLength, "Content-Length: not a number")
	}
	if length > maxBodyBytes {
		return errBodyTooLong
	}
	return c.readSizedBody(r, int(length))
}
