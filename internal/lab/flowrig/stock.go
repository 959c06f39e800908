package flowrig

import (
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
)

// Stock holds one body for each size and gives every answer its own rotation of it, so that answers of one size
// differ in all their bytes without a copy for each. Node and clients make the same from the path alone.
type Stock struct {
	mu     sync.Mutex
	bodies map[int][]byte
}

// Path asks for answer number id of so many bytes.
func Path(class string, n int, id uint64) string { return fmt.Sprintf("/%s/%d/%d", class, n, id) }

// parts is the body of an answer, in the two pieces of its rotation.
func (s *Stock) parts(n int, id uint64) (a, b []byte) {
	s.mu.Lock()
	body, ok := s.bodies[n]
	if !ok {
		if s.bodies == nil {
			s.bodies = map[int][]byte{}
		}
		body = Content(uint64(n), n)
		s.bodies[n] = body
	}
	s.mu.Unlock()
	if n == 0 {
		return nil, nil
	}
	// The golden ratio's multiple spreads neighbouring ids over the whole body.
	at := int(id * 0x9e3779b97f4a7c15 % uint64(n))
	return body[at:], body[:at]
}

// Sum is the hash of an answer.
func (s *Stock) Sum(n int, id uint64) uint64 {
	a, b := s.parts(n, id)
	h := newSum()
	h.Write(a)
	h.Write(b)
	return h.Sum64()
}

// Serve is a node's script: the answer that the path asks for, with its length stated.
func (s *Stock) Serve(x *Exchange) {
	n, id, err := parsePath(x.Request.URL.Path)
	if err != nil {
		x.Say("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
		return
	}
	a, b := s.parts(n, id)
	all := net.Buffers{[]byte(head(n)), a, b}
	all.WriteTo(x.nc)
}

// head opens a good answer of n bytes.
func head(n int) string {
	return "HTTP/1.1 200 OK\r\nX-Load: utilization=0.1,backlog=0\r\nContent-Length: " + strconv.Itoa(n) + "\r\n\r\n"
}

func parsePath(path string) (n int, id uint64, err error) {
	fields := strings.Split(path, "/")
	if len(fields) != 4 {
		return 0, 0, fmt.Errorf("path %q", path)
	}
	if n, err = strconv.Atoi(fields[2]); err == nil {
		id, err = strconv.ParseUint(fields[3], 10, 64)
	}
	return n, id, err
}
