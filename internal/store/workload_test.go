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

// TestMain also runs the child processes of the tests that need a process of their own: they start this binary again with a
// role in STORE_CHILD. The role "load" applies a random load to a store and writes each request to standard output before
// it makes it, and each result once it has it. Each line is a word and the edits that it concerns: "base" (the contents
// after an open), "ask" (a request), "yes", "no" or "doubt" (its result, the last one for an uncertain append). A line with
// "aside" reports that a store was quarantined.
func TestMain(m *testing.M) {
	switch child := os.Getenv("STORE_CHILD"); child {
	case "":
		os.Exit(m.Run())
	case "load":
		seed, _ := strconv.ParseUint(os.Getenv("STORE_SEED"), 10, 64)
		steps, _ := strconv.Atoi(os.Getenv("STORE_STEPS"))
		schema, _ := strconv.ParseUint(os.Getenv("STORE_SCHEMA"), 10, 64)
		runRandomLoad(os.Getenv("STORE_DIR"), seed, max(schema, 1), steps)
	case "full":
		runFullDisk(os.Getenv("STORE_DIR"))
	case "hold":
		runHoldLock(os.Getenv("STORE_DIR"))
	}
	os.Exit(0)
}

// edit identifies an append of the load: a revision, and a number that differs between attempts, since a rejected revision
// is used again.
type edit struct{ rev, attempt uint64 }

func (e edit) record() Record {
	r := rand.New(rand.NewPCG(e.rev, e.attempt))
	n := r.IntN(300)
	if r.IntN(20) == 0 {
		n = r.IntN(9000) // spans several pages
	}
	b := fmt.Appendf(nil, "%d:%d ", e.rev, e.attempt)
	for range n {
		b = append(b, byte(r.Uint32()))
	}
	return Record{Revision: e.rev, Data: b}
}

func parseEdits(text string) (all []edit) {
	for _, f := range strings.Fields(text) {
		var e edit
		if _, err := fmt.Sscanf(f, "%d:%d", &e.rev, &e.attempt); err != nil {
			panic(err)
		}
		all = append(all, e)
	}
	return all
}

func formatEdits(all []edit) string {
	var b strings.Builder
	for _, e := range all {
		fmt.Fprintf(&b, " %d:%d", e.rev, e.attempt)
	}
	return b.String()
}

// editsOf returns the edits that contents consist of, and checks that every byte of them is as it was written.
func editsOf(c Contents) ([]edit, error) {
	var all []edit
	if c.Snapshot != nil {
		all = parseEdits(string(c.Snapshot.Data))
	}
	for _, r := range c.Records {
		head, _, _ := bytes.Cut(r.Data, []byte(" "))
		got := parseEdits(string(head))
		if len(got) != 1 || !bytes.Equal(got[0].record().Data, r.Data) || got[0].rev != r.Revision {
			return nil, fmt.Errorf("revision %d has unexpected data %.60q", r.Revision, r.Data)
		}
		if c.Snapshot != nil && r.Revision <= c.Snapshot.Revision {
			if !slices.Contains(all, got[0]) {
				return nil, fmt.Errorf("%v is kept as history, but the snapshot does not contain it", got[0])
			}
			continue
		}
		all = append(all, got[0])
	}
	return all, nil
}

func keepContents(_ uint64, c Contents) (Contents, error) { return c, nil }

func runRandomLoad(dir string, seed, schema uint64, steps int) {
	r := rand.New(rand.NewPCG(seed, 1))
	report := func(what string, all []edit) { os.Stdout.WriteString(what + formatEdits(all) + "\n") }
	var s *Store
	open := func() bool {
		for range 20 {
			var err error
			if s, err = Open(dir, Options{Schema: schema, Migrate: keepContents}); err != nil {
				continue
			}
			if path, why := s.Quarantined(); path != "" {
				os.Stdout.WriteString("aside " + why.Error() + "\n")
			}
			c, err := s.Load()
			if err != nil {
				continue
			}
			all, err := editsOf(c)
			if err != nil {
				panic(err)
			}
			report("base", all)
			return true
		}
		return false
	}
	if !open() {
		return
	}
	attempt, rejections := seed<<20, 0
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
	reportResult := func(all []edit, err error) {
		var writeErr *WriteError
		switch {
		case err == nil:
			report("yes", all)
			rejections = 0
			return
		case !errors.As(err, &writeErr):
			panic(err)
		case writeErr.Uncertain:
			report("doubt", all)
		default:
			report("no", all)
		}
		rejections++
	}
	for range steps {
		switch p := r.IntN(100); {
		case p < 10: // several concurrent appends
			rev := s.Last()
			var groups [][]edit
			var answers []<-chan error
			for range 2 + r.IntN(5) {
				g := next(rev, 1)
				rev++
				report("ask", g)
				groups, answers = append(groups, g), append(answers, s.Queue(records(g)...))
			}
			for i, g := range groups {
				reportResult(g, <-answers[i])
			}
		case p < 18:
			c, err := s.Load()
			if err != nil {
				panic(err)
			}
			all, err := editsOf(c)
			if err != nil {
				panic(err)
			}
			all = all[:max(0, len(all)-r.IntN(3))]
			if len(all) == 0 || c.Snapshot != nil && c.Snapshot.Revision > all[len(all)-1].rev {
				continue
			}
			last := all[len(all)-1].rev
			s.Compact(Record{Revision: last, Data: []byte(formatEdits(all))}, last+1-min(last, uint64(r.IntN(20))))
		case p < 22 || rejections > 3: // after repeated failures: restart, as an operator would
			rejections = 0
			s.Close()
			if !open() {
				return
			}
		case p < 28: // several records in one atomic append
			g := next(s.Last(), 2+r.IntN(3))
			report("ask", g)
			reportResult(g, s.Append(records(g)...))
		default:
			g := next(s.Last(), 1)
			report("ask", g)
			reportResult(g, s.Append(records(g)...))
		}
	}
	s.Close()
}

// clientView is what a client knows about its edits, from the lines of runRandomLoad.
type clientView struct {
	confirmed []edit   // acknowledged, or read
	inFlight  [][]edit // requested, no result yet
	uncertain [][]edit // reported as uncertain since the last confirmed one
}

func (t *clientView) observe(line string) error {
	what, rest, _ := strings.Cut(strings.TrimSpace(line), " ")
	if what == "aside" {
		return fmt.Errorf("a store was quarantined: %s", rest)
	}
	g := parseEdits(rest)
	switch what {
	case "base":
		if err := t.check(g); err != nil {
			return err
		}
		*t = clientView{confirmed: g}
	case "ask":
		t.inFlight = append(t.inFlight, g)
	case "yes", "no", "doubt":
		if len(t.inFlight) == 0 || !slices.Equal(t.inFlight[0], g) {
			return fmt.Errorf("result for %v, which is not the oldest request in flight", g)
		}
		t.inFlight = t.inFlight[1:]
		if what == "yes" {
			t.confirmed, t.uncertain = append(t.confirmed, g...), nil
		} else if what == "doubt" {
			t.uncertain = append(t.uncertain, g)
		}
	default:
		return fmt.Errorf("unknown line %q", line)
	}
	return nil
}

// check returns an error unless a store may hold exactly these edits: all confirmed ones, none that was rejected or never
// requested, and of the requests in flight a prefix, each request whole.
func (t *clientView) check(got []edit) error {
	if len(got) < len(t.confirmed) || !slices.Equal(got[:len(t.confirmed)], t.confirmed) {
		return fmt.Errorf("lost: %d edits were confirmed, up to%s; the store holds %d, up to%s", len(t.confirmed),
			formatEdits(lastEdits(t.confirmed)), len(got), formatEdits(lastEdits(got)))
	}
	unconfirmed := got[len(t.confirmed):]
	// Uncertain appends of one batch are reported one after the other. An earlier uncertain append is rolled back before the
	// next batch is written.
	for i := range len(t.uncertain) + 1 {
		if len(unconfirmed) == 0 || isPrefixOf(unconfirmed, slices.Concat(t.uncertain[i:], t.inFlight)) {
			return nil
		}
	}
	return fmt.Errorf("unexpected:%s; in flight were %v, uncertain %v", formatEdits(unconfirmed), t.inFlight, t.uncertain)
}

func isPrefixOf(edits []edit, groups [][]edit) bool {
	for _, g := range groups {
		if len(edits) < len(g) || !slices.Equal(edits[:len(g)], g) {
			return false
		}
		if edits = edits[len(g):]; len(edits) == 0 {
			return true
		}
	}
	return false
}

func lastEdits(all []edit) []edit { return all[max(0, len(all)-3):] }

func (t *clientView) clone() *clientView {
	return &clientView{slices.Clone(t.confirmed), slices.Clone(t.inFlight), slices.Clone(t.uncertain)}
}

// memoryDir returns a new folder in /dev/shm if possible, since the tests write thousands of disk images that need not be
// durable.
func memoryDir(t *testing.T) string {
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
