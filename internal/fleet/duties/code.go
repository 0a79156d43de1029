package duties

import (
	"slices"

	"google.golang.org/protobuf/encoding/protowire"

	"garnetline/internal/fleet/agree"
	"garnetline/internal/fleet/duty"
	"garnetline/internal/fleet/form"
	"garnetline/internal/fleet/member"
	"garnetline/internal/fleet/register"
)

// The forms of what routers and electors say to each other, in protobuf's: numbers and
// strings. Bounds are those of the register.

func flag(on bool) uint64 {
	if on {
		return 1
	}
	return 0
}

// PutAsk and the three after it are the forms of a question and of its answer.
func PutAsk(a duty.Ask) []byte {
	b := form.Number(nil, 1, a.Question)
	b = form.Text(b, 2, a.Duty)
	b = form.Number(b, 3, a.Token)
	b = form.Number(b, 4, flag(a.Give))
	b = form.Number(b, 5, uint64(a.To))
	return form.Text(b, 6, string(a.Work))
}

func GetAsk(b []byte) (a duty.Ask, ok bool) {
	ok = register.Fields(b, func(f protowire.Number, v uint64, in []byte) bool {
		switch f {
		case 1:
			a.Question = v
		case 2:
			a.Duty = string(in)
		case 3:
			a.Token = v
		case 4:
			a.Give = v != 0
		case 5:
			a.To = member.ID(v)
		case 6:
			a.Work = slices.Clone(in)
		}
		return true
	})
	return a, ok && a.Duty != "" && len(a.Duty) <= register.MaxName && len(a.Work) <= register.MaxWork
}

// hint is the answer of an elector that does not lead: who does, as far as it knows.
type hint struct {
	Question uint64
	Leader   string
}

func (h hint) append() []byte { return form.Text(form.Number(nil, 1, h.Question), 2, h.Leader) }

func getHint(b []byte) (h hint, ok bool) {
	ok = register.Fields(b, func(f protowire.Number, v uint64, in []byte) bool {
		if f == 1 {
			h.Question = v
		} else if f == 2 {
			h.Leader = string(in)
		}
		return true
	})
	return h, ok && h.Leader != "" && len(h.Leader) <= register.MaxName
}

func PutAnswer(a duty.Answer) []byte {
	b := form.Number(nil, 1, a.Question)
	b = form.Text(b, 2, a.Duty)
	b = form.Number(b, 3, flag(a.Yes))
	b = form.Number(b, 4, a.Token)
	b = form.Number(b, 5, uint64(a.Holder))
	b = form.Number(b, 6, uint64(a.Left))
	b = form.Number(b, 7, a.Losses)
	return form.Text(b, 8, string(a.Work))
}

func GetAnswer(b []byte) (a duty.Answer, ok bool) {
	ok = register.Fields(b, func(f protowire.Number, v uint64, in []byte) bool {
		switch f {
		case 1:
			a.Question = v
		case 2:
			a.Duty = string(in)
		case 3:
			a.Yes = v != 0
		case 4:
			a.Token = v
		case 5:
			a.Holder = member.ID(v)
		case 6:
			a.Left = float64(min(v, 1<<40))
		case 7:
			a.Losses = v
		case 8:
			a.Work = slices.Clone(in)
		}
		return true
	})
	return a, ok && a.Duty != ""
}

// PutBanAsk is the form of what is asked about staff's bans.
func PutBanAsk(question uint64, a agree.BanAsk) []byte {
	b := form.Number(form.Number(nil, 1, question), 2, a.Since)
	if a.Set != nil {
		b = form.Text(b, 3, string(a.Set.Append(nil)))
	}
	return b
}

func getBanAsk(b []byte) (question uint64, a agree.BanAsk, ok bool) {
	sets := true
	ok = register.Fields(b, func(f protowire.Number, v uint64, in []byte) bool {
		switch f {
		case 1:
			question = v
		case 2:
			a.Since = v
		case 3:
			a.Set, sets = register.Read(in)
			sets = sets && a.Set.Op == register.SetBan && a.Set.Box>>32 == 0
		}
		return sets
	})
	if ok && a.Set != nil {
		a.Set.Question = question // by which the leader finds whose command it was
	}
	return question, a, ok
}

func putBanAnswer(a agree.BanAnswer) []byte {
	b := form.Number(form.Number(nil, 1, a.Question), 2, a.Version)
	return form.Text(form.Text(b, 3, a.Refused), 4, string(a.Bans))
}

// GetBanAnswer reads what an elector answered.
func GetBanAnswer(b []byte) (a agree.BanAnswer, ok bool) {
	ok = register.Fields(b, func(f protowire.Number, v uint64, in []byte) bool {
		switch f {
		case 1:
			a.Question = v
		case 2:
			a.Version = v
		case 3:
			a.Refused = string(in)
		case 4:
			a.Bans = slices.Clone(in)
		}
		return true
	})
	return a, ok
}

// hello is what electors say to each other about themselves, besides raft's messages.
type hello struct {
	Name  string
	ID    uint64 // its number, or the one that it would begin with
	Fresh bool   // it has no log
	Back  bool   // it answers
	Heard bool   // Back: something came from the asker's first number once
	Voter bool   // Back: that number is among the voters, as far as this one knows
	Join  bool   // asks to be taken in under ID
}

func (h hello) append() []byte {
	b := form.Text(nil, 1, h.Name)
	b = form.Number(b, 2, h.ID)
	b = form.Number(b, 3, flag(h.Fresh)|flag(h.Back)<<1|flag(h.Heard)<<2|flag(h.Voter)<<3|flag(h.Join)<<4)
	return b
}

func getHello(b []byte) (h hello, ok bool) {
	ok = register.Fields(b, func(f protowire.Number, v uint64, in []byte) bool {
		switch f {
		case 1:
			h.Name = string(in)
		case 2:
			h.ID = v
		case 3:
			h.Fresh, h.Back, h.Heard, h.Voter, h.Join = v&1 != 0, v&2 != 0, v&4 != 0, v&8 != 0, v&16 != 0
		}
		return true
	})
	return h, ok && h.Name != "" && len(h.Name) <= register.MaxName && h.ID != 0
}

// own is what an elector's log keeps of it: its number, and whom it has heard.
type own struct {
	ID    uint64
	Heard []uint64
}

func (o own) append() []byte {
	b := form.Number(nil, 1, o.ID)
	for _, id := range o.Heard {
		b = form.Number(b, 2, id)
	}
	return b
}

func getOwn(b []byte) (o own, ok bool) {
	ok = register.Fields(b, func(f protowire.Number, v uint64, _ []byte) bool {
		if f == 1 {
			o.ID = v
		} else if f == 2 {
			o.Heard = append(o.Heard, v)
		}
		return true
	})
	return o, ok
}
