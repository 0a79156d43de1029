package httpfront

import "slices"

// forbiddenTrailers are fields that must stand in the header, besides those that the server uses: they
// tell how to read, route or authenticate the message (RFC 9110, section 6.5.1).
var forbiddenTrailers = []string{
	"Authorization", "Cache-Control", "Content-Encoding", "Content-Range", "Content-Type", "Cookie", "If-Match",
	"If-Modified-Since", "If-Range", "If-Unmodified-Since", "Keep-Alive", "Max-Forwards", "Pragma",
	"Proxy-Authorization", "Proxy-Connection", "Range", "Set-Cookie", "TE", "Upgrade",
}

var (
	errMalformedTrailer = badRequest(reasonTrailer, "malformed trailer")
	errForbiddenTrailer = badRequest(reasonTrailer, "trailer: field of the header")
)

// isForbiddenTrailer reports whether a field must not be a trailer.
func isForbiddenTrailer(name []byte) bool {
	if _, used := findHeaderField(name); used {
		return true
	}
	return slices.ContainsFunc(forbiddenTrailers, func(forbidden string) bool {
		return equalFoldASCII(string(name), forbidden)
	})
}

// namesForbiddenTrailer reports whether a Trailer field announces a field that must not be a trailer.
func namesForbiddenTrailer(list []byte) bool {
	for name := range listElements(string(list)) {
		if isForbiddenTrailer([]byte(name)) {
			return true
		}
	}
	return false
}

// readTrailers reads the lines after the last chunk up to an empty line. It checks and drops them. Each
// line ends with CRLF, like those of the chunks.
func (c *conn) readTrailers() error {
	for {
		line, err := c.readRawLine()
		if err != nil {
			return c.chunksReadError(err)
		}
		line, ok := cutCRLF(line)
		if !ok {
			return errMalformedTrailer
		}
		if len(line) == 0 {
			return nil
		}
		if err := checkTrailer(line); err != nil {
			return err
		}
	}
}

// checkTrailer returns an error if a line is malformed, or if its field must not be a trailer.
func checkTrailer(line []byte) error {
	name, _, err := parseFieldLine(line)
	if err != nil {
		return errMalformedTrailer
	}
	if isForbiddenTrailer(name) {
		return errForbiddenTrailer
	}
	return nil
}
