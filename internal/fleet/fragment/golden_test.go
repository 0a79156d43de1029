package fragment

import (
	"bytes"
	"testing"

	"garnetline/internal/fleet/membership"
	"garnetline/internal/golden"
)

// The encoding of fragments and the numbers of the channels do not change, since routers of several
// releases run side by side.
func TestGoldenFragments(t *testing.T) {
	long := make([]byte, 2*maxFragmentLen+10)
	for i := range long {
		long[i] = byte(i * 7)
	}
	var messages []golden.Message
	for _, payload := range Split(300, Raft, long) {
		messages = append(messages, golden.Message{Name: "long", Bytes: payload})
	}
	names := []string{"raft", "lease-request", "lease-response", "load-report", "voter-hello", "leader-hint",
		"ban-request", "ban-response", "ejection-report", "probe-result"}
	channels := []Channel{Raft, LeaseRequest, LeaseResponse, LoadReport, VoterHello, LeaderHint, BanRequest, BanResponse, EjectionReport, ProbeResult}
	for i, channel := range channels {
		messages = append(messages, golden.Message{Name: names[i], Bytes: Split(uint64(i), channel, []byte(names[i]))[0]})
	}
	messages = append(messages, golden.Message{Name: "empty", Bytes: Split(1, Raft, nil)[0]})
	var reassembler Reassembler
	var got [][]byte
	for _, m := range golden.CompareMessages(t, "fragments.golden", messages) {
		if _, message, complete := reassembler.Add(0, membership.Payload{From: 1, Data: m.Bytes}); complete {
			got = append(got, message)
		}
	}
	if len(got) != 2+len(channels) || !bytes.Equal(got[0], long) {
		t.Fatalf("got %d reassembled messages, want %d and the long one first", len(got), 2+len(channels))
	}
	for i, name := range names {
		if string(got[1+i]) != name {
			t.Errorf("got message %q, want %q", got[1+i], name)
		}
	}
}
