package main

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestPaper(t *testing.T) {
	for _, c := range [][]string{{"paper", "--seeds=1"}, {"paper", "--tables=4"}, {"paper", "--rows=none such"}} {
		if status, out, errs := lab(t, c...); status != misuse || errs == "" {
			t.Errorf("%v: status %d, %s%s", c, status, out, errs)
		}
	}
	dir := filepath.Join(t.TempDir(), "paper")
	status, out, errs := lab(t, "paper", "--tables=1", "--rows=no bursts", "--seeds=3", "--jobs=300", "--json", "--out="+dir)
	var r struct {
		Rows []struct {
			Name, Greedy_against_random string
			Cells                       []struct {
				Policy string
				Wait_s float64
			}
		}
	}
	if err := json.Unmarshal([]byte(out), &r); err != nil || status != 0 {
		t.Fatalf("status %d, %v: %s%s", status, err, out, errs)
	}
	if len(r.Rows) != 1 || len(r.Rows[0].Cells) != 7 || !strings.HasPrefix(r.Rows[0].Greedy_against_random, "better than random") {
		t.Errorf("%+v", r)
	}
	text, err := os.ReadFile(filepath.Join(dir, "paper.txt"))
	if err != nil || !strings.Contains(string(text), "no bursts") {
		t.Errorf("paper.txt: %v: %s", err, text)
	}
	if _, err := os.Stat(filepath.Join(dir, "paper.json")); err != nil {
		t.Error(err)
	}
}
