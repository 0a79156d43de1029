package peers

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of a command that a cache reads.
const (
	maxElements    = 8
	maxStringBytes = 1 << 20
)

// served is a request that came whole to a cache.
type served struct {
	id     string
	fields map[string]string
	body   string
	at     time.Time
}

// cache is a stand-in for a cache, a parent or the origin. It answers each request with DONE after the
// time that work gives, and gives up what is canceled or whose connection ends.
type cache struct {
	listener net.Listener
	id       uint32
	kind     string
	work     time.Duration
	log      *record

	mu       sync.Mutex
	requests []served
}

func newCache(log *record, id uint32, kind string, work time.Duration) (*cache, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	created := &cache{listener: listener, id: id, kind: kind, work: work, log: log}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go created.serve(conn)
		}
	}()
	return created, nil
}

func (c *cache) name() string { return fmt.Sprintf("s-%08x", c.id) }

// received returns the requests so far.
func (c *cache) received() []served {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]served(nil), c.requests...)
}

// link is a connection to a cache, with the requests that are open on it.
type link struct {
	conn    net.Conn
	writing sync.Mutex
	mu      sync.Mutex
	open    map[string]*time.Timer
}

func (l *link) write(id, word, fields, body string) {
	l.writing.Lock()
	defer l.writing.Unlock()
	_, _ = io.WriteString(l.conn, respArray(id, word, fields, body))
}

// cancel gives a request up.
func (l *link) cancel(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if timer := l.open[id]; timer != nil {
		timer.Stop()
		delete(l.open, id)
	}
}

// close gives up everything that is open on the connection.
func (l *link) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, timer := range l.open {
		timer.Stop()
	}
	l.open = map[string]*time.Timer{}
	_ = l.conn.Close()
}

func (c *cache) serve(conn net.Conn) {
	current := &link{conn: conn, open: map[string]*time.Timer{}}
	defer current.close()
	reader := bufio.NewReader(conn)
	for {
		command, err := readArray(reader)
		if err != nil || len(command) < 2 {
			return
		}
		switch {
		case command[0] == "serve" && len(command) == 4:
			c.run(current, command[1], command[2], command[3])
		case command[0] == "cancel":
			c.log.printf("cache %s: cancel %s", c.name(), command[1])
			current.cancel(command[1])
		case command[0] == "health", command[0] == "gauges":
			current.write(command[1], "FIT", "l=inflight:1;x1:0.1", "")
		}
	}
}

// run records a request and answers it later.
func (c *cache) run(current *link, id, fieldList, body string) {
	arrived := served{id: id, fields: parseFields(fieldList), body: body, at: time.Now()}
	c.mu.Lock()
	c.requests = append(c.requests, arrived)
	c.mu.Unlock()
	c.log.printf("cache %s: serve %s %s, %d bytes", c.name(), id, fieldList, len(body))
	answer := contentOf(arrived.fields["asset"], arrived.fields["slice"])
	minted := time.Now().UnixMilli()
	current.mu.Lock()
	defer current.mu.Unlock()
	current.open[id] = time.AfterFunc(c.work, func() {
		current.mu.Lock()
		_, open := current.open[id]
		delete(current.open, id)
		current.mu.Unlock()
		if !open {
			return
		}
		c.log.printf("cache %s: DONE %s", c.name(), id)
		current.write(id, "DONE", fmt.Sprintf("tag=%s,minted=%d", arrived.fields["asset"], minted), answer)
	})
}

// contentOf returns the bytes of a part of an object.
func contentOf(object, part string) string {
	return strings.Repeat("object "+object+" part "+part+"\n", 40)
}

func parseFields(list string) map[string]string {
	fields := map[string]string{}
	for field := range strings.SplitSeq(list, ",") {
		if name, value, ok := strings.Cut(field, "="); ok {
			fields[name] = value
		}
	}
	return fields
}

func respArray(elements ...string) string {
	var text strings.Builder
	fmt.Fprintf(&text, "*%d\r\n", len(elements))
	for _, element := range elements {
		fmt.Fprintf(&text, "$%d\r\n%s\r\n", len(element), element)
	}
	return text.String()
}

var errUnreadable = errors.New("unreadable command")

func readArray(reader *bufio.Reader) ([]string, error) {
	count, err := readCount(reader, "*", maxElements)
	if err != nil {
		return nil, err
	}
	var elements []string
	for range count {
		size, err := readCount(reader, "$", maxStringBytes)
		if err != nil {
			return nil, err
		}
		element := make([]byte, size+2)
		if _, err := io.ReadFull(reader, element); err != nil {
			return nil, err
		}
		elements = append(elements, string(element[:size]))
	}
	return elements, nil
}

func readCount(reader *bufio.Reader, prefix string, limit int) (int, error) {
	line, err := reader.ReadString('\n')
	if err != nil {
		return 0, err
	}
	digits, ok := strings.CutPrefix(strings.TrimSuffix(line, "\r\n"), prefix)
	count, err := strconv.Atoi(digits)
	if !ok || err != nil || count < 0 || count > limit {
		return 0, errUnreadable
	}
	return count, nil
}
