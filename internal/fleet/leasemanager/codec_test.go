package leasemanager

import (
	"encoding/json"
	"reflect"
	"slices"
	"testing"

	"garnetline/internal/fleet/consensus"
	"garnetline/internal/fleet/lease"
	"garnetline/internal/fleet/leaseregistry"
	"garnetline/internal/golden"
	"garnetline/routing"
)

func TestCodecRoundTrip(t *testing.T) {
	request := lease.Request{ID: 1 << 62, Lease: "probe/x", FencingToken: 7, Release: true, TransferTo: 9, Handoff: []byte("w")}
	if got, ok := DecodeRequest(EncodeRequest(request)); !ok || !reflect.DeepEqual(got, request) {
		t.Errorf("lease request decoded as %+v, want the value that was encoded", got)
	}
	response := lease.Response{RequestID: 3, Lease: "probe/x", Granted: true, FencingToken: 7, Holder: 9, Remaining: 1500, Losses: 2, Handoff: []byte("w")}
	if got, ok := DecodeResponse(EncodeResponse(response)); !ok || !reflect.DeepEqual(got, response) {
		t.Errorf("lease response decoded as %+v, want the value that was encoded", got)
	}
	message := hello{Name: "r1", RaftID: 5, Reply: true, HeardFromSender: true}
	if got, ok := decodeHello(message.encode()); !ok || got != message {
		t.Errorf("hello decoded as %+v, want the value that was encoded", got)
	}
	metadata := voterMetadata{RaftID: 4, HeardFrom: []uint64{1, 2}}
	if got, ok := decodeVoterMetadata(metadata.encode()); !ok || !reflect.DeepEqual(got, metadata) {
		t.Errorf("metadata decoded as %+v, want the value that was encoded", got)
	}
	hint := leaderHint{5, "r1"}
	if got, ok := decodeLeaderHint(hint.encode()); !ok || got != hint {
		t.Errorf("leader hint decoded as %+v, want the value that was encoded", got)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(EncodeResponse(lease.Response{Lease: "a", Granted: true}))
	f.Add(hello{Name: "r1", RaftID: 5}.encode())
	f.Fuzz(func(t *testing.T, b []byte) {
		if request, ok := DecodeRequest(b); ok && (len(request.Lease) > 64 || len(request.Handoff) > 512) {
			t.Fatalf("decoded request %+v exceeds the limits of 64 bytes for the lease and 512 for the handoff", request)
		}
		DecodeResponse(b)
		decodeHello(b)
		decodeVoterMetadata(b)
		decodeLeaderHint(b)
	})
}

// goldenMessage is a message with its encoding and the function that decodes it.
type goldenMessage struct {
	name    string
	encoded []byte
	value   any
	decode  func(b []byte) (any, bool)
}

func decodeAs[T any](decode func(b []byte) (T, bool)) func(b []byte) (any, bool) {
	return func(b []byte) (any, bool) {
		value, ok := decode(b)
		return value, ok
	}
}

// banRequest is a request about operators' bans, with its request ID.
type banRequest struct {
	RequestID uint64
	consensus.BanRequest
}

func goldenMessages() []goldenMessage {
	return slices.Concat(goldenLeaseMessages(), goldenBanMessages(), goldenVoterMessages())
}

func goldenLeaseMessages() (messages []goldenMessage) {
	for _, c := range []struct {
		name    string
		request lease.Request
	}{
		{"ask", lease.Request{ID: 1 << 62, Lease: "probe/edge"}},
		{"renew", lease.Request{ID: 2, Lease: "probe/edge", FencingToken: 300}},
		{"give-to", lease.Request{
			ID: 3, Lease: "probe/edge", FencingToken: 300, Release: true, TransferTo: 0x1122334455667788, Handoff: []byte("\x00work\xff"),
		}},
		{"give-up", lease.Request{ID: 4, Lease: "first/north", FencingToken: 301, Release: true}},
	} {
		messages = append(messages, goldenMessage{c.name, EncodeRequest(c.request), c.request, decodeAs(DecodeRequest)})
	}
	for _, c := range []struct {
		name     string
		response lease.Response
	}{
		{"answer-yes", lease.Response{RequestID: 1 << 62, Lease: "probe/edge", Granted: true, FencingToken: 300, Holder: 9, Remaining: 3230, Handoff: []byte("w")}},
		{"answer-no", lease.Response{RequestID: 2, Lease: "probe/edge", FencingToken: 300, Holder: 0x1122334455667788, Remaining: 1500, Losses: 3}},
		{"handed-on", lease.Response{Lease: "probe/edge", FencingToken: 301, Holder: 9}},
		{"freed", lease.Response{Lease: "probe/edge", FencingToken: 302}},
	} {
		messages = append(messages, goldenMessage{c.name, EncodeResponse(c.response), c.response, decodeAs(DecodeResponse)})
	}
	hint := leaderHint{5, "r01"}
	messages = append(messages, goldenMessage{"hint", hint.encode(), hint, decodeAs(decodeLeaderHint)})
	return messages
}

func goldenBanMessages() (messages []goldenMessage) {
	for _, c := range []struct {
		name    string
		request banRequest
	}{
		{"ban-ask", banRequest{6, consensus.BanRequest{KnownVersion: 17}}},
		{"ban-set", banRequest{7, consensus.BanRequest{KnownVersion: 17, Set: &leaseregistry.Command{
			Op: leaseregistry.OpSetBan, Server: routing.ServerID(7), Disabled: true, ExpectedToken: 17,
			Text: "ann", Reason: "broken", SetAt: 1_700_000_000_123, RequestID: 7,
		}}}},
	} {
		messages = append(messages, goldenMessage{c.name, EncodeBanRequest(c.request.RequestID, c.request.BanRequest), c.request, func(b []byte) (any, bool) {
			id, request, ok := decodeBanRequest(b)
			return banRequest{id, request}, ok
		}})
	}
	for _, c := range []struct {
		name     string
		response consensus.BanResponse
	}{
		{"bans-unchanged", consensus.BanResponse{RequestID: 6, Version: 17}},
		{"bans-refused", consensus.BanResponse{RequestID: 7, Version: 18, Rejection: leaseregistry.ErrTokenMismatch.Error(), Bans: []byte{0x12, 2, 8, 8}}},
	} {
		messages = append(messages, goldenMessage{c.name, encodeBanResponse(c.response), c.response, decodeAs(DecodeBanResponse)})
	}
	return messages
}

func goldenVoterMessages() (messages []goldenMessage) {
	for _, c := range []struct {
		name    string
		message hello
	}{
		{"hello-fresh", hello{Name: "r01", RaftID: bootstrapRaftID("fleet", "r01"), NoLog: true}},
		{"hello-back", hello{Name: "r02", RaftID: 5, Reply: true}},
		{"hello-heard", hello{Name: "r02", RaftID: 5, Reply: true, HeardFromSender: true}},
		{"hello-voter", hello{Name: "r02", RaftID: 5, Reply: true, SenderIsVoter: true}},
		{"hello-join", hello{Name: "r03", RaftID: 1<<63 + 1, JoinRequest: true}},
	} {
		messages = append(messages, goldenMessage{c.name, c.message.encode(), c.message, decodeAs(decodeHello)})
	}
	metadata := voterMetadata{RaftID: 1<<63 + 1, HeardFrom: []uint64{1, 300, 1 << 62}}
	messages = append(messages, goldenMessage{"own", metadata.encode(), metadata, decodeAs(decodeVoterMetadata)})
	return messages
}

// The encodings of the messages between routers and voters, and of the metadata in a voter's log,
// must not change.
func TestGoldenMessages(t *testing.T) {
	messages := goldenMessages()
	var encoded []golden.Message
	for _, message := range messages {
		encoded = append(encoded, golden.Message{Name: message.name, Bytes: message.encoded})
	}
	for i, stored := range golden.CompareMessages(t, "messages.golden", encoded) {
		if got, ok := messages[i].decode(stored.Bytes); !ok || !reflect.DeepEqual(got, messages[i].value) {
			t.Errorf("%s: decoded as %+v, want %+v", stored.Name, got, messages[i].value)
		}
	}
}

// The JSON that operators see of the voter's state and of the held leases must not change.
func TestGoldenJSON(t *testing.T) {
	for file, page := range map[string]any{
		"register.json": Status{
			Voter: true, Leader: "r01", Leading: true, Voters: []string{"r01", "r02", "r03"}, Learners: []string{"r04"}, Term: 4,
			AppliedIndex: 99, Fault: "disk", Leases: []LeaseStatus{{Name: "probe/edge", Holder: "r02", FencingToken: 98}},
		},
		"no_elector.json": Status{},
		"held.json": []Lease{
			{Name: "probe/edge", FencingToken: 98, ExpiresAt: 12345.5, Handoff: []byte("work")},
			{Name: "first/north", FencingToken: 97, ExpiresAt: 1},
		},
	} {
		got, err := json.MarshalIndent(page, "", "  ")
		if err != nil {
			t.Fatal(err)
		}
		golden.Compare(t, file, append(got, '\n'))
	}
}
