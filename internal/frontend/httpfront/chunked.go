package httpfront

import (
	"bufio"
	"errors"
	"io"
	"strconv"
	"strings"

	"garnetline/internal/textconn"
)

// maxChunkSizeDigits is the length of the longest size of a chunk, in hexadecimal digits. A longer one
// may not fit into the integers of others on the way.
const maxChunkSizeDigits = 16

var (
	errMalformedChunk     = badRequest(reasonChunks, "malformed chunks")
	errExtensionsTooLong  = badRequest(reasonChunks, "chunk extensions too long")
	errTruncatedChunkBody = badRequest(reasonChunks, "chunks end too early")
)

// chunkReader reads the content of a chunked body (RFC 9112, section 7.1). Unlike the reader of
// net/http/httputil it accepts only what the grammar has: each line ends with CRLF, and extensions are
// parsed, so that nobody can find another message in them.
type chunkReader struct {
	reader         *bufio.Reader
	remaining      uint64 // bytes of the current chunk that were not read yet
	inChunk        bool   // a chunk was begun whose line end was not read yet
	extensionBytes int    // length of all extensions so far
}

// Read implements io.Reader. It returns io.EOF after the line of the last chunk. The trailers are not
// read.
func (c *chunkReader) Read(dst []byte) (int, error) {
	if c.remaining == 0 {
		if err := c.nextChunk(); err != nil {
			return 0, err
		}
	}
	n, err := c.reader.Read(dst[:min(uint64(len(dst)), c.remaining)])
	c.remaining -= uint64(n)
	return n, truncated(err)
}

// nextChunk reads the end of the current chunk and the line of the next one. It returns io.EOF if that
// is the last chunk.
func (c *chunkReader) nextChunk() error {
	if c.inChunk {
		line, err := c.readLine()
		if err != nil {
			return err
		}
		if len(line) > 0 {
			return errMalformedChunk
		}
	}
	line, err := c.readLine()
	if err != nil {
		return err
	}
	size, extensions, ok := parseChunkLine(string(line))
	if !ok {
		return errMalformedChunk
	}
	if c.extensionBytes += len(extensions); c.extensionBytes > maxHeaderBytes {
		return errExtensionsTooLong
	}
	if size == 0 {
		return io.EOF
	}
	c.remaining, c.inChunk = size, true
	return nil
}

// readLine reads a line that ends with CRLF and returns it without its end. A line that does not fit
// into the reader's buffer is malformed.
func (c *chunkReader) readLine() ([]byte, error) {
	line, err := textconn.ReadCRLFLine(c.reader)
	if errors.Is(err, textconn.ErrMalformedLine) {
		return nil, errMalformedChunk
	}
	return line, truncated(err)
}

// truncated converts the end of the connection within a body to an error that does not mean the end of
// the body.
func truncated(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// parseChunkLine parses the line before a chunk's content: its size, and extensions.
func parseChunkLine(line string) (size uint64, extensions string, ok bool) {
	end := 0
	for end < len(line) && isHexDigit[line[end]] {
		end++
	}
	if end == 0 || end > maxChunkSizeDigits {
		return 0, "", false
	}
	size, err := strconv.ParseUint(line[:end], 16, 64)
	return size, line[end:], err == nil && validChunkExtensions(line[end:])
}

// validChunkExtensions reports whether a text consists of extensions, each with a semicolon before its
// name (RFC 9112, section 7.1.1). Spaces before a semicolon, which the grammar has for the sake of old
// senders, are rejected as by net/http.
func validChunkExtensions(text string) bool {
	for text != "" {
		rest, found := strings.CutPrefix(text, ";")
		if !found {
			return false
		}
		rest, found = cutToken(trimLeftSpace(rest))
		if !found {
			return false
		}
		text = rest
		if value, hasValue := strings.CutPrefix(trimLeftSpace(rest), "="); hasValue {
			if text, found = cutTokenOrQuoted(trimLeftSpace(value)); !found {
				return false
			}
		}
	}
	return true
}

func trimLeftSpace(text string) string { return strings.TrimLeft(text, " \t") }

// cutToken returns what follows the token at the beginning of a text.
func cutToken(text string) (rest string, found bool) {
	end := 0
	for end < len(text) && isTokenByte[text[end]] {
		end++
	}
	return text[end:], end > 0
}

// cutTokenOrQuoted returns what follows the token or the quoted string at the beginning of a text.
func cutTokenOrQuoted(text string) (rest string, found bool) {
	if !strings.HasPrefix(text, `"`) {
		return cutToken(text)
	}
	for i := 1; i < len(text); i++ {
		switch text[i] {
		case '"':
			return text[i+1:], validFieldValue([]byte(text[1:i]))
		case '\\':
			i++ // the next byte is quoted
		}
	}
	return "", false
}

// readChunkedBody reads a body with chunked transfer encoding, and its trailers.
func (c *conn) readChunkedBody(r *request) error {
	if r.header.forbiddenTrailer {
		return errForbiddenTrailer
	}
	if err := c.writeContinue(r); err != nil {
		return err
	}
	c.text.LimitRead(maxChunkedBytes)
	var err error
	if r.body, err = textconn.ReadAllOwned(&chunkReader{reader: c.text.R}, maxBodyBytes+1, c.reserveBody); err != nil {
		return c.chunksReadError(err)
	}
	if len(r.body) > maxBodyBytes {
		return errBodyTooLong
	}
	c.text.LimitRead(maxHeaderBytes)
	return c.readTrailers()
}

// chunksReadError converts the error of a read. A client that ends its side within the chunks may still
// read the response.
func (c *conn) chunksReadError(err error) error {
	if err = c.requestReadError(err); errors.Is(err, errClientDisconnected) {
		return errTruncatedChunkBody
	}
	return err
}
