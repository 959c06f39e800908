package disk

import (
	"bytes"
	"errors"
	"io/fs"
	"math/bits"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"
)

func folder(t *testing.T, text string) string {
	t.Helper()
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "a"), []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return dir
}

func held(t *testing.T, dir string) string {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join(dir, "a"))
	if err != nil {
		t.Fatal(err)
	}
	return string(raw)
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func TestWhatBefallsAFolder(t *testing.T) {
	a, b, kept := folder(t, "of the first"), folder(t, "of the second"), filepath.Join(t.TempDir(), "kept")
	must(t, Copy(a, kept))
	must(t, os.WriteFile(filepath.Join(a, "a"), []byte("later"), 0o600))
	must(t, os.WriteFile(filepath.Join(a, "new"), []byte("later"), 0o600))
	must(t, Restore(a, kept))
	if _, err := os.Stat(filepath.Join(a, "new")); held(t, a) != "of the first" || !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("restored, it holds %q, and what came later: %v", held(t, a), err)
	}
	must(t, Swap(a, b))
	if held(t, a) != "of the second" || held(t, b) != "of the first" {
		t.Error("not swapped")
	}
	must(t, Cut(a, 4))
	if held(t, a) != "of the se" {
		t.Errorf("cut off it holds %q", held(t, a))
	}
	must(t, Flip(b, 1, rand.New(rand.NewPCG(1, 1))))
	was, is, turned := []byte("of the first"), []byte(held(t, b)), 0
	for i := range was {
		turned += bits.OnesCount8(was[i] ^ is[i])
	}
	if turned != 1 || bytes.Equal(was, is) {
		t.Errorf("%d bits were turned over: %q", turned, is)
	}
	if n, err := Largest(b); n != 12 || err != nil {
		t.Error(n, err)
	}
}

// A fault that has nothing to bite into says so.
func TestAnEmptyFolderIsNoTarget(t *testing.T) {
	if err := Flip(t.TempDir(), 1, rand.New(rand.NewPCG(1, 1))); err == nil {
		t.Error("bits of nothing were turned over")
	}
	if err := Cut(filepath.Join(t.TempDir(), "none"), 1); err == nil {
		t.Error("the end of nothing was cut off")
	}
}
