package gate

import (
	"errors"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"
)

// A listener is open, refuses, or is silent, whatever it was before.
func TestAGateChanges(t *testing.T) {
	t.Parallel()
	g, err := New(net.IPv4(127, 0, 0, 1), func(nc net.Conn) {
		io.WriteString(nc, "x")
		nc.Close()
	})
	if err != nil {
		t.Fatal(err)
	}
	defer g.Close()
	// What one that comes up says, or how it fails to.
	dial := func(wait time.Duration) (string, error) {
		nc, err := net.DialTimeout("tcp4", g.Address, wait)
		if err != nil {
			return "", err
		}
		defer nc.Close()
		nc.SetDeadline(time.Now().Add(wait))
		b, err := io.ReadAll(nc)
		return string(b), err
	}
	for _, s := range []State{Open, Silent, Open, Refuse, Silent, Refuse, Open} {
		g.Set(s)
		came := 0 // in the moment of the change
		for until := time.Now().Add(20 * time.Second); ; {
			said, err := dial(map[bool]time.Duration{true: 50 * time.Millisecond, false: 10 * time.Second}[s == Silent])
			var timeout net.Error
			if s == Open && said == "x" && err == nil || s == Refuse && errors.Is(err, syscall.ECONNREFUSED) ||
				s == Silent && errors.As(err, &timeout) && timeout.Timeout() && strings.Contains(err.Error(), "dial") {
				break
			}
			if err == nil || !strings.Contains(err.Error(), "dial") {
				came++
			}
			if time.Now().After(until) || s != Open && came > 3 {
				t.Fatalf("%d: %q %v, the connection %d that came up", s, said, err, came)
			}
		}
	}
}
