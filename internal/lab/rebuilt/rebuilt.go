// Package rebuilt owns programs of the lab that are built with some files of the source otherwise, by go build -overlay: a
// fault planted, or an earlier form of the module. It must never change a file of the repository, nor leave one of its own
// outside the folder that it is given.
package rebuilt

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"
)

// buildFor bounds a build.
const buildFor = 3 * time.Minute

// Root finds the source of this module from a folder in it.
func Root(dir string) (string, error) {
	cmd := exec.Command("go", "list", "-m", "-f", "{{.Path}} {{.Dir}}")
	cmd.Dir = dir
	out, err := cmd.Output()
	if err != nil {
		return "", fmt.Errorf("rebuilt: the source of pewterrudder and the go command are needed: %w", err)
	}
	path, root, _ := strings.Cut(strings.TrimSpace(string(out)), " ")
	if path != "pewterrudder" {
		return "", fmt.Errorf("rebuilt: %s is the source of %s, and not of pewterrudder", dir, path)
	}
	return root, nil
}

// Lab builds rudderlab with another text in place of one file of the source, which is named from its root. The program
// of that name is left in dir.
func Lab(root, dir, name, file string, text []byte) (string, error) {
	return Program(root, dir, name, "./cmd/rudderlab", file, text)
}

// Program does the same with any program of the source.
func Program(root, dir, name, of, file string, text []byte) (string, error) {
	return Programs(root, dir, name, of, map[string][]byte{filepath.Join(root, file): text})
}

// Programs does the same with any files, by their paths, and with other flags of go build. A file whose text is nil is left
// out of the build.
func Programs(root, dir, name, of string, texts map[string][]byte, flags ...string) (string, error) {
	replace, n := map[string]string{}, 0
	for path, text := range texts {
		if text == nil {
			replace[path] = ""
			continue
		}
		n++
		changed := filepath.Join(dir, fmt.Sprintf("%s.%d.go.txt", name, n))
		replace[path] = changed
		if err := os.WriteFile(changed, text, 0o644); err != nil {
			return "", err
		}
	}
	overlay := filepath.Join(dir, name+".json")
	raw, err := json.Marshal(map[string]any{"Replace": replace})
	if err != nil {
		return "", err
	}
	if err := os.WriteFile(overlay, raw, 0o644); err != nil {
		return "", err
	}
	ctx, cancel := context.WithTimeout(context.Background(), buildFor)
	defer cancel()
	program := filepath.Join(dir, name)
	cmd := exec.CommandContext(ctx, "go", append(append([]string{"build", "-overlay", overlay}, flags...), "-o", program, of)...)
	cmd.Dir = root
	if out, err := cmd.CombinedOutput(); err != nil {
		return "", fmt.Errorf("go build: %w\n%s", err, out)
	}
	return program, nil
}

// Earlier gives a file as a revision of the repository has it.
func Earlier(root, revision, file string) ([]byte, error) {
	return git(root, revision, "show", revision+":"+file)
}

// EarlierFolder gives the Go sources of a folder as a revision of the repository has them, by their paths and without tests.
// The text of a source that the folder has now and had not then is nil, so that Programs leaves it out. A folder that the
// revision has not at all stays as it is: the result is empty.
func EarlierFolder(root, revision, folder string) (map[string][]byte, error) {
	names, err := git(root, revision, "ls-tree", "--name-only", revision, folder+"/")
	if err != nil {
		return nil, err
	}
	texts := map[string][]byte{}
	for _, file := range strings.Fields(string(names)) {
		if !isSource(file) {
			continue
		}
		text, err := Earlier(root, revision, file)
		if err != nil {
			return nil, err
		}
		texts[filepath.Join(root, file)] = text
	}
	if len(texts) == 0 {
		return texts, nil
	}
	return texts, leaveOutNewer(filepath.Join(root, folder), texts)
}

// leaveOutNewer enters a nil text for each source of a folder that has none.
func leaveOutNewer(folder string, texts map[string][]byte) error {
	entries, err := os.ReadDir(folder)
	if err != nil {
		return fmt.Errorf("rebuilt: %w", err)
	}
	for _, entry := range entries {
		path := filepath.Join(folder, entry.Name())
		if _, known := texts[path]; !known && isSource(path) {
			texts[path] = nil
		}
	}
	return nil
}

func isSource(file string) bool {
	return strings.HasSuffix(file, ".go") && !strings.HasSuffix(file, "_test.go")
}

// git runs a command of git that reads a revision.
func git(root, revision string, args ...string) ([]byte, error) {
	if strings.HasPrefix(revision, "-") {
		return nil, fmt.Errorf("rebuilt: %q is no revision", revision)
	}
	cmd := exec.Command("git", args...)
	cmd.Dir = root
	var why strings.Builder
	cmd.Stderr = &why
	out, err := cmd.Output()
	if err != nil {
		return nil, fmt.Errorf("rebuilt: git %s: %w: %s", strings.Join(args, " "), err, strings.TrimSpace(why.String()))
	}
	return out, nil
}
