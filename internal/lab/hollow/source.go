package hollow

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// blankEvery is how often an open watch hears a line without news; the protocol says every 2 s at the least.
	blankEvery = 1500 * time.Millisecond
	// piece is what is written at once, so that what is counted in a second was written in it.
	piece = 256 << 10
)

// Source stands in for discovery: at one address it tells the whole list, at a second one a part of it, by the same
// revisions. All who hear it share the bytes that they are told.
type Source struct {
	listeners [2]net.Listener

	mu    sync.Mutex
	lists [2]*list
	news  chan struct{} // closed by the next change
	turns int

	meter
	done  chan struct{}
	tasks sync.WaitGroup
}

// NewSource listens on loopback. Of n app nodes the second address tells one in so many.
func NewSource(n, every, pools int) (*Source, error) {
	s := &Source{lists: [2]*list{newList(n, 1, pools), newList(n, every, pools)}, news: make(chan struct{}), done: make(chan struct{})}
	for i := range s.listeners {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			s.Close()
			return nil, err
		}
		s.listeners[i] = l
		s.tasks.Go(func() { s.accept(l, i) })
	}
	s.tasks.Go(func() { s.count(s.done) })
	return s, nil
}

// Addresses are that of the whole list and that of the part.
func (s *Source) Addresses() (whole, part string) {
	return s.listeners[0].Addr().String(), s.listeners[1].Addr().String()
}

// Close ends all watches.
func (s *Source) Close() {
	close(s.done)
	for _, l := range s.listeners {
		if l != nil {
			l.Close()
		}
	}
	s.tasks.Wait()
}

func (s *Source) accept(l net.Listener, which int) {
	for {
		nc, err := l.Accept()
		if err != nil {
			return
		}
		s.tasks.Go(func() { s.watch(nc, which) })
	}
}

// watch reads the one call of a connection and tells it what it asks for until either side ends it.
func (s *Source) watch(nc net.Conn, which int) {
	defer nc.Close()
	in := bufio.NewReaderSize(nc, 1024)
	req, err := http.ReadRequest(in)
	if err != nil {
		return
	}
	since, err := strconv.ParseInt(req.URL.Query().Get("since"), 10, 64)
	if err != nil || req.URL.Path != "/registry/instances" {
		io.WriteString(nc, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
		return
	}
	s.calls.Add(1)
	s.open.Add(1)
	defer s.open.Add(-1)
	left := make(chan struct{})
	s.tasks.Go(func() {
		in.Peek(1) // nothing more is said; what comes is the end
		close(left)
	})
	defer nc.Close() // which ends the wait above
	blank := time.NewTicker(blankEvery)
	defer blank.Stop()
	if !s.write(nc, []byte("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")) {
		return
	}
	for {
		s.mu.Lock()
		texts, now := s.lists[which].after(since)
		news := s.news
		s.mu.Unlock()
		for _, text := range texts {
			if strings.HasPrefix(string(text[:min(len(text), 60)]), `{"revision":`+strconv.FormatInt(now, 10)+`,"complete":true`) {
				s.wholes.Add(1)
			}
			if !s.chunk(nc, text) {
				return
			}
		}
		since = now
		select {
		case <-news:
		case <-blank.C:
			if !s.chunk(nc, []byte("\n")) {
				return
			}
		case <-left:
			return
		case <-s.done:
			return
		}
	}
}

func (s *Source) write(nc net.Conn, text []byte) bool {
	for len(text) > 0 {
		n, err := nc.Write(text[:min(len(text), piece)])
		s.bytes.Add(int64(n))
		if err != nil {
			return false
		}
		text = text[n:]
	}
	return true
}

func (s *Source) chunk(nc net.Conn, text []byte) bool {
	return s.write(nc, []byte(strconv.FormatInt(int64(len(text)), 16)+"\r\n")) && s.write(nc, text) && s.write(nc, []byte("\r\n"))
}

// Do what a line says, and give the answer as one line: "change" one node, "lose ZONE", "return ZONE", "load", "addresses".
func (s *Source) Do(line string) (string, error) {
	word, rest, _ := strings.Cut(strings.TrimSpace(line), " ")
	turn := func(at func(*list) []int, gone bool) (string, error) {
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, l := range s.lists {
			l.turn(at(l), gone)
		}
		close(s.news)
		s.news = make(chan struct{})
		return strconv.FormatInt(s.lists[0].revision, 10), nil
	}
	switch word {
	case "change":
		s.turns++
		i := s.turns % len(s.lists[0].nodes)
		i -= i % s.lists[1].every // one that both lists hold
		return turn(func(*list) []int { return []int{i} }, false)
	case "lose", "return":
		zone, err := strconv.Atoi(rest)
		if err != nil || zone < 0 || zone >= Zones {
			return "", fmt.Errorf("%q is no zone", rest)
		}
		return turn(func(l *list) []int { return l.inZone(zone) }, word == "lose")
	case "load":
		return s.take()
	case "addresses":
		whole, part := s.Addresses()
		return whole + " " + part, nil
	}
	return "", fmt.Errorf("%q is nothing that a source does", line)
}
