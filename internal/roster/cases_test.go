package roster

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestCases runs the cases in testdata/cases, one file each: the calls, and the changes and log lines they produce. Times
// are in seconds.
func TestCases(t *testing.T) {
	datadriven.Walk(t, "testdata/cases", func(t *testing.T, path string) {
		var r *Roster
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var at float64
			var source, times int
			var rev int64
			var id string
			d.MaybeScanArgs(t, "at", &at)
			d.MaybeScanArgs(t, "source", &source)
			d.MaybeScanArgs(t, "rev", &rev)
			d.MaybeScanArgs(t, "id", &id)
			d.MaybeScanArgs(t, "times", &times)
			now := time.Hour + time.Duration(at*float64(time.Second))
			var all []Change
			switch d.Cmd {
			case "new":
				s := Settings{Hold: 30 * time.Second}
				for _, line := range strings.Split(strings.TrimSpace(d.Input), "\n") {
					src := Source{Stale: 5 * time.Second, Lost: time.Minute}
					role := ""
					fmt.Sscan(line, &src.Name, &role)
					src.Role = map[string]Role{"primary": Primary, "joined": Joined, "fallback": Fallback}[role]
					s.Sources = append(s.Sources, src)
				}
				if d.HasArg("guard") {
					s.LossShare, s.LossFor = 0.5, time.Minute
				}
				if d.HasArg("suspects") {
					s.SuspectFails, s.SuspectOver, s.SuspectShare = 3, 500*time.Millisecond, 0.5
					s.TrialFirst, s.TrialMost, s.TrialFor = 2*time.Second, 5*time.Second, 250*time.Millisecond
				}
				var err error
				if r, err = New(s); err != nil {
					return err.Error()
				}
				return ""
			case "whole", "changes":
				all = r.Apply(now, source, d.Cmd == "whole", rev, parseEntries(t, d.Input))
			case "heard": // every 4 s from since on, if it is given
				since := at
				d.MaybeScanArgs(t, "since", &since)
				for ; since < at; since += 4 {
					r.RecordContact(time.Hour+time.Duration(since*float64(time.Second)), source)
				}
				r.RecordContact(now, source)
			case "broke":
				r.RecordError(now, source, d.Input)
			case "connect":
				for range max(1, times) {
					r.Connect(now, id, d.HasArg("ok"))
				}
			case "tick":
			case "why":
				return r.Explain(id)
			case "sources":
				out := ""
				for _, s := range r.Sources() {
					out += fmt.Sprintf("%s %s, %s: %s, %s old, revision %d, %d entries, %d doubted, wants %v, %s\n", s.Role, s.Name, s.Health,
						s.Standing, s.Age, s.Revision, s.Entries, s.Doubted, s.Wants, s.Why)
				}
				return out
			default:
				t.Fatalf("%s: unknown command", d.Cmd)
			}
			for {
				if due, ok := r.NextTick(); !ok || due > now {
					break
				}
				all = append(all, r.Tick(now)...)
			}
			out := ""
			for _, line := range r.TakeLogLines() {
				out += "# " + line + "\n"
			}
			for _, c := range all {
				out += c.ID + " " + c.State.String()
				if c.Suspect {
					out += ", suspect"
				}
				if d.HasArg("started") {
					out += fmt.Sprintf(", started at %v", (c.Started - time.Hour).Seconds())
				}
				out += "\n"
			}
			if out == "" {
				return "nothing"
			}
			return out
		})
	})
}

// parseEntries reads lines of an id, a state, and optionally an address and a start time.
func parseEntries(t *testing.T, text string) (all []Entry) {
	for line := range strings.Lines(strings.TrimSpace(text)) {
		e := Entry{}
		state, started := "", 0.0
		if n, _ := fmt.Sscan(line, &e.ID, &state, &e.Address, &started); n == 4 {
			e.Started = time.Hour + time.Duration(started*float64(time.Second))
		} else if n < 3 {
			e.Address = "at-" + e.ID
		}
		var ok bool
		if e.State, ok = map[string]State{"up": Up, "draining": Draining, "gone": Gone}[state]; !ok && strings.TrimSpace(line) != "" {
			t.Fatalf("%q: unknown state", line)
		}
		if e.ID != "" {
			all = append(all, e)
		}
	}
	return all
}

// The error for an invalid setting names its key.
func TestInvalidSettingIsNamed(t *testing.T) {
	good := Settings{Sources: []Source{{Name: "a", Stale: 1, Lost: 2}, {Name: "b", Stale: 1}}, Hold: 1, LossShare: 0.5, LossFor: 1,
		SuspectFails: 1, SuspectShare: 1, TrialFirst: 1, TrialMost: 1, TrialFor: 1}
	if _, err := New(good); err != nil {
		t.Fatal(err)
	}
	for key, invalidate := range map[string]func(*Settings){
		"sources:":                func(s *Settings) { s.Sources = nil },
		"sources[1].name":         func(s *Settings) { s.Sources[1].Name = "a" },
		"sources[0].role":         func(s *Settings) { s.Sources[0].Role = 3 },
		"sources[0].stale_ms":     func(s *Settings) { s.Sources[0].Stale = 0 },
		"sources[0].lost_ms":      func(s *Settings) { s.Sources[0].Stale = 3 },
		"hold_ms":                 func(s *Settings) { s.Hold = 0 },
		"loss.share":              func(s *Settings) { s.LossShare = 1 },
		"loss.for_ms":             func(s *Settings) { s.LossFor = 0 },
		"suspects.fails":          func(s *Settings) { s.SuspectFails = -1 },
		"suspects.over_ms":        func(s *Settings) { s.SuspectOver = -1 },
		"suspects.share":          func(s *Settings) { s.SuspectShare = 0 },
		"suspects.trial_first_ms": func(s *Settings) { s.TrialFirst = 0 },
		"suspects.trial_most_ms":  func(s *Settings) { s.TrialMost = 0 },
		"suspects.trial_ms":       func(s *Settings) { s.TrialFor = 0 },
	} {
		s := good
		s.Sources = append([]Source(nil), good.Sources...)
		invalidate(&s)
		if _, err := New(s); err == nil || !strings.Contains(err.Error(), key) {
			t.Errorf("error %v, want one that names %s", err, key)
		}
	}
}
