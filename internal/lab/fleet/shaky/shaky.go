// Package shaky owns the test build of the balancer: the program with a disk and a clock that the rig has in hand. Each write
// and sync of the state folder's files asks the disk that RIG_DISK names (disk.Served) before it is made; RIG_CLOCK says by how
// much the machine's clock is off, and RIG_BOOT which of its starts this is. Without these it does what the program does. It must
// never change a file of the repository or of a module, nor hold a copy of one: the changes are laid over the sources as they are
// when it builds.
package shaky

import (
	"bytes"
	_ "embed"
	"fmt"
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	"pewterrudder/internal/lab/rebuilt"
)

//go:embed shim.go.txt
var shim []byte

const boltModule = "go.etcd.io/bbolt"

// change of one place in a file.
type change struct{ File, Old, New string }

// Bolt is a change to a file of bbolt; without an old text the shim takes the file's place.
type Bolt change

var boltChanges = []Bolt{
	{"bolt_linux.go", "", ""},
	{"db.go", "db.ops.writeAt = db.file.WriteAt\n", "db.ops.writeAt = rigWriteAt(db.file)\n"},
	{"db.go", "if err := db.file.Sync(); err != nil {", "if err := RigSync(db.file); err != nil {"},
}

var changes = []change{
	{"internal/store/store.go", "errors.Join(d.Sync(), d.Close())", "errors.Join(bbolt.RigSync(d), d.Close())"},
	{"internal/store/store.go", "		if _, err := f.WriteAt(metas, 0); err != nil {\n", "		if err := bbolt.RigMayWrite(f); err != nil {\n			return err\n		}\n" +
		"		if _, err := f.WriteAt(metas, 0); err != nil {\n"},
	{"internal/store/store.go", "	return f.Sync()\n", "	return bbolt.RigSync(f)\n"},
	{"cmd/pewterrudder/box.go", "control.Now{Wall: time.Now(),", "control.Now{Wall: time.Now().Add(rigClock),"},
	{"cmd/pewterrudder/box.go", "	o.service = boxd.New(", "	if of := os.Getenv(\"RIG_BOOT\"); of != \"\" {\n		boot = of\n	}\n	o.service = boxd.New("},
	{"cmd/pewterrudder/box.go", "// keeper makes records durable.\n", "var rigClock, _ = time.ParseDuration(os.Getenv(\"RIG_CLOCK\"))\n\n// keeper makes records durable.\n"},
}

// Texts are the changed files of the source by their paths, on top of those that are changed already.
func Texts(root string, already map[string][]byte) (map[string][]byte, error) {
	texts := maps.Clone(already)
	if texts == nil {
		texts = map[string][]byte{}
	}
	for _, c := range changes {
		path := filepath.Join(root, c.File)
		if texts[path] == nil {
			raw, err := os.ReadFile(path)
			if err != nil {
				return nil, err
			}
			texts[path] = raw
		}
		text, err := c.apply(texts[path])
		if err != nil {
			return nil, err
		}
		texts[path] = text
	}
	return texts, nil
}

func (c *change) apply(text []byte) ([]byte, error) {
	if n := bytes.Count(text, []byte(c.Old)); n != 1 {
		return nil, fmt.Errorf("shaky: %q stands %d times in %s, and must stand there once", c.Old, n, c.File)
	}
	return bytes.Replace(text, []byte(c.Old), []byte(c.New), 1), nil
}

// Build makes the test build, with other changes of the source and of bbolt in it, as a program of that name in dir. The files
// of a module cannot be laid over, so bbolt is built from a folder beside the program, for as long as that takes.
func Build(root, dir, name string, already map[string][]byte, bolts ...Bolt) (string, error) {
	texts, err := Texts(root, already)
	if err != nil {
		return "", err
	}
	bolt := filepath.Join(dir, name+".bbolt")
	defer os.RemoveAll(bolt)
	if err := layOut(root, bolt, append(bolts, boltChanges...)); err != nil {
		return "", err
	}
	mod := filepath.Join(dir, name+".mod")
	for _, ending := range []string{"mod", "sum"} {
		raw, err := os.ReadFile(filepath.Join(root, "go."+ending))
		if err != nil {
			return "", err
		}
		if ending == "mod" {
			raw = fmt.Appendf(raw, "\nreplace %s => %s\n", boltModule, bolt)
		}
		if err := os.WriteFile(strings.TrimSuffix(mod, "mod")+ending, raw, 0o644); err != nil {
			return "", err
		}
	}
	return rebuilt.Programs(root, dir, name, "./cmd/pewterrudder", texts, "-modfile="+mod)
}

// layOut puts bbolt as it is in the module's place into a folder, and changes it there.
func layOut(root, dir string, all []Bolt) error {
	cmd := exec.Command("go", "list", "-m", "-f", "{{.Dir}}", boltModule)
	cmd.Dir = root
	out, err := cmd.Output()
	if err != nil {
		return fmt.Errorf("shaky: where bbolt is: %w", err)
	}
	if err := os.CopyFS(dir, os.DirFS(strings.TrimSpace(string(out)))); err != nil {
		return err
	}
	for i := range all {
		c := change(all[i])
		path := filepath.Join(dir, c.File)
		text := shim
		if c.Old != "" {
			raw, err := os.ReadFile(path)
			if err != nil {
				return err
			}
			if text, err = c.apply(raw); err != nil {
				return err
			}
		}
		if err := os.Remove(path); err != nil { // a module's files cannot be written to
			return err
		}
		if err := os.WriteFile(path, text, 0o644); err != nil {
			return err
		}
	}
	return nil
}
