package dnsfront

import (
	"strconv"
	"strings"

	"github.com/miekg/dns"

	"garnetline/routing"
)

const (
	groupPrefix    = "g"
	objectIDLength = 16 // hexadecimal digits

	unknownClass = -1
	unknownGroup = -1
)

// query holds the values that the name in a question encodes: the class, the object, the chunk and
// the group.
type query struct {
	class  int
	object routing.ObjectID
	chunk  int
	group  int // unknownGroup if the name has no group label
}

// parseName parses a name that is relative to the zone. It returns a response code:
// dns.RcodeFormatError if the name is malformed, dns.RcodeNameError if its class is unknown, and
// otherwise dns.RcodeSuccess.
func (s *Server) parseName(name string) (query, int) {
	parsed := query{class: unknownClass, group: unknownGroup}
	labels := strings.Split(name, ".")
	if len(labels) == 4 && strings.HasPrefix(labels[2], groupPrefix) {
		group, err := strconv.ParseUint(labels[2][len(groupPrefix):], 10, 8)
		if err != nil {
			return parsed, dns.RcodeFormatError
		}
		parsed.group = int(group)
		labels = append(labels[:2], labels[3])
	}
	if len(labels) != 3 {
		return parsed, dns.RcodeFormatError
	}
	chunk, err := strconv.ParseUint(labels[0], 10, 31)
	if err != nil {
		return parsed, dns.RcodeFormatError
	}
	object, err := strconv.ParseUint(labels[1], 16, 64)
	if err != nil || len(labels[1]) != objectIDLength || object == 0 {
		return parsed, dns.RcodeFormatError
	}
	parsed.chunk = int(chunk)
	parsed.object = routing.ObjectID(object)
	if parsed.class = s.findClass(labels[2]); parsed.class == unknownClass {
		return parsed, dns.RcodeNameError
	}
	return parsed, dns.RcodeSuccess
}

// findClass returns the index of the class with the given name, or unknownClass if no class has
// that name. The comparison ignores case.
func (s *Server) findClass(name string) int {
	index := unknownClass
	for i, class := range s.Classes() {
		if strings.EqualFold(class.Name, name) {
			index = i
		}
	}
	return index
}
