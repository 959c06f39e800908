package main

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// siteNames are those of the site in service, by its protocol; those of the others are read from their files.
var siteNames = []string{"lakeshore", "lookup", "booking", "harbor-dc", "ridge-dc", "north-shore", "harbor-ward", "east-bay", "pine-point",
	"skip-web", "std-1core"}

// Classes, tenants, zones and kinds come from the settings: no name of a site stands in a text of the daemon's sources, alone
// or as a word of it.
func TestNoSiteIsNamedInTheSources(t *testing.T) {
	names := slices.Clone(siteNames)
	files, err := filepath.Glob("../../deploy/sites/*/*.toml")
	if err != nil || len(files) < 2 {
		t.Fatal(files, err)
	}
	for _, path := range files {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		for _, m := range regexp.MustCompile(`(?m)^(?:name|zones) = (.*)$`).FindAllStringSubmatch(string(text), -1) {
			for _, q := range regexp.MustCompile(`"([^"]*)"`).FindAllStringSubmatch(m[1], -1) {
				names = append(names, q[1])
			}
		}
	}
	troubles := []string{"slow", "fast_errors", "pauses"} // the bench's own words, which no settings hold
	names = slices.DeleteFunc(names, func(n string) bool { return slices.Contains(troubles, n) })
	if len(names) < 30 {
		t.Fatalf("only %v", names)
	}
	list := exec.Command("go", "list", "-deps", "-f", "{{$d := .Dir}}{{range .GoFiles}}{{$.ImportPath}} {{$d}}/{{.}}\n{{end}}{{range .CgoFiles}}{{$.ImportPath}} {{$d}}/{{.}}\n{{end}}", "./cmd/pewterrudder")
	list.Dir = filepath.Join("..", "..")
	out, err := list.Output()
	if err != nil {
		t.Fatal(err)
	}
	looked := 0
	for _, line := range strings.Split(string(out), "\n") {
		of, path, _ := strings.Cut(line, " ")
		if !strings.HasPrefix(of, "pewterrudder/") {
			continue
		}
		looked++
		set := token.NewFileSet()
		file, err := parser.ParseFile(set, path, nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		ast.Inspect(file, func(n ast.Node) bool {
			if lit, ok := n.(*ast.BasicLit); ok && lit.Kind == token.STRING {
				text, _ := strconv.Unquote(lit.Value)
				if name := siteIn(text, names); name != "" {
					t.Errorf("%s: %q names %s", set.Position(lit.Pos()), text, name)
				}
			}
			return true
		})
	}
	if looked < 50 {
		t.Errorf("looked at %d files only", looked)
	}
	if siteIn("the class Lookup is", names) == "" || siteIn("q", names) == "" || siteIn("a queue", names) != "" {
		t.Error("it would find nothing, or anything")
	}
}

// named gives the name that a text is, or has as a word.
func siteIn(text string, names []string) string {
	words := strings.FieldsFunc(text, func(r rune) bool {
		return !strings.ContainsRune("-_.", r) && !('a' <= r|32 && r|32 <= 'z') && !('0' <= r && r <= '9')
	})
	for _, n := range names {
		if strings.EqualFold(text, n) || len(n) > 2 && slices.ContainsFunc(words, func(w string) bool { return strings.EqualFold(w, n) }) {
			return n
		}
	}
	return ""
}
