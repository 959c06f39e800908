package store

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// The tests that end a process start this binary again, which then plays a random load on a store, says each step on its
// standard output before it takes it, and each answer once it has it.
func TestMain(m *testing.M) {
	switch child := os.Getenv("STORE_CHILD"); child {
	case "":
		os.Exit(m.Run())
	case "load":
		seed, _ := strconv.ParseUint(os.Getenv("STORE_SEED"), 10, 64)
		steps, _ := strconv.Atoi(os.Getenv("STORE_STEPS"))
		schema, _ := strconv.ParseUint(os.Getenv("STORE_SCHEMA"), 10, 64)
		load(os.Getenv("STORE_DIR"), seed, max(schema, 1), steps)
	case "full":
		full(os.Getenv("STORE_DIR"))
	case "hold":
		holdOpen(os.Getenv("STORE_DIR"))
	}
	os.Exit(0)
}

// edit is a revision and which attempt at it this is: a revision that was refused is used again.
type edit struct{ rev, attempt uint64 }

func (e edit) record() Record {
	r := rand.New(rand.NewPCG(e.rev, e.attempt))
	n := r.IntN(300)
	if r.IntN(20) == 0 {
		n = r.IntN(9000) // over several pages
	}
	b := fmt.Appendf(nil, "%d:%d ", e.rev, e.attempt)
	for range n {
		b = append(b, byte(r.Uint32()))
	}
	return Record{Revision: e.rev, Data: b}
}

func parse(text string) (all []edit) {
	for _, f := range strings.Fields(text) {
		var e edit
		if _, err := fmt.Sscanf(f, "%d:%d", &e.rev, &e.attempt); err != nil {
			panic(err)
		}
		all = append(all, e)
	}
	return all
}

func text(all []edit) string {
	var b strings.Builder
	for _, e := range all {
		fmt.Fprintf(&b, " %d:%d", e.rev, e.attempt)
	}
	return b.String()
}

// edits reads which edits contents stand for, and that every byte of them is as it was written.
func edits(c Contents) ([]edit, error) {
	var all []edit
	if c.Snapshot != nil {
		all = parse(string(c.Snapshot.Data))
	}
	for _, r := range c.Records {
		head, _, _ := bytes.Cut(r.Data, []byte(" "))
		got := parse(string(head))
		if len(got) != 1 || !bytes.Equal(got[0].record().Data, r.Data) || got[0].rev != r.Revision {
			return nil, fmt.Errorf("revision %d reads %.60q", r.Revision, r.Data)
		}
		if c.Snapshot != nil && r.Revision <= c.Snapshot.Revision {
			if !slices.Contains(all, got[0]) {
				return nil, fmt.Errorf("%v is kept, and the snapshot does not know it", got[0])
			}
			continue
		}
		all = append(all, got[0])
	}
	return all, nil
}

func same(_ uint64, c Contents) (Contents, error) { return c, nil }

func load(dir string, seed, schema uint64, steps int) {
	r := rand.New(rand.NewPCG(seed, 1))
	say := func(what string, all []edit) { os.Stdout.WriteString(what + text(all) + "\n") }
	var s *Store
	open := func() bool {
		for range 20 {
			var err error
			if s, err = Open(dir, Options{Schema: schema, Migrate: same}); err != nil {
				continue
			}
			if aside, why := s.Aside(); aside != "" {
				os.Stdout.WriteString("aside " + why.Error() + "\n")
			}
			c, err := s.Load()
			if err != nil {
				continue
			}
			all, err := edits(c)
			if err != nil {
				panic(err)
			}
			say("base", all)
			return true
		}
		return false
	}
	if !open() {
		return
	}
	attempt, refusals := seed<<20, 0
	next := func(rev uint64, n int) (all []edit) {
		for i := range n {
			attempt++
			all = append(all, edit{rev + uint64(i) + 1, attempt})
		}
		return all
	}
	records := func(all []edit) (out []Record) {
		for _, e := range all {
			out = append(out, e.record())
		}
		return out
	}
	answered := func(all []edit, err error) {
		var refused *Refused
		switch {
		case err == nil:
			say("yes", all)
			refusals = 0
			return
		case !errors.As(err, &refused):
			panic(err)
		case refused.Doubt:
			say("doubt", all)
		default:
			say("no", all)
		}
		refusals++
	}
	for range steps {
		switch p := r.IntN(100); {
		case p < 10: // several at once
			rev := s.Last()
			var groups [][]edit
			var answers []<-chan error
			for range 2 + r.IntN(5) {
				g := next(rev, 1)
				rev++
				say("ask", g)
				groups, answers = append(groups, g), append(answers, s.Queue(records(g)...))
			}
			for i, g := range groups {
				answered(g, <-answers[i])
			}
		case p < 18:
			c, err := s.Load()
			if err != nil {
				panic(err)
			}
			all, err := edits(c)
			if err != nil {
				panic(err)
			}
			all = all[:max(0, len(all)-r.IntN(3))]
			if len(all) == 0 || c.Snapshot != nil && c.Snapshot.Revision > all[len(all)-1].rev {
				continue
			}
			last := all[len(all)-1].rev
			s.Compact(Record{Revision: last, Data: []byte(text(all))}, last+1-min(last, uint64(r.IntN(20))))
		case p < 22 || refusals > 3: // what an operator would do then
			refusals = 0
			s.Close()
			if !open() {
				return
			}
		case p < 28: // several that hold together or not at all
			g := next(s.Last(), 2+r.IntN(3))
			say("ask", g)
			answered(g, s.Append(records(g)...))
		default:
			g := next(s.Last(), 1)
			say("ask", g)
			answered(g, s.Append(records(g)...))
		}
	}
	s.Close()
}

// told is what the one who asked knows at a moment.
type told struct {
	sure    []edit   // answered, or seen
	flight  [][]edit // asked, not answered
	doubted [][]edit // answered as in doubt, since the last that was taken
}

func (t *told) hear(line string) error {
	what, rest, _ := strings.Cut(strings.TrimSpace(line), " ")
	if what == "aside" {
		return fmt.Errorf("a store was put aside: %s", rest)
	}
	g := parse(rest)
	switch what {
	case "base":
		if err := t.allows(g); err != nil {
			return err
		}
		*t = told{sure: g}
	case "ask":
		t.flight = append(t.flight, g)
	case "yes", "no", "doubt":
		if len(t.flight) == 0 || !slices.Equal(t.flight[0], g) {
			return fmt.Errorf("%v was answered, which was not the next", g)
		}
		t.flight = t.flight[1:]
		if what == "yes" {
			t.sure, t.doubted = append(t.sure, g...), nil
		} else if what == "doubt" {
			t.doubted = append(t.doubted, g)
		}
	default:
		return fmt.Errorf("%q was said", line)
	}
	return nil
}

// allows says whether a store may hold just these edits: all that were answered, none that were refused or never asked,
// and of those in flight the first ones, each whole.
func (t *told) allows(got []edit) error {
	if len(got) < len(t.sure) || !slices.Equal(got[:len(t.sure)], t.sure) {
		return fmt.Errorf("lost: %d edits were answered, to%s; there are %d, to%s", len(t.sure), text(tail(t.sure)), len(got),
			text(tail(got)))
	}
	more := got[len(t.sure):]
	// Those of one batch that are in doubt are told one after the other. One doubted earlier is taken back before the next
	// is written.
	for i := range len(t.doubted) + 1 {
		if len(more) == 0 || startOf(more, slices.Concat(t.doubted[i:], t.flight)) {
			return nil
		}
	}
	return fmt.Errorf("invented:%s; in flight were %v, in doubt %v", text(more), t.flight, t.doubted)
}

func startOf(more []edit, groups [][]edit) bool {
	for _, g := range groups {
		if len(more) < len(g) || !slices.Equal(more[:len(g)], g) {
			return false
		}
		if more = more[len(g):]; len(more) == 0 {
			return true
		}
	}
	return false
}

func tail(all []edit) []edit { return all[max(0, len(all)-3):] }

func (t *told) copy() *told {
	return &told{slices.Clone(t.sure), slices.Clone(t.flight), slices.Clone(t.doubted)}
}

// room is a folder in memory where there is such, as thousands of images are written that nobody needs on a disk.
func room(t *testing.T) string {
	dir, err := os.MkdirTemp("/dev/shm", "store")
	if err != nil {
		return t.TempDir()
	}
	t.Cleanup(func() { os.RemoveAll(dir) })
	if dir, err = filepath.EvalSymlinks(dir); err != nil {
		t.Fatal(err)
	}
	return dir
}
