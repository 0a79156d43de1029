package duties

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

	"garnetline/decide"
	"garnetline/internal/fleet/agree"
	"garnetline/internal/fleet/agree/disk"
	"garnetline/internal/fleet/carry"
	"garnetline/internal/fleet/duty"
	"garnetline/internal/fleet/member"
	"garnetline/internal/fleet/register"
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

// banQuestion is a question about staff's bans with its number.
type banQuestion struct {
	Question uint64
	agree.BanAsk
}

func messages() []message {
	getAsk := func(b []byte) (any, bool) { v, ok := GetAsk(b); return v, ok }
	getAnswer := func(b []byte) (any, bool) { v, ok := GetAnswer(b); return v, ok }
	getHint := func(b []byte) (any, bool) { v, ok := getHint(b); return v, ok }
	getBanAsk := func(b []byte) (any, bool) { q, v, ok := getBanAsk(b); return banQuestion{q, v}, ok }
	getBanAnswer := func(b []byte) (any, bool) { v, ok := GetBanAnswer(b); return v, ok }
	getHello := func(b []byte) (any, bool) { v, ok := getHello(b); return v, ok }
	getOwn := func(b []byte) (any, bool) { v, ok := getOwn(b); return v, ok }
	var all []message
	ask := func(name string, a duty.Ask) { all = append(all, message{name, PutAsk(a), a, getAsk}) }
	ask("ask", duty.Ask{Question: 1 << 62, Duty: "probe/edge"})
	ask("renew", duty.Ask{Question: 2, Duty: "probe/edge", Token: 300})
	ask("give-to", duty.Ask{Question: 3, Duty: "probe/edge", Token: 300, Give: true, To: 0x1122334455667788, Work: []byte("\x00work\xff")})
	ask("give-up", duty.Ask{Question: 4, Duty: "first/north", Token: 301, Give: true})
	answer := func(name string, a duty.Answer) { all = append(all, message{name, PutAnswer(a), a, getAnswer}) }
	answer("answer-yes", duty.Answer{Question: 1 << 62, Duty: "probe/edge", Yes: true, Token: 300, Holder: 9, Left: 3230, Work: []byte("w")})
	answer("answer-no", duty.Answer{Question: 2, Duty: "probe/edge", Token: 300, Holder: 0x1122334455667788, Left: 1500, Losses: 3})
	answer("handed-on", duty.Answer{Duty: "probe/edge", Token: 301, Holder: 9})
	answer("freed", duty.Answer{Duty: "probe/edge", Token: 302})
	h := hint{5, "r01"}
	all = append(all, message{"hint", h.append(), h, getHint})
	ban := func(name string, q banQuestion) {
		all = append(all, message{name, PutBanAsk(q.Question, q.BanAsk), q, getBanAsk})
	}
	ban("ban-ask", banQuestion{6, agree.BanAsk{Since: 17}})
	ban("ban-set", banQuestion{7, agree.BanAsk{Since: 17, Set: &register.Command{Op: register.SetBan, Box: decide.ServerID(7), Out: true, Token: 17,
		Text: "ann", Why: "broken", At: 1_700_000_000_123, Question: 7}}})
	banAnswer := func(name string, a agree.BanAnswer) {
		all = append(all, message{name, putBanAnswer(a), a, getBanAnswer})
	}
	banAnswer("bans-unchanged", agree.BanAnswer{Question: 6, Version: 17})
	banAnswer("bans-refused", agree.BanAnswer{Question: 7, Version: 18, Refused: register.ErrToken.Error(), Bans: []byte{0x12, 2, 8, 8}})
	say := func(name string, h hello) { all = append(all, message{name, h.append(), h, getHello}) }
	say("hello-fresh", hello{Name: "r01", ID: numberOf("fleet", "r01"), Fresh: true})
	say("hello-back", hello{Name: "r02", ID: 5, Back: true})
	say("hello-heard", hello{Name: "r02", ID: 5, Back: true, Heard: true})
	say("hello-voter", hello{Name: "r02", ID: 5, Back: true, Voter: true})
	say("hello-join", hello{Name: "r03", ID: 1<<63 + 1, Join: true})
	o := own{ID: 1<<63 + 1, Heard: []uint64{1, 300, 1 << 62}}
	all = append(all, message{"own", o.append(), o, getOwn})
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
		"register.json": Shown{Elector: true, Leader: "r01", Leading: true, Voters: []string{"r01", "r02", "r03"}, Learners: []string{"r04"}, Term: 4,
			Applied: 99, Fault: "disk", Duties: []Held{{Duty: "probe/edge", Holder: "r02", Token: 98}}},
		"no_elector.json": Shown{},
		"held.json":       []Lease{{Duty: "probe/edge", Token: 98, End: 12345.5, Work: []byte("work")}, {Duty: "first/north", Token: 97, End: 1}},
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
	set := Settings{Fleet: "fleet", Electors: []string{"r01", "r02", "r03"}, Agree: agree.Default()}
	electors := map[string]*elector{}
	start := func(name string, mark []byte) {
		folder := disk.Folder(t.TempDir())
		if mark != nil {
			l, _, _, err := disk.Open(folder, set.Fleet+"/"+name)
			if err != nil {
				t.Fatal(err)
			}
			if err := l.Mark(mark); err != nil {
				t.Fatal(err)
			}
			l.Close()
		}
		e, err := newElector(set, set.Fleet, name, folder, 0)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { e.log.Close() })
		electors[name] = e
	}
	for _, name := range set.Electors {
		start(name, nil)
	}
	var lines []string
	seen := map[string]bool{}
	now, fresh := 0.0, uint64(99)
	type mail struct {
		from string
		parcel
	}
	deliver := func(queue []mail) {
		for len(queue) > 0 {
			m := queue[0]
			queue = queue[1:]
			kind := fmt.Sprintf("channel %d", m.ch)
			if m.ch == carry.Raft {
				r := &raftpb.Message{}
				if err := proto.Unmarshal(m.b, r); err != nil {
					t.Fatal(err)
				}
				kind = fmt.Sprintf("raft %v, %d entries, context of %d bytes", r.GetType(), len(r.GetEntries()), len(r.GetContext()))
			}
			if !seen[kind] {
				seen[kind] = true
				lines = append(lines, fmt.Sprintf("%s, %s to %s: %x", kind, m.from, m.name, m.b))
			}
			e := electors[m.name]
			if e == nil {
				continue
			}
			at := 0.0
			if m.name == "r01" {
				at = now
			}
			for _, p := range e.step(at, func(e *elector) agree.Input { return e.take(member.ID(1), 1, m.ch, m.b, m.from) }).to {
				queue = append(queue, mail{m.name, p})
			}
		}
	}
	step := func(name string, at float64) {
		for _, p := range electors[name].step(at, nil).to {
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
				electors[name].next = 0
				step(name, 0)
			}
		}
	}
	run("all begin", func() bool {
		return electors["r01"].node != nil && electors["r02"].node != nil && electors["r03"].node != nil
	}, "r02", "r03")
	run("a leader", func() bool { return electors["r01"].lead })
	ask := parcel{name: "r01", ch: carry.Ask, b: PutAsk(duty.Ask{Question: 1, Duty: "probe/edge"})}
	deliver([]mail{{"a router", ask}})
	run("a grant", func() bool { return len(electors["r02"].node.State().Duties) > 0 })
	ask.name = "r02"
	deliver([]mail{{"a router", ask}})

	// One that lost its disk is taken in under another number.
	start("r03", own{ID: fresh}.append())
	run("a snapshot for it", func() bool { return electors["r03"].node.Status().Applied > 0 }, "r03")
	compareGolden(t, "electors.golden", []byte(strings.Join(lines, "\n")+"\n"))
}
