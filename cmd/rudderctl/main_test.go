package main

import (
	"encoding/json"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/alecthomas/kong"

	"pewterrudder/internal/completion"
	"pewterrudder/internal/control"
)

// ok runs a command that must succeed.
func (r *rig) ok(t *testing.T, args ...string) string {
	t.Helper()
	out, errs, status := r.ctl(t, args...)
	if status != 0 {
		t.Fatalf("%q: status %d: %s", args, status, errs)
	}
	return out
}

// no runs one that must fail so, and say all of that.
func (r *rig) no(t *testing.T, status int, says []string, args ...string) {
	t.Helper()
	out, errs, got := r.ctl(t, args...)
	if got != status {
		t.Errorf("%q: status %d, where %d is wanted: %s%s", args, got, status, out, errs)
	}
	for _, text := range says {
		if !strings.Contains(errs, text) {
			t.Errorf("%q: %q is not in %q", args, text, errs)
		}
	}
}

func TestEveryCommandHasATableAndJSON(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	r.ok(t, "drain", "n1", "--trial", "1h", "--id", "mine")
	for _, c := range []struct {
		args   []string
		says   string
		nothas string
	}{
		{[]string{"status"}, "keep it with: rudderctl confirm mine", ""},
		{[]string{"pools"}, "main   5", ""},
		{[]string{"nodes"}, "on trial to", ""},
		{[]string{"nodes", "--state", "drained"}, "n1", "n2"},
		{[]string{"nodes", "--pool", "small"}, "n6", "n1"},
		{[]string{"why", "n1"}, "n1 is drained: it gets no work", ""},
		{[]string{"roster"}, "discovery", ""},
		{[]string{"peers"}, "LOST", ""},
		{[]string{"history"}, "drain n1 on trial for 1h0m0s", ""},
		{[]string{"version"}, "rudderctl", ""},
		{[]string{"export"}, `"format": "pewterrudder-box/1"`, ""},
		{[]string{"confirm", "1"}, "confirm of 1", ""},
		{[]string{"set", "cap", "main", "7"}, "cap main 7", ""},
	} {
		out := r.ok(t, c.args...)
		if !strings.Contains(out, c.says) || c.nothas != "" && strings.Contains(out, c.nothas) {
			t.Errorf("%q: %s", c.args, out)
		}
		if out = r.ok(t, append(c.args, "--json")...); !json.Valid([]byte(out)) {
			t.Errorf("%q --json: %s", c.args, out)
		}
	}
}

func TestMessagesSayWhatToDoNext(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	r.no(t, refused, []string{`no node is called "n"`, "did you mean n1?", "rudderctl nodes"}, "why", "n")
	r.no(t, refused, []string{"n7", "did you mean n1?", "--yes says yes"}, "drain", "n7")
	r.no(t, refused, []string{"pool small without a ready node", "--yes says yes"}, "drain", "n6")
	r.no(t, refused, []string{"no operator drains it", "rudderctl why n1"}, "restore", "n1")
	r.no(t, refused, []string{"rudderctl history"}, "undo", "9")
	r.no(t, refused, []string{"rudderctl history"}, "confirm", "nobody")
	r.no(t, refused, []string{"for_ms"}, "drain", "n1", "--for", "1ms")
	r.no(t, misuse, []string{"rudderctl --help"}, "dig")
	r.no(t, misuse, []string{"needs a terminal"}, "console")
	r.no(t, misuse, []string{"line 3", "caps"}, "diff", file(t, "{\n// c\n\"caps\": {\"main\": \"x\"}}"))
	r.no(t, misuse, []string{"sections are"}, "diff", file(t, `{"nodes": []}`))
	r.no(t, noBox, []string{"no socket", "--socket"}, "status", "--socket", filepath.Join(r.folder, "none"))
	if len(r.kept) > 0 {
		t.Errorf("%q", r.kept)
	}
	r.ok(t, "drain", "n6", "--yes")
	out := r.ok(t, "drain", "n1", "--id", "e")
	if again := r.ok(t, "drain", "n1", "--id", "e"); again != out || len(r.kept) != 2 {
		t.Errorf("%q, then %q, %d kept", out, again, len(r.kept))
	}
	r.no(t, refused, []string{"--id"}, "drain", "n2", "--id", "e")
}

// The person at the prompt looked at a revision; somebody is faster than the answer.
func TestTheSlowerOfTwoIsToldOfTheOther(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	r.ok(t, "drain", "n1") // against revision 0 means against whatever is
	s := r.terminal(t, "drain", "n6")
	s.must("[y/N]")
	r.ok(t, "drain", "n6", "--yes", "--id", "others")
	s.types("y\r")
	s.must("drain n6 was changed since you looked")
	s.must("rudderctl history")
	if got := s.status(); got != conflict || len(r.kept) != 2 {
		t.Errorf("status %d, %d kept", got, len(r.kept))
	}
	for _, no := range []string{"n\r", "\r", "\x04"} {
		s := r.terminal(t, "set", "unpool", "small")
		s.must("[y/N]")
		s.types(no)
		if got := s.status(); got != refused || len(r.kept) != 2 {
			t.Errorf("%q: status %d, %d kept; %s", no, got, len(r.kept), s.screen())
		}
	}
}

// On the full screen: no colour, no more than is there, and a watcher who is told.
func TestTheFullScreenIsPlain(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	s := r.terminal(t, "console")
	s.must("> n1")
	r.ok(t, "drain", "n3")
	s.types("4")
	s.must(": drain n3")
	s.types("3")
	s.must("WHO AND WHAT")
	s.types("q")
	if got := s.status(); got != 0 {
		t.Errorf("status %d", got)
	}
	if m := regexp.MustCompile(`\x1b\[([0-9;]*;)?(3[0-9]|4[0-9]|9[0-7]|10[0-7])(;[0-9;]*)?m`).Find(s.raw); m != nil {
		t.Errorf("a colour: %q", m)
	}
	if !strings.Contains(string(s.raw), "\x1b[?1049l") {
		t.Error("the screen that was there before does not come back")
	}
}

func TestABoxThatDiesIsAskedAgain(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	back := make(chan struct{})
	r.mu.Lock()
	r.afterNextKeep = func() { r.dies(t, back) }
	r.mu.Unlock()
	out := r.ok(t, "drain", "n1")
	<-back
	if !strings.Contains(out, "revision 1: drain n1") || len(r.kept) != 1 || !r.wanted(t, "drain n1", "drain n1") {
		t.Errorf("%s, %d kept", out, len(r.kept))
	}
	// One that does not come back: the person is told that it is not known, and how to ask again.
	r.mu.Lock()
	r.afterNextKeep = func() { r.life.Lock(); r.gone = true; r.service.Break(); r.life.Unlock() }
	r.mu.Unlock()
	r.no(t, unsure, []string{"it may have been made", "--id later"}, "drain", "n2", "--id", "later", "--wait", "300ms")
}

func file(t *testing.T, text string) string {
	path := filepath.Join(t.TempDir(), "wishes.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestAFileIsAppliedAsOneAndDiffIsThenEmpty(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	r.ok(t, "drain", "n1")
	r.ok(t, "set", "weight", "n2", "2")
	r.ok(t, "set", "note", "n5", "stays")
	path := file(t, `{ // comments hold
		"drained": ["n3"], "weights": {}, "caps": {"main": 9}, "pools": {"night": ["n5", "n4"]}, }`)
	out, _, status := r.ctl(t, "diff", path)
	want := "apply would do:\n  cap main 9\n  drain n3\n  pool night n5 n4\n  restore n1\n  weight n2 0\n"
	if status != refused || out != want {
		t.Errorf("status %d: %s", status, out)
	}
	r.no(t, refused, []string{"5 changes", "--yes"}, "apply", path)
	if r.ok(t, "apply", path, "--yes"); len(r.kept) != 4 {
		t.Errorf("%d kept", len(r.kept))
	}
	if out := r.ok(t, "diff", path); !strings.Contains(out, "as the file says") {
		t.Error(out)
	}
	if !r.wanted(t, "note n5", `note n5 "stays"`) || !r.wanted(t, "drain n1", "") {
		t.Error(r.state(t))
	}
}

func TestAnExportBringsAnotherBoxToTheSame(t *testing.T) {
	t.Parallel()
	one, two := newRig(t), newRig(t)
	one.ok(t, "drain", "n1")
	one.ok(t, "set", "pool", "night", "n4", "n5")
	one.ok(t, "set", "unpool", "main", "--yes")
	one.ok(t, "set", "note", "n1", "the fan")
	one.ok(t, "drain", "n2", "--for", "1h")
	one.ok(t, "drain", "n3", "--trial", "1h")
	two.ok(t, "set", "weight", "n2", "3") // is taken back
	path := file(t, one.ok(t, "export"))
	two.no(t, refused, []string{"--yes"}, "import", path)
	two.ok(t, "import", path, "--yes")
	one.ok(t, "undo", "6") // the trial stays behind
	if a, b := one.state(t), two.state(t); a != b || !strings.Contains(a, "drain n2 for a time") {
		t.Errorf("%s\nand\n%s", a, b)
	}
	kept := len(two.kept)
	if out := two.ok(t, "import", path, "--yes"); !strings.Contains(out, "nothing was changed") || len(two.kept) != kept {
		t.Error(out)
	}
	two.no(t, misuse, []string{"not an export"}, "import", file(t, "{}"))
}

func TestWatchPrintsWhatComes(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	r.ok(t, "drain", "n1")
	s := r.terminal(t, "watch", "--from", "1")
	s.must("watching, at revision 1")
	s.must(": drain n1")
	r.ok(t, "restore", "n1")
	s.must(": restore n1")
	s.types("\x03")
	if got := s.status(); got != 0 {
		t.Errorf("status %d", got)
	}
}

func TestCompletionOffersWhatIsThere(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	r.ok(t, "drain", "n2", "--trial", "1h", "--id", "mine")
	for line, want := range map[string][]string{
		"wh":               {"why"},
		"drain n":          {"n1", "n2", "n3", "n4", "n5", "n6"},
		"drain n1 ":        nil,
		"set w":            {"weight"},
		"set cap ":         {"main", "small"},
		"set pool x n1 n5": {"n5"},
		"confirm ":         {"mine"},
		"undo ":            {"1"},
		"nodes --po":       {"--pool"},
		"nodes --pool s":   {"small"},
		"completion b":     {"bash"},
	} {
		got := strings.Fields(r.ok(t, append([]string{"complete", "--"}, strings.Split(line, " ")...)...))
		if !slices.Equal(got, want) {
			t.Errorf("%q: %q, where %q is wanted", line, got, want)
		}
	}
	for _, shell := range completion.Shells() {
		if out := r.ok(t, "completion", shell); !strings.Contains(out, "rudderctl") {
			t.Errorf("%s: %q", shell, out)
		}
	}
}

// Each of the operations that the state knows can be asked for.
func TestEveryKindHasACommand(t *testing.T) {
	var c commands
	k, err := newParser(&c)
	if err != nil {
		t.Fatal(err)
	}
	var names []string
	kong.Visit(k.Model, func(n kong.Visitable, next kong.Next) error {
		if n, ok := n.(*kong.Node); ok {
			names = append(names, n.Name)
		}
		return next(nil)
	})
	for _, kind := range control.Kinds {
		if kind != "several" && !slices.Contains(names, kind) {
			t.Errorf("%s: no command", kind)
		}
	}
}
