package fakeserver

import (
	"slices"
	"testing"
)

const doneAnswer = "*4\r\n$2\r\nab\r\n$4\r\nDONE\r\n$5\r\ntag=x\r\n$4\r\nb\r\ny\r\n"

func TestServerAnswersCommands(t *testing.T) {
	reply := func(id, fields string) string {
		switch fields {
		case "silent":
			return ""
		case "close":
			return CloseConnection
		}
		return Answer(id, "DONE", "tag=x", "b\r\ny")
	}
	const (
		plain      = "*3\r\n$5\r\nserve\r\n$2\r\nab\r\n$5\r\nplain\r\n"
		silent     = "*3\r\n$5\r\nserve\r\n$2\r\nab\r\n$6\r\nsilent\r\n"
		closing    = "*3\r\n$5\r\nserve\r\n$2\r\nab\r\n$5\r\nclose\r\n"
		loadReport = "*2\r\n$6\r\ngauges\r\n$4\r\np7.1\r\n"
		unknown    = "*3\r\n$4\r\nskip\r\n$2\r\nab\r\n$5\r\nplain\r\n"
	)
	for _, test := range []struct {
		name       string
		loadReport func(tag string) string
		sent       string
		want       string
		closed     bool // whether the server then closes the connection
		requests   []string
	}{
		{name: "request", sent: plain, want: doneAnswer, requests: []string{"plain"}},
		{name: "several requests", sent: plain + plain, want: doneAnswer + doneAnswer, requests: []string{"plain", "plain"}},
		{name: "no reply", sent: silent + plain, want: doneAnswer, requests: []string{"silent", "plain"}},
		{name: "closed connection", sent: plain + closing + plain, want: doneAnswer, closed: true, requests: []string{"plain", "close"}},
		{name: "unknown command", sent: unknown + plain, want: doneAnswer, requests: []string{"plain"}},
		{name: "health check without a load report", sent: loadReport + plain, want: doneAnswer, requests: []string{"plain"}},
		{
			name:       "health check",
			loadReport: func(tag string) string { return "l=" + tag },
			sent:       loadReport,
			want:       "*4\r\n$4\r\np7.1\r\n$3\r\nFIT\r\n$6\r\nl=p7.1\r\n$0\r\n\r\n",
		},
		{name: "too many arguments", sent: "*17\r\n", closed: true},
		{name: "an argument that is too long", sent: "*3\r\n$67108865\r\n", closed: true},
		{name: "a negative length", sent: "*-1\r\n", closed: true},
		{name: "no array", sent: "serve ab plain\r\n", closed: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			server, err := NewServer(reply)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = server.Close() })
			server.SetLoadReport(test.loadReport)
			conn := dial(t, server)
			write(t, conn, test.sent)
			expectBytes(t, conn, test.want)
			if test.closed {
				expectEnd(t, conn)
			}
			if got := server.Requests(); !slices.Equal(got, test.requests) {
				t.Errorf("got requests %q, want %q", got, test.requests)
			}
		})
	}
}
