package registry

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"pewterrudder/internal/reducer"
)

// indented is a list as a registry for people's eyes writes it.
func indented(t *testing.T) string {
	var b bytes.Buffer
	if err := json.Indent(&b, []byte(change), "", "  "); err != nil {
		t.Fatal(err)
	}
	return b.String()
}

// A list over many lines is one list, however its bytes are cut, and the watch that brought it goes on.
func TestAListOverManyLinesIsTaken(t *testing.T) {
	later := strings.Replace(indented(t), "43", "44", 1)
	cut := strings.Index(later, ",") + 1
	g, at, events := discovery(t, func(_ string, nc net.Conn) {
		fmt.Fprint(nc, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		for _, part := range []string{indented(t) + "\n", "\n", later[:cut], "\n", later[cut:] + "\n\r\n" + change + change, "\n"} {
			fmt.Fprintf(nc, "%x\r\n%s\r\n", len(part), part)
		}
		nc.Read(make([]byte, 1)) // until it is given back
	})
	g.Watch(reducer.Watch{ID: 7, Discovery: at, Since: 41})
	for i, want := range []int64{43, 44, 43, 43} {
		l, ok := next(t, events).(reducer.Listed)
		if !ok || l.List.Revision != want || len(l.List.Members) != 1 || l.List.Members[0].Server != "s-5b" {
			t.Fatalf("list %d: %+v", i, l)
		}
	}
	g.Watch(reducer.Watch{ID: 8, Discovery: "127.0.0.1:1"})
}

// Half a list and then nothing, or nothing but blank lines, is silence: the change in it has been told, and only another
// call brings it.
func TestHalfAListIsNoSignOfLife(t *testing.T) {
	for name, blanks := range map[string]string{"nothing more": "", "blank lines": "\n"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			closed := make(chan struct{})
			g, at, events := discovery(t, func(_ string, nc net.Conn) {
				defer close(closed)
				fmt.Fprint(nc, "HTTP/1.1 200 OK\r\n\r\n"+strings.SplitAfterN(indented(t), ",", 3)[0])
				for begun := time.Now(); time.Since(begun) < 15*time.Second; {
					if _, err := io.WriteString(nc, blanks); err != nil {
						return
					}
					nc.SetReadDeadline(time.Now().Add(500 * time.Millisecond)) // the pace of the blank lines
					if _, err := nc.Read(make([]byte, 1)); err == io.EOF {
						return
					}
				}
				t.Error("the watch is still held")
			})
			g.Watch(reducer.Watch{ID: 7, Discovery: at, Since: 41})
			<-closed
			g.Watch(reducer.Watch{ID: 8, Discovery: "127.0.0.1:1"})
			if e, ok := next(t, events).(reducer.WatchEnded); !ok || e.Watch != 8 {
				t.Errorf("%+v", e)
			}
		})
	}
}

// Blank lines between lists are signs of life, those inside one are not, and every byte of a list is.
func TestWhatCountsAsLife(t *testing.T) {
	heard, blank := 0, 0
	from, to := io.Pipe()
	v := newValues(from, func() { heard++ }, func() { blank++ })
	go func() {
		for _, part := range []string{"\n", " \r\n", `{"a":`, "\n", "\n", `1}`, "\n", `{}{`, "\n", "}"} {
			io.WriteString(to, part)
		}
		to.Close()
	}()
	for i, want := range []string{`{"a":` + "\n\n" + `1}`, "{}", "{\n}"} {
		got, err := v.next()
		if err != nil || string(got) != want {
			t.Fatalf("%d: %q %v", i, got, err)
		}
	}
	if _, err := v.next(); err != io.EOF {
		t.Error(err)
	}
	if heard != 7 || blank != 3 {
		t.Errorf("heard %d times, %d of them blank; 7 and 3 were", heard, blank)
	}
}

// A value that never ends is given up, before it fills the memory; many that end are no such value.
func TestAListWithoutEndEnds(t *testing.T) {
	endless := newValues(io.MultiReader(strings.NewReader(`{"members":[`), iotest.HalfReader(zeros{})), func() {}, func() {})
	if _, err := endless.next(); err != errTooLong {
		t.Error(err)
	}
	one := []byte(`{"a":"` + strings.Repeat("x", maxValue/3) + `"}` + "\n")
	many := newValues(bytes.NewReader(bytes.Repeat(one, 5)), func() {}, func() {})
	for i := range 5 {
		if got, err := many.next(); err != nil || len(got) != len(one)-1 {
			t.Fatalf("%d: %d bytes, %v", i, len(got), err)
		}
	}
}

// zeros is an array of noughts.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = "0,"[i%2]
	}
	return len(p) &^ 1, nil
}
