package rebuilt

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func root(t *testing.T) string {
	t.Helper()
	r, err := Root(".")
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func TestTheRootIsThisModules(t *testing.T) {
	if _, err := os.Stat(filepath.Join(root(t), "brain", "brain.go")); err != nil {
		t.Error(err)
	}
	other := t.TempDir()
	if err := os.WriteFile(filepath.Join(other, "go.mod"), []byte("module another\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Root(other); err == nil || !strings.Contains(err.Error(), "another") {
		t.Errorf("%v", err)
	}
}

func TestAFileOfARevision(t *testing.T) {
	text, err := Earlier(root(t), "HEAD", "go.mod")
	if err != nil || !bytes.HasPrefix(text, []byte("module pewterrudder\n")) {
		t.Errorf("%.40q, %v", text, err)
	}
	for _, c := range [][2]string{{"HEAD", "no/such/file"}, {"no-such-revision", "go.mod"}, {"--output=x", "go.mod"}} {
		if _, err := Earlier(root(t), c[0], c[1]); err == nil || !strings.Contains(err.Error(), c[0]) {
			t.Errorf("%v: %v", c, err)
		}
	}
}

// A text that does not compile is told with the compiler's words, and the source stays as it was.
func TestATextThatDoesNotFit(t *testing.T) {
	file := filepath.Join("brain", "sight.go")
	before, err := os.ReadFile(filepath.Join(root(t), file))
	if err != nil {
		t.Fatal(err)
	}
	_, err = Lab(root(t), t.TempDir(), "flawed", file, []byte("package brain\n\nvar _ = nowhere\n"))
	if err == nil || !strings.Contains(err.Error(), "nowhere") {
		t.Errorf("%v", err)
	}
	if after, _ := os.ReadFile(filepath.Join(root(t), file)); !bytes.Equal(before, after) {
		t.Error("the source has changed")
	}
}
