package httpfront

import (
	"bytes"
	"net/http"
	"net/netip"
	"strings"
)

// versionPrefix is the beginning of each version that the server speaks. One digit follows, the minor
// version. A later minor version is read as HTTP/1.1 (RFC 9110, section 2.5).
const versionPrefix = "HTTP/1."

// Characters of a URI (RFC 3986, section 2).
const (
	unreservedBytes   = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~"
	subDelimiterBytes = "!$&'()*+,;="
)

var (
	isTokenByte  = newByteSet(tokenBytes)
	isTargetByte = newByteSet(unreservedBytes + subDelimiterBytes + ":@/?%")
	isHostByte   = newByteSet(unreservedBytes + subDelimiterBytes + "%")
	isHexDigit   = newByteSet("0123456789abcdefABCDEF")
)

// tokenBytes are the bytes of a token (RFC 9110, section 5.6.2).
const tokenBytes = "0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ!#$%&'*+-.^_`|~"

// byteSet tells for each byte whether it is in the set.
type byteSet [256]bool

func newByteSet(members string) *byteSet {
	var set byteSet
	for i := range len(members) {
		set[members[i]] = true
	}
	return &set
}

// containsAll reports whether all bytes of a text are in the set.
func (s *byteSet) containsAll(text string) bool {
	for i := range len(text) {
		if !s[text[i]] {
			return false
		}
	}
	return true
}

// validToken reports whether a text is a token, as a method and the name of a field must be. A name
// followed by a space is none: if the field were accepted as an unknown one, a server that ignores the
// space would read it as the known one, and might find another request in the body.
func validToken(text []byte) bool {
	for _, b := range text {
		if !isTokenByte[b] {
			return false
		}
	}
	return len(text) > 0
}

// parseRequestLine parses the line with method, target and version, which are separated by one space
// each (RFC 9112, section 3), and stores its parts in r.
func parseRequestLine(r *request, line []byte) error {
	method, rest, _ := bytes.Cut(line, []byte(" "))
	target, version, found := bytes.Cut(rest, []byte(" "))
	if !found || !validToken(method) {
		return badRequest(reasonRequestLine, "malformed request line")
	}
	minorDigit, found := bytes.CutPrefix(version, []byte(versionPrefix))
	if !found || len(minorDigit) != 1 || minorDigit[0] < '0' || minorDigit[0] > '9' {
		return badRequest(reasonVersion, "HTTP version: not 1.x")
	}
	r.minorVersion = int(minorDigit[0] - '0')
	r.method = internMethod(method)
	if !r.parseTarget(string(target)) {
		return badRequest(reasonTarget, "malformed target")
	}
	return nil
}

// internMethod returns a method as a string, without an allocation for those that clients use.
func internMethod(method []byte) string {
	switch string(method) {
	case http.MethodGet:
		return http.MethodGet
	case http.MethodPut:
		return http.MethodPut
	}
	return string(method)
}

// parseTarget stores the path and the query of a target, which is in origin form, in absolute form, or
// the asterisk of an OPTIONS request (RFC 9112, section 3.2). It returns false for any other target, so
// for each target of a CONNECT request.
func (r *request) parseTarget(target string) bool {
	if r.method == http.MethodConnect {
		return false
	}
	if target == "*" {
		r.path = target
		return r.method == http.MethodOptions
	}
	if !strings.HasPrefix(target, "/") {
		scheme, rest, found := strings.Cut(target, "://")
		if !found || !equalFoldASCII(scheme, "http") && !equalFoldASCII(scheme, "https") {
			return false
		}
		authority := rest
		if end := strings.IndexAny(rest, "/?"); end >= 0 {
			authority = rest[:end]
		}
		if !validHost(authority) {
			return false
		}
		target = rest[len(authority):]
	}
	r.path, r.query, _ = strings.Cut(target, "?")
	return isTargetByte.containsAll(target) && validPercentEncoding(target)
}

// equalFoldASCII reports whether two texts are equal, ignoring the case of letters. Unlike
// strings.EqualFold it does not take the long s or the Kelvin sign for a letter of ASCII.
func equalFoldASCII(text, other string) bool {
	return len(text) == len(other) && strings.EqualFold(text, other)
}

// validPercentEncoding reports whether two hexadecimal digits follow each percent sign.
func validPercentEncoding(text string) bool {
	for {
		_, rest, found := strings.Cut(text, "%")
		if !found {
			return true
		}
		if len(rest) < 2 || !isHexDigit[rest[0]] || !isHexDigit[rest[1]] {
			return false
		}
		text = rest[2:]
	}
}

// validHost reports whether a text is a host that is not empty, with or without a port (RFC 9110,
// section 7.2).
func validHost(text string) bool {
	if rest, found := strings.CutPrefix(text, "["); found {
		literal, port, found := strings.Cut(rest, "]")
		address, err := netip.ParseAddr(literal)
		return found && err == nil && address.Is6() && address.Zone() == "" && (port == "" || validPort(port))
	}
	host, port := text, ""
	if colon := strings.IndexByte(text, ':'); colon >= 0 {
		host, port = text[:colon], text[colon:]
	}
	return host != "" && isHostByte.containsAll(host) && validHostEncoding(host) && (port == "" || validPort(port))
}

// validHostEncoding reports whether a host has percent-encoding only for bytes above 127. Others need
// none, and net/url rejects them.
func validHostEncoding(host string) bool {
	if !validPercentEncoding(host) {
		return false
	}
	for i := range len(host) {
		if host[i] == '%' && host[i+1] < '8' {
			return false
		}
	}
	return true
}

// validPort reports whether a text is a colon that may be followed by digits.
func validPort(text string) bool {
	return text[0] == ':' && strings.Trim(text[1:], "0123456789") == ""
}
