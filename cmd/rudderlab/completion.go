package main

import (
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/alecthomas/kong"

	"pewterrudder/internal/lab/policy"
	"pewterrudder/internal/lab/scenario"
)

// scripts ask this program for each line what may come next, so that they never grow old. Where it has nothing to say
// the shell offers files.
var scripts = map[string]string{
	"bash": `_rudderlab() {
  local IFS=$'\n'
  COMPREPLY=($(compgen -W "$("${COMP_WORDS[0]}" complete -- "${COMP_WORDS[@]:1:COMP_CWORD}")" -- "${COMP_WORDS[COMP_CWORD]}"))
}
complete -o default -F _rudderlab rudderlab
`,
	"zsh": `#compdef rudderlab
_rudderlab() {
  local -a next
  next=("${(@f)$("${words[1]}" complete -- "${(@)words[2,CURRENT]}")}")
  [[ -n "${next[1]}" ]] && compadd -a next || _files
}
compdef _rudderlab rudderlab
`,
	"fish": `complete -c rudderlab -a '(rudderlab complete -- (commandline -opc)[2..] (commandline -ct))'
`,
}

type completionCommand struct {
	Shell string `arg:"" enum:"bash,zsh,fish" help:"One of ${enum}; as in: source <(rudderlab completion bash)"`
}

func (c *completionCommand) Run() error {
	_, err := os.Stdout.WriteString(scripts[c.Shell])
	return err
}

type completeCommand struct {
	Words []string `arg:"" optional:""`
}

func (c *completeCommand) Run(k *kong.Kong) error {
	words := c.Words
	if len(words) > 0 && words[0] == "--" {
		words = words[1:]
	}
	for _, w := range next(k.Model.Node, words) {
		fmt.Println(w)
	}
	return nil
}

// next gives what the last of some words may become.
func next(node *kong.Node, words []string) (all []string) {
	last := ""
	if n := len(words); n > 0 {
		last, words = words[n-1], words[:n-1]
	}
	var value *kong.Flag // whose value comes next
	args := 0
	for _, w := range words {
		if value != nil {
			value = nil
			continue
		}
		if strings.HasPrefix(w, "--") {
			name, _, has := strings.Cut(w[2:], "=")
			if f := flagOf(node, name); f != nil && !has && !f.IsBool() {
				value = f
			}
			continue
		}
		if child := childOf(node, w); child != nil {
			node = child
		} else {
			args++
		}
	}
	offer := func(words ...string) {
		for _, w := range words {
			if strings.HasPrefix(w, last) {
				all = append(all, w)
			}
		}
	}
	switch {
	case value != nil:
		offer(valuesOf(value.Name, value.Enum)...)
	case strings.HasPrefix(last, "-"):
		for _, group := range node.AllFlags(true) {
			for _, f := range group {
				offer("--" + f.Name)
			}
		}
	default:
		for _, child := range node.Children {
			if !child.Hidden {
				offer(child.Name)
			}
		}
		if args < len(node.Positional) {
			p := node.Positional[args]
			offer(valuesOf(p.Name, p.Enum)...)
		}
	}
	slices.Sort(all)
	return all
}

func flagOf(node *kong.Node, name string) *kong.Flag {
	for _, group := range node.AllFlags(false) {
		for _, f := range group {
			if f.Name == name {
				return f
			}
		}
	}
	return nil
}

func childOf(node *kong.Node, name string) *kong.Node {
	for _, child := range node.Children {
		if child.Name == name {
			return child
		}
	}
	return nil
}

// valuesOf a flag or an argument.
func valuesOf(name, enum string) []string {
	switch {
	case enum != "":
		return strings.Split(enum, ",")
	case name == "scenario":
		return scenario.List()
	case name == "policy":
		return policy.Names()
	}
	return nil
}
