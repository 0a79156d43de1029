package dnsfront

import (
	"strconv"
	"strings"

	"github.com/miekg/dns"

	"garnetline/routing"
)

// query is a parsed name.
type query struct {
	class  int
	object routing.ObjectID
	chunk  int
	group  int // -1: the name does not tell it
}

// parseName reads the part of a name before the zone.
func (s *Server) parseName(rest string) (query, int) {
	l := query{class: -1, group: -1}
	words := strings.Split(rest, ".")
	if len(words) == 4 && strings.HasPrefix(words[2], "g") {
		n, err := strconv.ParseUint(words[2][1:], 10, 8)
		if err != nil {
			return l, dns.RcodeFormatError
		}
		l.group = int(n)
		words = append(words[:2], words[3])
	}
	if len(words) != 3 {
		return l, dns.RcodeFormatError
	}
	part, err := strconv.ParseUint(words[0], 10, 31)
	object, err2 := strconv.ParseUint(words[1], 16, 64)
	if err != nil || err2 != nil || len(words[1]) != 16 || object == 0 {
		return l, dns.RcodeFormatError
	}
	l.chunk, l.object = int(part), routing.ObjectID(object)
	for i, k := range s.Classes() {
		if strings.EqualFold(k.Name, words[2]) {
			l.class = i
		}
	}
	if l.class < 0 {
		return l, dns.RcodeNameError
	}
	return l, dns.RcodeSuccess
}
