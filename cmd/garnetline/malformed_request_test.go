package main

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"

	"garnetline/internal/daemontest"
	"garnetline/internal/fakeserver"
)

// malformedRequests are messages that the router must reject without sending anything to a server. In a
// message, READ stands for the request line of a read, WRITE for that of a write, FIELDS for the fields
// that each of them needs, CHUNKED for a write whose chunks follow, and ~ for a line end. The names begin
// with the section of the RFC that a message violates.
var malformedRequests = []struct {
	name, message string
	status        int
}{
	{"9112 2.2 CR in a value", "READ~FIELDS~X-A: a\rb~~", 400},
	{"9112 2.2 two CR at the end of a line", "READ~FIELDS~X-A: a\r~~", 400},
	{"9112 2.2 space before the first field", "READ~ X-A: a~FIELDS~~", 400},
	{"9112 2.2 line of a space before the first field", "READ~ ~FIELDS~~", 400},
	{"9112 2.2 line of a space before the request", " ~READ~FIELDS~~", 400},
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

// TestMalformedRequestsReachNoServer guards against requests that are hidden in the body of another one: a
// router that overlooks a Transfer-Encoding field with a space before its colon sends on the request with
// that field, and the request that its body holds. Each malformed message, and the sound write behind it,
// gets one rejection and the end of its connection, and reaches no server.
func TestMalformedRequestsReachNoServer(t *testing.T) {
	server := daemontest.NewServer(t, func(id, _ string) string { return fakeserver.Answer(id, "DONE", "-", servedBody) })
	addr, _ := runDaemon(t, daemontest.Config{
		ChangeLog: daemontest.NewIdleChangeLog(t).Addr(),
		Endpoints: []daemontest.Endpoint{
			{ID: 1, Kind: daemontest.Cache, Addr: server.Addr()},
			{ID: 9, Kind: daemontest.Origin, Addr: server.Addr()},
		},
	})
	for i, test := range malformedRequests {
		t.Run(test.name, func(t *testing.T) {
			before := len(server.Requests())
			client := daemontest.Dial(t, addr)
			client.Send(t, expandRequest(test.message+"WRITE~FIELDS~Content-Length: 0~~", 2*i+1))
			if response := client.Receive(t); response.Status != test.status || !response.Close {
				t.Errorf("got status %d, connection closed %v; want %d and a closed connection", response.Status, response.Close, test.status)
			}
			if response, err := client.Read(); !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
				t.Errorf("got another response %+v, error %v; want the end of the connection", response, err)
			}
			if got := server.Requests()[before:]; len(got) > 0 {
				t.Errorf("a server got %q, want nothing", got)
			}
		})
	}
}
