package leasemanager

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	goflag "flag"
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"garnetline/internal/fleet/consensus"
	"garnetline/internal/fleet/consensus/wal"
	"garnetline/internal/fleet/fragment"
	"garnetline/internal/fleet/lease"
	"garnetline/internal/fleet/leaseregistry"
	"garnetline/internal/fleet/membership"
	"garnetline/routing"
)

// Only a wanted change of a form calls for `go test ./PACKAGE -run Golden -update`, which
// writes the files of testdata anew.
var update = goflag.Bool("update", false, "write the golden files of testdata")

// compareGolden compares bytes with a file of testdata.
func compareGolden(t *testing.T, file string, got []byte) {
	t.Helper()
	path := "testdata/" + file
	if *update {
		if err := os.WriteFile(path, got, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("%s: written as\n%s\nstored as\n%s", file, got, want)
	}
}

// message is one form with what reads it.
type message struct {
	name   string
	bytes  []byte
	value  any
	decode func(b []byte) (any, bool)
}

// banRequest is a question about staff's bans with its number.
type banRequest struct {
	RequestID uint64
	consensus.BanRequest
}

func messages() []message {
	getAsk := func(b []byte) (any, bool) { v, ok := DecodeRequest(b); return v, ok }
	getAnswer := func(b []byte) (any, bool) { v, ok := DecodeResponse(b); return v, ok }
	getHint := func(b []byte) (any, bool) { v, ok := decodeLeaderHint(b); return v, ok }
	getBanAsk := func(b []byte) (any, bool) { q, v, ok := decodeBanRequest(b); return banRequest{q, v}, ok }
	getBanAnswer := func(b []byte) (any, bool) { v, ok := DecodeBanResponse(b); return v, ok }
	getHello := func(b []byte) (any, bool) { v, ok := decodeHello(b); return v, ok }
	getOwn := func(b []byte) (any, bool) { v, ok := decodeVoterMetadata(b); return v, ok }
	var all []message
	ask := func(name string, a lease.Request) { all = append(all, message{name, EncodeRequest(a), a, getAsk}) }
	ask("ask", lease.Request{ID: 1 << 62, Lease: "probe/edge"})
	ask("renew", lease.Request{ID: 2, Lease: "probe/edge", FencingToken: 300})
	ask("give-to", lease.Request{ID: 3, Lease: "probe/edge", FencingToken: 300, Release: true, TransferTo: 0x1122334455667788, Handoff: []byte("\x00work\xff")})
	ask("give-up", lease.Request{ID: 4, Lease: "first/north", FencingToken: 301, Release: true})
	answer := func(name string, a lease.Response) { all = append(all, message{name, EncodeResponse(a), a, getAnswer}) }
	answer("answer-yes", lease.Response{RequestID: 1 << 62, Lease: "probe/edge", Granted: true, FencingToken: 300, Holder: 9, Remaining: 3230, Handoff: []byte("w")})
	answer("answer-no", lease.Response{RequestID: 2, Lease: "probe/edge", FencingToken: 300, Holder: 0x1122334455667788, Remaining: 1500, Losses: 3})
	answer("handed-on", lease.Response{Lease: "probe/edge", FencingToken: 301, Holder: 9})
	answer("freed", lease.Response{Lease: "probe/edge", FencingToken: 302})
	h := leaderHint{5, "r01"}
	all = append(all, message{"hint", h.encode(), h, getHint})
	ban := func(name string, q banRequest) {
		all = append(all, message{name, EncodeBanRequest(q.RequestID, q.BanRequest), q, getBanAsk})
	}
	ban("ban-ask", banRequest{6, consensus.BanRequest{KnownVersion: 17}})
	ban("ban-set", banRequest{7, consensus.BanRequest{KnownVersion: 17, Set: &leaseregistry.Command{Op: leaseregistry.OpSetBan, Server: routing.ServerID(7), Disabled: true, ExpectedToken: 17,
		Text: "ann", Reason: "broken", SetAt: 1_700_000_000_123, RequestID: 7}}})
	banAnswer := func(name string, a consensus.BanResponse) {
		all = append(all, message{name, encodeBanResponse(a), a, getBanAnswer})
	}
	banAnswer("bans-unchanged", consensus.BanResponse{RequestID: 6, Version: 17})
	banAnswer("bans-refused", consensus.BanResponse{RequestID: 7, Version: 18, Rejection: leaseregistry.ErrTokenMismatch.Error(), Bans: []byte{0x12, 2, 8, 8}})
	say := func(name string, h hello) { all = append(all, message{name, h.encode(), h, getHello}) }
	say("hello-fresh", hello{Name: "r01", RaftID: bootstrapRaftID("fleet", "r01"), NoLog: true})
	say("hello-back", hello{Name: "r02", RaftID: 5, Reply: true})
	say("hello-heard", hello{Name: "r02", RaftID: 5, Reply: true, HeardFromSender: true})
	say("hello-voter", hello{Name: "r02", RaftID: 5, Reply: true, SenderIsVoter: true})
	say("hello-join", hello{Name: "r03", RaftID: 1<<63 + 1, JoinRequest: true})
	o := voterMetadata{RaftID: 1<<63 + 1, HeardFrom: []uint64{1, 300, 1 << 62}}
	all = append(all, message{"own", o.encode(), o, getOwn})
	return all
}

// What routers and electors say to each other, and what an elector's log keeps of it.
func TestGoldenMessages(t *testing.T) {
	var lines strings.Builder
	for _, m := range messages() {
		fmt.Fprintf(&lines, "%s %x\n", m.name, m.bytes)
	}
	compareGolden(t, "messages.golden", []byte(lines.String()))
	stored, err := os.ReadFile("testdata/messages.golden")
	if err != nil {
		t.Fatal(err)
	}
	byName := map[string][]byte{}
	for line := range strings.Lines(string(stored)) {
		name, digits, _ := strings.Cut(strings.TrimSpace(line), " ")
		if byName[name], err = hex.DecodeString(digits); err != nil {
			t.Fatal(err)
		}
	}
	for _, m := range messages() {
		if got, ok := m.decode(byName[m.name]); !ok || !reflect.DeepEqual(got, m.value) {
			t.Errorf("%s: read as %+v, want %+v", m.name, got, m.value)
		}
	}
}

// What operators see of the register and of what is held.
func TestGoldenJSON(t *testing.T) {
	for file, page := range map[string]any{
		"register.json": Status{Voter: true, Leader: "r01", Leading: true, Voters: []string{"r01", "r02", "r03"}, Learners: []string{"r04"}, Term: 4,
			AppliedIndex: 99, Fault: "disk", Leases: []LeaseStatus{{Name: "probe/edge", Holder: "r02", FencingToken: 98}}},
		"no_elector.json": Status{},
		"held.json":       []Lease{{Name: "probe/edge", FencingToken: 98, ExpiresAt: 12345.5, Handoff: []byte("work")}, {Name: "first/north", FencingToken: 97, ExpiresAt: 1}},
	} {
		got, err := json.MarshalIndent(page, "", "  ")
		if err != nil {
			t.Fatal(err)
		}
		compareGolden(t, file, append(got, '\n'))
	}
}

// Electors that are started for the first time, elect one of them, answer a router and take
// another in, say to each other what they said before: only the first one's clock goes, so
// that it is always the one that stands for election.
func TestGoldenElectors(t *testing.T) {
	set := Settings{Fleet: "fleet", Voters: []string{"r01", "r02", "r03"}, Consensus: consensus.DefaultSettings()}
	electors := map[string]*voter{}
	start := func(name string, mark []byte) {
		folder := wal.Dir(t.TempDir())
		if mark != nil {
			l, _, _, err := wal.Open(folder, set.Fleet+"/"+name)
			if err != nil {
				t.Fatal(err)
			}
			if err := l.SaveMetadata(mark); err != nil {
				t.Fatal(err)
			}
			l.Close()
		}
		e, err := newVoter(set, set.Fleet, name, folder, 0)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { e.log.Close() })
		electors[name] = e
	}
	for _, name := range set.Voters {
		start(name, nil)
	}
	var lines []string
	seen := map[string]bool{}
	now, fresh := 0.0, uint64(99)
	type mail struct {
		from string
		outgoingMessage
	}
	deliver := func(queue []mail) {
		for len(queue) > 0 {
			m := queue[0]
			queue = queue[1:]
			kind := fmt.Sprintf("channel %d", m.channel)
			if m.channel == fragment.Raft {
				r := &raftpb.Message{}
				if err := proto.Unmarshal(m.payload, r); err != nil {
					t.Fatal(err)
				}
				kind = fmt.Sprintf("raft %v, %d entries, context of %d bytes", r.GetType(), len(r.GetEntries()), len(r.GetContext()))
			}
			if !seen[kind] {
				seen[kind] = true
				lines = append(lines, fmt.Sprintf("%s, %s to %s: %x", kind, m.from, m.voterName, m.payload))
			}
			e := electors[m.voterName]
			if e == nil {
				continue
			}
			at := 0.0
			if m.voterName == "r01" {
				at = now
			}
			for _, p := range e.step(at, func(e *voter) consensus.Input {
				return e.handleMessage(membership.ID(1), 1, m.channel, m.payload, m.from)
			}).messages {
				queue = append(queue, mail{m.voterName, p})
			}
		}
	}
	step := func(name string, at float64) {
		for _, p := range electors[name].step(at, nil).messages {
			deliver([]mail{{name, p}})
		}
	}
	// run has the first one's time pass, and another one say hello each time, until done.
	run := func(what string, done func() bool, others ...string) {
		t.Helper()
		for end := now + 10_000; !done(); now += 10 {
			if now > end {
				t.Fatalf("%s: not in 10 s", what)
			}
			step("r01", now)
			for _, name := range others {
				electors[name].nextHelloAt = 0
				step(name, 0)
			}
		}
	}
	run("all begin", func() bool {
		return electors["r01"].node != nil && electors["r02"].node != nil && electors["r03"].node != nil
	}, "r02", "r03")
	run("a leader", func() bool { return electors["r01"].leading })
	ask := outgoingMessage{voterName: "r01", channel: fragment.LeaseRequest, payload: EncodeRequest(lease.Request{ID: 1, Lease: "probe/edge"})}
	deliver([]mail{{"a router", ask}})
	run("a grant", func() bool { return len(electors["r02"].node.State().Leases) > 0 })
	ask.voterName = "r02"
	deliver([]mail{{"a router", ask}})

	// One that lost its disk is taken in under another number.
	start("r03", voterMetadata{RaftID: fresh}.encode())
	run("a snapshot for it", func() bool { return electors["r03"].node.Status().AppliedIndex > 0 }, "r03")
	compareGolden(t, "electors.golden", []byte(strings.Join(lines, "\n")+"\n"))
}
