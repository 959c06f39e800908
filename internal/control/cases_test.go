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

// box drives a State as a service would: what is taken is written, and then counts.
type box struct {
	*State
	now  Now
	disk []string // the records, as JSON
}

func newBox() *box {
	return &box{State: New(), now: Now{Wall: time.Date(2026, 3, 1, 22, 0, 0, 0, time.UTC), Mono: 1000 * time.Hour, Boot: "first"}}
}

// write makes a record durable, unless it is.
func (b *box) write(r Record) {
	if r.Revision > uint64(len(b.disk)) {
		raw, err := json.Marshal(r)
		if err != nil {
			panic(err)
		}
		b.disk = append(b.disk, string(raw))
	}
}

// keep is both phases.
func (b *box) keep(r Record) ([]Change, error) {
	b.write(r)
	return b.Commit(r)
}

// start makes the state anew from what is on disk.
func (b *box) start() error {
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

// settle does what is due.
func (b *box) settle() (all []Record, changes []Change, next time.Duration, err error) {
	for {
		due, next := b.Tick(b.now)
		if len(due) == 0 {
			return all, changes, next, nil
		}
		for _, r := range due {
			cs, err := b.keep(r)
			if err != nil {
				return nil, nil, 0, err
			}
			all, changes = append(all, r), append(changes, cs...)
		}
		if len(all) > 10000 {
			return nil, nil, 0, fmt.Errorf("more and more is due, %v at last", &all[len(all)-1])
		}
	}
}

func (b *box) pass(d time.Duration) {
	b.now.Mono += d
	b.now.Wall = b.now.Wall.Add(d)
}

// opOf reads an operation from its text.
func opOf(text string) (Op, error) {
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
			return nil, fmt.Errorf("what is %q", one)
		}
		several.Ops = append(several.Ops, op)
	}
	if len(several.Ops) == 1 {
		return several.Ops[0], nil
	}
	return several, nil
}

// The hard cases, one file each: what is asked, and what is answered.
func TestHardCases(t *testing.T) {
	datadriven.Walk(t, "testdata/cases", func(t *testing.T, path string) {
		b, pending := newBox(), Record{}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var out strings.Builder
			answer := func(r Record, err error) string {
				var clash *Conflict
				switch had := b.Revision(); {
				case errors.As(err, &clash):
					fmt.Fprintf(&out, "conflict: %v\n", err)
					if clash.Now != nil {
						fmt.Fprintf(&out, "in force: %s, by %s\n", clash.Now.What, clash.Now.By)
					}
				case err != nil:
					fmt.Fprintf(&out, "refused (%s): %v\n", err.(*Refusal).Why, err)
				case r.Revision <= had:
					fmt.Fprintf(&out, "already: %s\n", &r)
				case d.HasArg("unanswered"):
					pending = r
					fmt.Fprintf(&out, "to be written: %s\n", &r)
				default:
					changes, err := b.keep(r)
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
			var back, keep int
			var trial, length string
			d.MaybeScanArgs(t, "id", &e.ID)
			d.MaybeScanArgs(t, "by", &e.By)
			d.MaybeScanArgs(t, "against", &e.Against)
			d.MaybeScanArgs(t, "trial", &trial)
			d.MaybeScanArgs(t, "for", &length)
			d.MaybeScanArgs(t, "revision", &back)
			d.MaybeScanArgs(t, "keep", &keep)
			e.Trial, _ = time.ParseDuration(trial)
			e.For, _ = time.ParseDuration(length)
			switch d.Cmd {
			case "edit":
				var err error
				if e.What, err = opOf(strings.TrimSpace(d.Input)); err != nil {
					t.Fatal(err)
				}
				return answer(b.Propose(b.now, e))
			case "undo":
				return answer(b.Undo(b.now, Back{ID: e.ID, By: e.By, Revision: uint64(back), Force: e.Force}))
			case "confirm":
				return answer(b.Confirm(b.now, e.ID, e.By))
			case "pass": // for= so long, with a tick at its end
				b.pass(e.For)
			case "jump": // the wall clock alone
				b.now.Wall = b.now.Wall.Add(e.For)
			case "kill": // written= says that the disk had the pending record
				if d.HasArg("written") {
					b.write(pending)
				}
				if d.HasArg("reboot") {
					b.now.Boot, b.now.Mono = b.now.Boot+"'", time.Second
				}
				b.pass(e.For)
				if err := b.start(); err != nil {
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
				t.Fatalf("what is %q", d.Cmd)
			}
			if d.Cmd != "wants" {
				all, _, next, err := b.settle()
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
