package outernames

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const (
	root = "../.."
	page = root + "/docs/outer-names.md"
)

// fieldSections list Go fields; every other section lists texts.
var fieldSections = map[string]bool{
	"## Commands and flags by field name": true,
	"## JSON fields by field name":        true,
}

// uncheckedSections have no form that a test can look for.
var uncheckedSections = map[string]bool{
	"## Arrays":                         true,
	"## Template fields":                true,
	"## Not checked, kept all the same": true,
}

// folderNames is one line of the page.
type folderNames struct {
	section, folder string
	names           []string
}

// readPage returns the lines of the page that list names of a folder.
func readPage(t *testing.T) []folderNames {
	t.Helper()
	text, err := os.ReadFile(page)
	assert.NilError(t, err)
	quoted := regexp.MustCompile("`([^`]+)`")
	var lines []folderNames
	section := ""
	for line := range strings.SplitSeq(string(text), "\n") {
		if strings.HasPrefix(line, "## ") {
			section = line
		}
		if !strings.HasPrefix(line, "- `") || uncheckedSections[section] {
			continue
		}
		entry := folderNames{section: section}
		for _, match := range quoted.FindAllStringSubmatch(line, -1) {
			entry.names = append(entry.names, match[1])
		}
		entry.folder, entry.names = entry.names[0], entry.names[1:]
		lines = append(lines, entry)
	}
	return lines
}

// sourceNames is what the sources of a folder declare and write, tests excluded.
type sourceNames struct {
	identifiers map[string]bool
	texts       []string // values of string literals, struct tags included
}

func readSources(t *testing.T, folder string) sourceNames {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(root, folder, "*.go"))
	assert.NilError(t, err)
	found := sourceNames{identifiers: map[string]bool{}}
	for _, name := range files {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), name, nil, parser.SkipObjectResolution)
		assert.NilError(t, err)
		ast.Inspect(file, func(node ast.Node) bool {
			switch n := node.(type) {
			case *ast.Ident:
				found.identifiers[n.Name] = true
			case *ast.BasicLit:
				if text, err := strconv.Unquote(n.Value); n.Kind == token.STRING && err == nil {
					found.texts = append(found.texts, text)
				}
			}
			return true
		})
	}
	return found
}

// hasText tells whether the text stands in one of the literals, bounded by something that is no letter or digit.
func (s sourceNames) hasText(text string) bool {
	isWord := func(c byte) bool {
		return c == '_' || c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
	}
	for _, literal := range s.texts {
		for from := 0; ; {
			i := strings.Index(literal[from:], text)
			if i < 0 {
				break
			}
			start, end := from+i, from+i+len(text)
			opens := start == 0 || !isWord(literal[start-1]) || !isWord(text[0])
			closes := end == len(literal) || !isWord(literal[end]) || !isWord(text[len(text)-1])
			if opens && closes {
				return true
			}
			from = start + 1
		}
	}
	return false
}

// A name that other programs read must not follow a rename of Go code.
func TestNamesOfThePageStandInTheSources(t *testing.T) {
	lines := readPage(t)
	assert.Assert(t, len(lines) > 100, "the page lists %d folders", len(lines))
	for _, line := range lines {
		sources := readSources(t, line.folder)
		assert.Assert(t, len(sources.identifiers) > 0, "%s: %s has no Go sources", line.section, line.folder)
		for _, name := range line.names {
			found := sources.hasText(name)
			if fieldSections[line.section] {
				found = sources.identifiers[name]
			}
			if !found {
				t.Errorf("%s: %s is not in the sources of %s", line.section, name, line.folder)
			}
		}
	}
}
