package main

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"

	"garnetline/internal/daemontest"
)

// malformedRequests are messages that the router must reject without sending anything to a server. In a
// message, READ stands for the request line of a read, WRITE for that of a write, FIELDS for the fields
// that each of them needs, CHUNKED for a write whose chunks follow, and ~ for a line end. The names begin
// with the section of the RFC that a message violates.
var malformedRequests = []struct {
	name, message string
	status        int
}{
	{"9112 2.2 CR before the method", "\rREAD~FIELDS~~", 400},
	{"9112 2.2 CR in the method", "G\rET /v1/part/00000000000000aa HTTP/1.1~FIELDS~~", 400},
	{"9112 2.2 CR in the version", "GET /v1/part/00000000000000aa HTTP/1.\r~FIELDS~~", 400},
	{"9112 2.2 CR in a value", "READ~FIELDS~X-A: a\rb~~", 400},
	{"9112 2.2 two CR at the end of a line", "READ~FIELDS~X-A: a\r~~", 400},
	{"9112 2.2 space before the first field", "READ~ X-A: a~FIELDS~~", 400},
	{"9112 2.2 line of a space before the first field", "READ~ ~FIELDS~~", 400},
	{"9112 2.2 line of a space before the request", " ~READ~FIELDS~~", 400},
	{"9112 2.3 no version", "GET /v1/part/00000000000000aa~FIELDS~~", 400},
	{"9112 2.3 version in small letters", "GET /v1/part/00000000000000aa http/1.1~FIELDS~~", 400},
	{"9112 2.3 minor version is a letter", "GET /v1/part/00000000000000aa HTTP/1.x~FIELDS~~", 400},
	{"9112 2.3 minor version is a colon", "GET /v1/part/00000000000000aa HTTP/1.:~FIELDS~~", 400},
	{"9112 2.3 minor version of two digits", "GET /v1/part/00000000000000aa HTTP/1.10~FIELDS~~", 400},
	{"9112 2.3 major version of two digits", "GET /v1/part/00000000000000aa HTTP/01.1~FIELDS~~", 400},
	{"9112 2.3 HTTP/2.0", "GET /v1/part/00000000000000aa HTTP/2.0~FIELDS~~", 400},
	{"9112 3 no method", " /v1/part/00000000000000aa HTTP/1.1~FIELDS~~", 400},
	{"9112 3 method is no token", "GET: /v1/part/00000000000000aa HTTP/1.1~FIELDS~~", 400},
	{"9112 3 method is no token, health check", "\"GET\" /healthz HTTP/1.1~FIELDS~~", 400},
	{"9112 3 two spaces", "GET  /v1/part/00000000000000aa HTTP/1.1~FIELDS~~", 400},
	{"9112 3 tabs", "GET\t/v1/part/00000000000000aa\tHTTP/1.1~FIELDS~~", 400},
	{"9112 3 space at the end", "READ ~FIELDS~~", 400},
	{"9112 3.2 fragment", "GET /healthz#a HTTP/1.1~FIELDS~~", 400},
	{"9112 3.2 fragment after a query", "GET /healthz?a#b HTTP/1.1~FIELDS~~", 400},
	{"9112 3.2 bytes above 127", "GET /healthz?\xc3\xa9 HTTP/1.1~FIELDS~~", 400},
	{"9112 3.2 bytes that a URI may not have", "GET /healthz?<\"^`{|}\\> HTTP/1.1~FIELDS~~", 400},
	{"9112 3.2 percent without digits", "GET /healthz?%zz HTTP/1.1~FIELDS~~", 400},
	{"9112 3.2 no slash", "GET v1/part/00000000000000aa HTTP/1.1~FIELDS~~", 400},
	{"9112 3.2.2 absolute form of another scheme", "GET ftp://x/v1/part/00000000000000aa HTTP/1.1~FIELDS~~", 400},
	{"9112 3.2.2 scheme with a long s", "GET http\u017f://x/v1/part/00000000000000aa HTTP/1.1~FIELDS~~", 400},
	{"9112 3.2.2 absolute form without a host", "GET http:///v1/part/00000000000000aa HTTP/1.1~FIELDS~~", 400},
	{"9112 3.2.2 absolute form with a user", "GET http://u@x/v1/part/00000000000000aa HTTP/1.1~FIELDS~~", 400},
	{"9112 3.2.3 authority form for a read", "GET x:80 HTTP/1.1~FIELDS~~", 400},
	{"9112 3.2.3 absolute form for CONNECT", "CONNECT http://x/ HTTP/1.1~FIELDS~~", 400},
	{"9112 3.2.4 asterisk form for a read", "GET * HTTP/1.1~FIELDS~~", 400},
	{"9112 5.1 space before a colon", "READ~FIELDS~X-A : a~~", 400},
	{"9112 5.1 tab before a colon", "READ~FIELDS~X-A\t: a~~", 400},
	{"9112 5.1 space before the colon of Transfer-Encoding", "WRITE~FIELDS~Content-Length: 3~Transfer-Encoding : chunked~~0~~", 400},
	{"9112 5.1 space before the colon of Content-Length", "WRITE~FIELDS~Content-Length : 3~~abc", 400},
	{"9112 5.1 space before the colon of Host", "READ~FIELDS~Host : y~~", 400},
	{"9112 5.1 space in a name", "READ~FIELDS~X A: a~~", 400},
	{"9112 5.1 no name", "READ~FIELDS~: a~~", 400},
	{"9112 5.1 no colon", "READ~FIELDS~X-A~~", 400},
	{"9110 5.6.2 name is no token", "READ~FIELDS~X(A): a~~", 400},
	{"9110 5.6.2 name with a byte above 127", "READ~FIELDS~X-\xc3\xa9: a~~", 400},
	{"9112 5.2 folded line", "READ~FIELDS~X-A: a~ b~~", 400},
	{"9112 5.2 folded line with a tab", "READ~FIELDS~X-A: a~\tb~~", 400},
	{"9112 5.2 folded line of a space", "READ~FIELDS~X-A: a~ ~~", 400},
	{"9112 5.2 folded Transfer-Encoding", "WRITE~FIELDS~Transfer-Encoding:~ chunked~~0~~", 400},
	{"9112 5.2 folded Content-Length", "WRITE~FIELDS~Content-Length:~ 3~~abc", 400},
	{"9110 5.5 NUL in a value", "READ~FIELDS~X-A: a\x00b~~", 400},
	{"9110 5.5 DEL in a value", "READ~FIELDS~X-A: a\x7fb~~", 400},
	{"9110 5.5 control character before Transfer-Encoding's value", "WRITE~FIELDS~Transfer-Encoding: \x0bchunked~~0~~", 400},
	{"9112 6.1 both lengths", "WRITE~FIELDS~Content-Length: 5~Transfer-Encoding: chunked~~0~~", 400},
	{"9112 6.1 HTTP/1.0 with Transfer-Encoding", "PUT /v1/form/00000000000000aa HTTP/1.0~FIELDS~Transfer-Encoding: chunked~~0~~", 400},
	{"9112 6.1 unknown coding before chunked", "WRITE~FIELDS~Transfer-Encoding: gzip, chunked~~0~~", 501},
	{"9112 6.1 unknown coding on a line of its own", "WRITE~FIELDS~Transfer-Encoding: gzip~Transfer-Encoding: chunked~~0~~", 501},
	{"9112 6.3 last coding is not chunked", "WRITE~FIELDS~Transfer-Encoding: gzip~~", 400},
	{"9112 6.3 chunked is not the last coding", "WRITE~FIELDS~Transfer-Encoding: chunked, gzip~~0~~", 400},
	{"9112 6.3 identity", "WRITE~FIELDS~Transfer-Encoding: identity~~", 400},
	{"9112 6.3 no coding", "WRITE~FIELDS~Transfer-Encoding:~~", 400},
	{"9112 7 chunked with a Kelvin sign", "WRITE~FIELDS~Transfer-Encoding: chun\u212aed~~0~~", 400},
	{"9112 7.1 chunked twice", "WRITE~FIELDS~Transfer-Encoding: chunked, chunked~~0~~", 400},
	{"9112 7.1 chunked on two lines", "WRITE~FIELDS~Transfer-Encoding: chunked~Transfer-Encoding: chunked~~0~~", 400},
	{"9112 7.1 chunked with a parameter", "WRITE~FIELDS~Transfer-Encoding: chunked;q=1~~0~~", 400},
	{"9112 6.2 length with a plus", "WRITE~FIELDS~Content-Length: +3~~abc", 400},
	{"9112 6.2 length below zero", "WRITE~FIELDS~Content-Length: -3~~abc", 400},
	{"9112 6.2 length in hexadecimal", "WRITE~FIELDS~Content-Length: 0x3~~abc", 400},
	{"9112 6.2 length with a space", "WRITE~FIELDS~Content-Length: 3 3~~abc", 400},
	{"9112 6.2 no digits", "WRITE~FIELDS~Content-Length:~~abc", 400},
	{"9112 6.2 length beyond 64 bits", "WRITE~FIELDS~Content-Length: 18446744073709551619~~abc", 400},
	{"9112 6.3 list of lengths", "WRITE~FIELDS~Content-Length: 3, 3~~abc", 400},
	{"9112 6.3 two lengths", "WRITE~FIELDS~Content-Length: 3~Content-Length: 4~~abcd", 400},
	{"9112 7.1 no size", "CHUNKED~abc~0~~", 400},
	{"9112 7.1 size with 0x", "CHUNKED0x3~abc~0~~", 400},
	{"9112 7.1 size with a plus", "CHUNKED+3~abc~0~~", 400},
	{"9112 7.1 size below zero", "CHUNKED-3~abc~0~~", 400},
	{"9112 7.1 size with an underscore", "CHUNKED0_3~abc~0~~", 400},
	{"9112 7.1 size after a space", "CHUNKED 3~abc~0~~", 400},
	{"9112 7.1 size before a space", "CHUNKED3 ~abc~0~~", 400},
	{"9112 7.1 size of 17 digits", "CHUNKED10000000000000003~abc~0~~", 400},
	{"9112 7.1 size before LF", "CHUNKED3\nabc~0~~", 400},
	{"9112 7.1 size before two CR", "CHUNKED3\r~abc~0~~", 400},
	{"9112 7.1 more bytes than the size", "CHUNKED3~abcd~0~~", 400},
	{"9112 7.1 bytes before LF", "CHUNKED3~abc\n0~~", 400},
	{"9112 7.1.1 extension without a name", "CHUNKED3;~abc~0~~", 400},
	{"9112 7.1.1 extension without a value", "CHUNKED3;a=~abc~0~~", 400},
	{"9112 7.1.1 extension that is no token", "CHUNKED3;a b~abc~0~~", 400},
	{"9112 7.1.1 space before an extension", "CHUNKED3 ;a~abc~0~~", 400},
	{"9112 7.1.1 open quotes", "CHUNKED3;a=\"b~abc~0~~", 400},
	{"9112 7.1.1 CR in an extension", "CHUNKED3;a\r=b~abc~0~~", 400},
	{"9112 7.1.1 LF in quotes", "CHUNKED3;a=\"\n\"~abc~0~~", 400},
	{"9112 7.1.2 last chunk before LF", "CHUNKED3~abc~0\n~", 400},
	{"9112 7.1.2 trailers end with LF", "CHUNKED3~abc~0~X-A: a~\n", 400},
	{"9112 7.1.2 trailer ends with LF", "CHUNKED3~abc~0~X-A: a\n~", 400},
	{"9112 7.1.2 trailer with a space before the colon", "CHUNKED3~abc~0~X-A : a~~", 400},
	{"9112 7.1.2 folded trailer", "CHUNKED3~abc~0~X-A: a~ b~~", 400},
	{"9112 7.1.2 space before the first trailer", "CHUNKED3~abc~0~ X-A: a~~", 400},
	{"9112 7.1.2 trailer without a colon", "CHUNKED3~abc~0~X-A~~", 400},
	{"9110 6.5.1 trailer Content-Length", "CHUNKED3~abc~0~Content-Length: 3~~", 400},
	{"9110 6.5.1 trailer Transfer-Encoding", "CHUNKED3~abc~0~Transfer-Encoding: chunked~~", 400},
	{"9110 6.5.1 trailer Host", "CHUNKED3~abc~0~host: y~~", 400},
	{"9110 6.5.1 trailer of the protocol", "CHUNKED3~abc~0~X-Txn-Key: k2~~", 400},
	{"9110 6.6.2 Trailer names Content-Length", "WRITE~FIELDS~Trailer: X-A, Content-Length~Transfer-Encoding: chunked~~0~~", 400},
	{"9110 7.2 no Host", "READ~X-Txn: TRANSACTION~X-Ttl-Ms: 3000~~", 400},
	{"9110 7.2 no Host in a later minor version", "GET /v1/part/00000000000000aa HTTP/1.2~X-Txn: TRANSACTION~X-Ttl-Ms: 3000~~", 400},
	{"9110 7.2 no Host in absolute form", "GET http://x/v1/part/00000000000000aa HTTP/1.1~X-Txn: TRANSACTION~X-Ttl-Ms: 3000~~", 400},
	{"9110 7.2 two Hosts", "READ~FIELDS~Host: x~~", 400},
	{"9110 7.2 Host with a user", "READ~X-Txn: TRANSACTION~X-Ttl-Ms: 3000~Host: u@x~~", 400},
	{"9110 7.2 Host with a path", "READ~X-Txn: TRANSACTION~X-Ttl-Ms: 3000~Host: x/y~~", 400},
	{"9110 7.2 Host with a space", "READ~X-Txn: TRANSACTION~X-Ttl-Ms: 3000~Host: x y~~", 400},
	{"9110 7.2 Host with a port that is no number", "READ~X-Txn: TRANSACTION~X-Ttl-Ms: 3000~Host: x:y~~", 400},
	{"9110 7.2 Host with open brackets", "READ~X-Txn: TRANSACTION~X-Ttl-Ms: 3000~Host: [::1~~", 400},
	{"9110 7.2 Host with two ports", "READ~X-Txn: TRANSACTION~X-Ttl-Ms: 3000~Host: x:1:2~~", 400},
	{"9110 10.1.1 unknown expectation", "WRITE~FIELDS~Expect: 200-ok~Content-Length: 3~~abc", 417},
}

// soundRequests are messages in unusual forms that HTTP/1.1 allows.
var soundRequests = []struct{ name, message string }{
	{"9112 2.2 empty line before the request", "~READ~FIELDS~~"},
	{"9112 2.3 HTTP/1.0 without a Host", "GET /v1/part/00000000000000aa HTTP/1.0~X-Txn: TRANSACTION~X-Ttl-Ms: 3000~~"},
	{"9112 2.3 later minor version", "GET /v1/part/00000000000000aa HTTP/1.9~FIELDS~~"},
	{"9112 3.2 percent-encoded query", "GET /v1/part/00000000000000aa?block=%31 HTTP/1.1~FIELDS~~"},
	{"9112 3.2.2 absolute form", "GET HTTP://x:80/v1/part/00000000000000aa?block=1 HTTP/1.1~FIELDS~~"},
	{"9112 3.2.2 absolute form of https", "GET https://[::1]/v1/part/00000000000000aa HTTP/1.1~FIELDS~~"},
	{"9112 5 no space, much space", "READ~FIELDS~X-A:a~X-B: \t b \t ~~"},
	{"9112 5 names in other letters", "WRITE~FIELDS~cOnTeNt-LeNgTh: 3~~abc"},
	{"9110 5.5 value with bytes above 127, and none", "READ~FIELDS~X-A: \xc3\xa9\x80:~X-B:~~"},
	{"9110 5.6.2 name of each kind of character", "READ~FIELDS~09azAZ!#$%&'*+-.^_`|: a~~"},
	{"9112 6.2 zeros before a length", "WRITE~FIELDS~Content-Length: 003~~abc"},
	{"9112 7 chunked in other letters", "WRITE~FIELDS~Transfer-Encoding: \tChunked ~~3~abc~0~~"},
	{"9112 7.1 zeros and capitals in sizes", "CHUNKED00a~0123456789~A~0123456789~000~~"},
	{"9112 7.1 empty body", "CHUNKED0~~"},
	{"9112 7.1.1 extensions", "CHUNKED3;a;b=c;d=\"\\\"; \xc3\"~abc~0;\te = f~~"},
	{"9112 7.1.2 trailers", "WRITE~FIELDS~Trailer: X-A, X-B~Transfer-Encoding: chunked~~3~abc~0~X-A: a~x-b:~~"},
	{"9110 7.2 Host with a port", "READ~X-Txn: TRANSACTION~X-Ttl-Ms: 3000~Host: a_b.%C3%A4:80~~"},
	{"9110 7.2 Host with an address", "READ~X-Txn: TRANSACTION~X-Ttl-Ms: 3000~Host: [::1]:~~"},
	{"9110 7.2 empty Host", "READ~X-Txn: TRANSACTION~X-Ttl-Ms: 3000~Host:~~"},
	{"9110 10.1.1 expectation in HTTP/1.0", "PUT /v1/form/00000000000000aa HTTP/1.0~FIELDS~Expect: 100-continue~Content-Length: 3~~abc"},
}

// expandRequest replaces the placeholders of a message.
func expandRequest(message string, transaction int) string {
	return strings.NewReplacer(
		"READ", "GET /v1/part/00000000000000aa HTTP/1.1",
		"WRITE", "PUT /v1/form/00000000000000aa HTTP/1.1",
		"CHUNKED", "PUT /v1/form/00000000000000aa HTTP/1.1\r\nHost: x\r\nX-Txn-Key: k1\r\nX-Ttl-Ms: 3000\r\nTransfer-Encoding: chunked\r\n"+daemontest.Transaction(transaction)+"\r\n\r\n",
		"FIELDS", "Host: x\r\nX-Txn-Key: k1\r\nX-Ttl-Ms: 3000\r\n"+daemontest.Transaction(transaction),
		"TRANSACTION", fmt.Sprintf("%016x", transaction),
		"~", "\r\n",
	).Replace(message)
}

// checkMalformed sends a malformed message with the given text behind it on a new connection. It checks
// that one response rejects the message and that the connection ends.
func checkMalformed(t *testing.T, addr, message string, status int) {
	t.Helper()
	client := daemontest.Dial(t, addr)
	client.Send(t, message)
	if response := client.Receive(t); response.Status != status || !response.Close {
		t.Errorf("got status %d, connection closed %v; want %d and a closed connection", response.Status, response.Close, status)
	}
	if response, err := client.Read(); !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("got another response %+v, error %v; want the end of the connection", response, err)
	}
}

// TestMalformedRequestsReachNoServer guards against requests that are hidden in the body of another one: a
// router that overlooks a Transfer-Encoding field with a space before its colon sends on the request with
// that field, and the request that its body holds. Each malformed message, and the sound write behind it,
// gets one rejection and the end of its connection, and reaches no server.
func TestMalformedRequestsReachNoServer(t *testing.T) {
	server := daemontest.NewServer(t, servesAll)
	addr, _ := runDaemon(t, oneCache(daemontest.NewIdleChangeLog(t), server))
	for i, test := range malformedRequests {
		t.Run(test.name, func(t *testing.T) {
			before := len(server.Requests())
			checkMalformed(t, addr, expandRequest(test.message+"WRITE~FIELDS~Content-Length: 0~~", 2*i+1), test.status)
			if got := server.Requests()[before:]; len(got) > 0 {
				t.Errorf("a server got %q, want nothing", got)
			}
		})
	}
}

// TestMalformedAdminCallsDoNothing sends the malformed messages to the admin API, as calls that disable the
// only cache. None may be carried out; a sound call is.
func TestMalformedAdminCallsDoNothing(t *testing.T) {
	const call = "POST /caches/disable/s-00000001"
	adminAddr := daemontest.FreeAddr(t)
	server := daemontest.NewServer(t, servesAll)
	runDaemonWithEnv(t, oneCache(daemontest.NewIdleChangeLog(t), server), map[string]string{"EDGE_MGMT": adminAddr, "TMPDIR": t.TempDir()})
	asCall := strings.NewReplacer("GET /v1/part/00000000000000aa", call, "PUT /v1/form/00000000000000aa", call, "/v1/part/00000000000000aa", "/caches/disable/s-00000001")
	checkDisabled := func(want string) {
		t.Helper()
		if body := daemontest.Exchange(t, adminAddr, daemontest.Request("GET", "/metrics")).Body; !strings.Contains(body, "\napp_out_of_rotation "+want+"\n") {
			t.Fatalf("got metrics %s, want %s disabled", body, want)
		}
	}
	daemontest.WaitUntil(t, "the admin API accepts connections", func() bool {
		client, err := daemontest.DialContext(t.Context(), adminAddr)
		if err == nil {
			daemontest.Close(t, client)
		}
		return err == nil
	})
	for i, test := range malformedRequests {
		t.Run(test.name, func(t *testing.T) {
			checkMalformed(t, adminAddr, asCall.Replace(expandRequest(test.message, i+1)), test.status)
			checkDisabled("0")
		})
	}
	if got := daemontest.Exchange(t, adminAddr, asCall.Replace(expandRequest("READ~FIELDS~~", 0))).Status; got != 200 {
		t.Errorf("a sound call: got status %d, want 200", got)
	}
	checkDisabled("1")
}

// TestSoundRequestsAreServed checks that the strictness about malformed messages costs no sound one: each is
// served by one attempt, and the connection stays open unless the client speaks HTTP/1.0.
func TestSoundRequestsAreServed(t *testing.T) {
	server := daemontest.NewServer(t, servesAll)
	addr, _ := runDaemon(t, oneCache(daemontest.NewIdleChangeLog(t), server))
	for i, test := range soundRequests {
		t.Run(test.name, func(t *testing.T) {
			before := len(server.Requests())
			response := daemontest.Dial(t, addr).Exchange(t, expandRequest(test.message, i+1))
			if wantClose := strings.Contains(test.message, "HTTP/1.0"); response.Status != 200 || response.Close != wantClose {
				t.Errorf("got status %d, connection closed %v; want 200 and %v", response.Status, response.Close, wantClose)
			}
			if got := server.Requests()[before:]; len(got) != 1 {
				t.Errorf("a server got %q, want one request", got)
			}
		})
	}
}
