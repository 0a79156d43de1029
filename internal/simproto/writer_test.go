package simproto

import (
	"testing"
	"time"

	"garnetline/routing"
)

func TestAppendActionWritesLine(t *testing.T) {
	const microsecond = time.Microsecond
	for _, test := range []struct {
		name   string
		action routing.Action
		want   string
	}{
		{
			name: "attempt",
			action: routing.SendAttempt{
				ID: 5, Server: 51530247, FillSource: 747639282, CopyRank: 2,
				MaxAge: 1500000 * microsecond, Deadline: 9312250 * microsecond,
				JoinFill: true, Revalidate: true, OnlyIfCached: true,
			},
			want: "SERVE_OR_FILL 5 2 11 9312250 51530247 747639282 1500000\n",
		},
		{"rejection", routing.Reject{ID: 5, RetryAfter: 250 * time.Millisecond}, "REFUSE 5 250000\n"},
		{"failure", routing.Fail{ID: 5}, "ABORT 5\n"},
		{"cancellation", routing.CancelAttempt{ID: 5, Attempt: 1}, "REVOKE 5 1\n"},
		{"timer", routing.SetTimer{Delay: 500 * microsecond, Token: 77}, "SCHEDULE 500 77\n"},
		{"subscription", routing.Subscribe{}, "FOLLOW 1\n"},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := string(AppendAction(nil, test.action)); got != test.want {
				t.Errorf("%T: got %q, want %q", test.action, got, test.want)
			}
		})
	}
}

func TestReplyNamesInstanceAndEnds(t *testing.T) {
	got := string(AppendReplyEnd(AppendInstance(nil, 3)))
	if want := "BY 3\nNEXT\n"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}
