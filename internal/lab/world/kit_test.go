package world

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pewterrudder/internal/lab/chance"
	"pewterrudder/internal/lab/scenario"
	"pewterrudder/internal/lab/timeline"
)

const site = `{
	"name": "small", "length": "10s", "zones": ["a", "b"],
	"balancers": {"count": 1},
	"nodes": [{"count": 4, "max_conns": 3, "conn_tax": 0, "handshake_ms": 1}],
	"classes": [
		{"name": "look", "work": {"mean": 10, "dist": "constant"}, "aim": "150ms", "deadline": "600ms"},
		{"name": "order", "work": {"mean": 10, "dist": "constant"}, "aim": "150ms", "deadline": "600ms", "repeat": "keyed", "scope": "zone", "window": "300ms"},
		{"name": "note", "work": {"mean": 10, "dist": "constant"}, "aim": "150ms", "deadline": "600ms", "repeat": "keyed", "window": "300ms"},
		{"name": "pay", "work": {"mean": 10, "dist": "constant"}, "aim": "150ms", "deadline": "600ms", "repeat": "unsafe"},
	],
	"network": {"same": "200us", "cross": "2ms", "client": "1ms", "jitter": 0},
	"traffic": {"rate": 40},
}`

// scene is a world with nobody's balancer: a test plays it, and keeps what it hears.
type scene struct {
	*World
	clock  *timeline.Virtual
	heard  []string
	wished []time.Duration
	ended  map[Kind]int
	answer func(a *Ask) // of the balancer
	told   []string
	gone   int // words that an app node is gone
}

func newScene(t *testing.T, set ...string) *scene {
	t.Helper()
	sc, err := scenario.Parse("site", []byte(site), set...)
	if err != nil {
		t.Fatal(err)
	}
	s := &scene{clock: timeline.NewVirtual(0), ended: map[Kind]int{}}
	s.World = New(sc, s.clock, chance.New(1), NewJournal(), s)
	return s
}

func (s *scene) hear(format string, args ...any) {
	s.heard = append(s.heard, fmt.Sprintf(format, args...))
}

func (s *scene) take() []string {
	heard := s.heard
	s.heard = nil
	return heard
}

// after runs the clock on and holds what was heard against what should have been.
func (s *scene) after(t *testing.T, d time.Duration, want ...string) {
	t.Helper()
	s.clock.Run(s.clock.Now() + d)
	if got := s.take(); !slices.Equal(got, want) {
		t.Errorf("heard %q, want %q", got, want)
	}
}

func (s *scene) op(class int) *Op { return &Op{Class: class, Work: 10} }

// The peer.
func (s *scene) LinkUp(*Link)                    { s.hear("up") }
func (s *scene) LinkRefused(*Link)               { s.hear("refused") }
func (s *scene) LinkHalts(*Link)                 { s.hear("halts") }
func (s *scene) LinkFlows(_ *Link, a *Answer)    { s.hear("flows %d", a.Ask) }
func (s *scene) LinkAnswered(_ *Link, a *Answer) { s.hear("answer %d %d", a.Ask, a.End) }
func (s *scene) LinkEnded(*Link)                 { s.hear("ended") }

// The balancer.
func (s *scene) Ask(a *Ask) bool  { s.answer(a); return true }
func (s *scene) Leave(*Ask)       {}
func (s *scene) Start(known List) { s.World.Ready(0) }
func (s *scene) Kill()            {}
func (s *scene) Term()            {}
func (s *scene) Reload()          {}

// The watcher.
func (s *scene) JobCame(*Node, *Job, int)                 {}
func (s *scene) Called(int)                               {}
func (s *scene) JobKept(*Node, *Job)                      {}
func (s *scene) JobBegan(*Node, *Job)                     {}
func (s *scene) Wished(op *Op)                            { s.wished = append(s.wished, op.Due) }
func (s *scene) Taken(*Ask)                               {}
func (s *scene) Answered(*Ask, Outcome, time.Duration)    {}
func (s *scene) Over(*Ask, Kind)                          {}
func (s *scene) Settled(_ *Op, how Kind, _ time.Duration) { s.ended[how]++ }
func (s *scene) Wrote(int, *Node, *Op)                    {}
func (s *scene) Knew(n *Node, state State) {
	s.told = append(s.told, fmt.Sprintf("knew %d %d", n.Index, state))
}
func (s *scene) Told(_ int, e Entry) {
	if e.State == Gone {
		s.gone++
	}
}
func (s *scene) Reached(int, bool)  {}
func (s *scene) Broken(text string) { s.hear("broken: %s", text) }

// The listener of a watch.
type ear struct{ *scene }

func (e ear) Opened() { e.hear("opened") }
func (e ear) Closed() { e.hear("closed") }
func (e ear) Line(l *List) {
	if l == nil {
		e.hear("blank")
		return
	}
	text := "changes"
	if l.Complete {
		text = "list"
	}
	for _, x := range l.Entries {
		text += fmt.Sprintf(" %d:%d", x.Node.Index, x.State)
	}
	e.hear("%s", text)
}
