package planted

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"pewterrudder/internal/lab/rebuilt"
)

// Each fault finds its place in the source as it is today, and changes it.
func TestTheFaultsHaveTheirPlaces(t *testing.T) {
	root, err := rebuilt.Root(".")
	if err != nil {
		t.Fatal(err)
	}
	names := map[string]bool{}
	for i := range Faults {
		f := &Faults[i]
		text, err := f.Apply(root)
		if err != nil {
			t.Error(err)
			continue
		}
		src, err := os.ReadFile(filepath.Join(root, f.File))
		if err != nil {
			t.Fatal(err)
		}
		if names[f.Name] || len(f.Rules) == 0 || string(text) == string(src) || !strings.HasPrefix(string(text), string(src[:40])) {
			t.Errorf("%s is no fault, or there are two of that name", f.Name)
		}
		names[f.Name] = true
	}
}

// One fault from its source to the rule that catches it; `rudderlab planted` does all. The others are not built.
func TestAPlantedFaultIsCaught(t *testing.T) {
	root, err := rebuilt.Root(".")
	if err != nil {
		t.Fatal(err)
	}
	var all []*Result
	opt := Options{Root: root, Seed: 1, Runs: 20, Length: 8 * time.Second, Only: []string{"second-answer"}}
	if err := Prove(opt, func(r *Result) { all = append(all, r) }); err != nil {
		t.Fatal(err)
	}
	if len(all) != 1 || !all[0].Caught || all[0].Rule != "answers" || all[0].Runs < 1 {
		t.Errorf("%+v", all[0])
	}
	opt.Only = []string{"luck"}
	if err := Prove(opt, func(r *Result) { t.Errorf("%+v", r) }); err == nil {
		t.Error("a fault that there is not was proved")
	}
}

// A fault whose place is gone is told, and not passed over.
func TestALostPlaceIsTold(t *testing.T) {
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "a.go"), []byte("package a // once, once\n"), 0o644); err != nil {
		t.Fatal(err)
	}
	for _, old := range []string{"nowhere", "once"} {
		f := Fault{Name: "lost", File: "a.go", Old: old, New: "x"}
		if _, err := f.Apply(dir); err == nil || !strings.Contains(err.Error(), "lost") {
			t.Errorf("%q: %v", old, err)
		}
	}
}
