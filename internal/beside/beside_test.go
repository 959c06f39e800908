package beside

import (
	"bufio"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// TestMain lets the test binary act as another process that creates a mark and waits to be killed.
func TestMain(m *testing.M) {
	if dir := os.Getenv("PEWTERRUDDER_TEST_MARK_DIR"); dir != "" {
		mark, err := Create(dir, "127.0.0.1:1")
		if err != nil {
			println(err.Error())
			os.Exit(1)
		}
		os.Stdout.WriteString("created\n")
		os.Stdin.Read(make([]byte, 1)) // waits; select{} would abort, because the runtime detects the deadlock
		mark.Close()
	}
	os.Exit(m.Run())
}

// Marks are counted while their processes run. The mark of a killed process is removed. Marks of other addresses and
// unrelated files in the directory are neither counted nor removed.
func TestOthersCountsLiveProcesses(t *testing.T) {
	dir := t.TempDir()
	os.WriteFile(filepath.Join(dir, "something.alive"), nil, 0o600)
	m, err := Create(dir, "127.0.0.1:1")
	if err != nil {
		t.Fatal(err)
	}
	defer m.Close()
	otherAddress, err := Create(dir, "127.0.0.1:2")
	if err != nil {
		t.Fatal(err)
	}
	defer otherAddress.Close()
	if n := m.OtherProcesses(); n != 0 {
		t.Fatalf("%d other processes, want 0", n)
	}
	other := exec.Command(os.Args[0])
	other.Env = append(os.Environ(), "PEWTERRUDDER_TEST_MARK_DIR="+dir)
	out, _ := other.StdoutPipe()
	if _, err := other.StdinPipe(); err != nil { // stays open, so that the process waits
		t.Fatal(err)
	}
	if err := other.Start(); err != nil {
		t.Fatal(err)
	}
	if _, err := bufio.NewReader(out).ReadString('\n'); err != nil {
		t.Fatal(err)
	}
	if n := m.OtherProcesses(); n != 1 {
		t.Errorf("%d other processes, want 1", n)
	}
	other.Process.Kill()
	other.Wait()
	files := func() int { entries, _ := os.ReadDir(dir); return len(entries) }
	before := files()
	if n := m.OtherProcesses(); n != 0 || files() != before-1 {
		t.Errorf("%d other processes after the kill, %d of %d files left", n, files(), before)
	}
	if m.Close(); otherAddress.OtherProcesses() != 0 || files() != 2 {
		t.Errorf("another process counted, or %d files left, want 2", files())
	}
}

func TestLeaveWithoutDirectory(t *testing.T) {
	for _, dir := range []string{"", filepath.Join(t.TempDir(), "none")} {
		if _, err := Create(dir, "127.0.0.1:1"); err == nil {
			t.Errorf("no error for the directory %q", dir)
		}
	}
}
