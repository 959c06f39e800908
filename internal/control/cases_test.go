package control

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// testBox drives a State as the control service does: accepted records are written and then committed.
type testBox struct {
	*State
	now  Now
	disk []string // the records, as JSON
}

func newBox() *testBox {
	return &testBox{State: New(), now: Now{Wall: time.Date(2026, 3, 1, 22, 0, 0, 0, time.UTC), Mono: 1000 * time.Hour, Boot: "first"}}
}

// write stores a record on disk, unless it is there.
func (b *testBox) write(r Record) {
	if r.Revision > uint64(len(b.disk)) {
		raw, err := json.Marshal(r)
		if err != nil {
			panic(err)
		}
		b.disk = append(b.disk, string(raw))
	}
}

// writeAndCommit performs both phases.
func (b *testBox) writeAndCommit(r Record) ([]Change, error) {
	b.write(r)
	return b.Commit(r)
}

// restart rebuilds the state from the records on disk.
func (b *testBox) restart() error {
	b.State = New()
	for _, raw := range b.disk {
		var r Record
		if err := json.Unmarshal([]byte(raw), &r); err != nil {
			return err
		}
		if _, err := b.Commit(r); err != nil {
			return err
		}
	}
	return nil
}

// commitDue writes and commits the records of Tick until nothing is due.
func (b *testBox) commitDue() (all []Record, changes []Change, next time.Duration, err error) {
	for {
		due, next := b.Tick(b.now)
		if len(due) == 0 {
			return all, changes, next, nil
		}
		for _, r := range due {
			cs, err := b.writeAndCommit(r)
			if err != nil {
				return nil, nil, 0, err
			}
			all, changes = append(all, r), append(changes, cs...)
		}
		if len(all) > 10000 {
			return nil, nil, 0, fmt.Errorf("Tick does not stop returning records, the last is %v", &all[len(all)-1])
		}
	}
}

func (b *testBox) advance(d time.Duration) {
	b.now.Mono += d
	b.now.Wall = b.now.Wall.Add(d)
}

// parseOp parses the text form of an operation.
func parseOp(text string) (Op, error) {
	var several Several
	for _, one := range strings.Split(text, "; ") {
		f := strings.SplitN(one, " ", 3)
		for len(f) < 3 {
			f = append(f, "")
		}
		var op Op
		switch f[0] {
		case "drain":
			op = Drain{f[1]}
		case "restore":
			op = Restore{f[1]}
		case "weight":
			w := Weight{Node: f[1]}
			fmt.Sscan(f[2], &w.Weight)
			op = w
		case "cap":
			c := Cap{Pool: f[1]}
			fmt.Sscan(f[2], &c.Open)
			op = c
		case "note":
			op = Note{f[1], f[2]}
		case "pool":
			op = Pool{f[1], strings.Fields(f[2])}
		case "unpool":
			op = Unpool{f[1]}
		default:
			return nil, fmt.Errorf("unknown operation %q", one)
		}
		several.Ops = append(several.Ops, op)
	}
	if len(several.Ops) == 1 {
		return several.Ops[0], nil
	}
	return several, nil
}

// Runs the requests of each file under testdata/cases and compares the answers.
func TestCases(t *testing.T) {
	datadriven.Walk(t, "testdata/cases", func(t *testing.T, path string) {
		b, pending := newBox(), Record{}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var out strings.Builder
			describe := func(r Record, err error) string {
				var conflict *Conflict
				switch latest := b.Revision(); {
				case errors.As(err, &conflict):
					fmt.Fprintf(&out, "conflict: %v\n", err)
					if conflict.Now != nil {
						fmt.Fprintf(&out, "in force: %s, by %s\n", conflict.Now.What, conflict.Now.By)
					}
				case err != nil:
					fmt.Fprintf(&out, "refused (%s): %v\n", err.(*Refusal).Why, err)
				case r.Revision <= latest:
					fmt.Fprintf(&out, "already: %s\n", &r)
				case d.HasArg("unanswered"):
					pending = r
					fmt.Fprintf(&out, "to be written: %s\n", &r)
				default:
					changes, err := b.writeAndCommit(r)
					if err != nil {
						t.Fatal(err)
					}
					fmt.Fprintf(&out, "%s\n", &r)
					for _, c := range changes {
						fmt.Fprintf(&out, "  %s\n", c)
					}
					if len(r.Empties) > 0 {
						fmt.Fprintf(&out, "  without a ready node: %s\n", strings.Join(r.Empties, " "))
					}
				}
				return out.String()
			}
			e := Edit{Force: d.HasArg("force")}
			var revision, keep int
			var trial, length string
			d.MaybeScanArgs(t, "id", &e.ID)
			d.MaybeScanArgs(t, "by", &e.By)
			d.MaybeScanArgs(t, "against", &e.Against)
			d.MaybeScanArgs(t, "trial", &trial)
			d.MaybeScanArgs(t, "for", &length)
			d.MaybeScanArgs(t, "revision", &revision)
			d.MaybeScanArgs(t, "keep", &keep)
			e.Trial, _ = time.ParseDuration(trial)
			e.For, _ = time.ParseDuration(length)
			switch d.Cmd {
			case "edit":
				var err error
				if e.What, err = parseOp(strings.TrimSpace(d.Input)); err != nil {
					t.Fatal(err)
				}
				return describe(b.Propose(b.now, e))
			case "undo":
				return describe(b.Undo(b.now, Back{ID: e.ID, By: e.By, Revision: uint64(revision), Force: e.Force}))
			case "confirm":
				return describe(b.Confirm(b.now, e.ID, e.By))
			case "pass": // advances by for=, then ticks
				b.advance(e.For)
			case "jump": // of the wall clock alone, by for=
				b.now.Wall = b.now.Wall.Add(e.For)
			case "kill": // written: the pending record had reached the disk
				if d.HasArg("written") {
					b.write(pending)
				}
				if d.HasArg("reboot") {
					b.now.Boot, b.now.Mono = b.now.Boot+"'", time.Second
				}
				b.advance(e.For)
				if err := b.restart(); err != nil {
					t.Fatal(err)
				}
				return fmt.Sprintf("at revision %d\n", b.Revision())
			case "hear":
				for _, line := range strings.Split(strings.TrimSpace(d.Input), "\n") {
					f := strings.Fields(line)
					if f[1] == "gone" {
						b.Gone(f[0])
						continue
					}
					b.Hear(f[0], Sight{Ready: f[1] == "ready", Pools: f[2:]})
				}
				return ""
			case "history":
				for _, r := range b.History(1) {
					fmt.Fprintf(&out, "%s\n", &r)
				}
				return out.String()
			case "wants":
			default:
				t.Fatalf("unknown command %q", d.Cmd)
			}
			if d.Cmd != "wants" {
				all, _, next, err := b.commitDue()
				if err != nil {
					t.Fatal(err)
				}
				for _, r := range all {
					fmt.Fprintf(&out, "%s\n", &r)
					if len(r.Empties) > 0 {
						fmt.Fprintf(&out, "  without a ready node: %s\n", strings.Join(r.Empties, " "))
					}
				}
				if next >= 0 {
					fmt.Fprintf(&out, "looks again in %v\n", next)
				}
				return out.String()
			}
			w := b.Want()
			fmt.Fprintf(&out, "at revision %d, %s\n", w.Revision, b.now.Wall.Format("15:04:05"))
			for _, w := range w.All {
				fmt.Fprintf(&out, "%s, by %s in %d, since %d", w.What, w.By, w.Revision, w.Since)
				if !w.Until.IsZero() {
					fmt.Fprintf(&out, ", until %s", w.Until.Format("15:04:05"))
				}
				if w.Trial {
					out.WriteString(" unless confirmed")
				}
				out.WriteString("\n")
			}
			return out.String()
		})
	})
}
