package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/alecthomas/kong"

	"pewterrudder/internal/boxclient"
	"pewterrudder/internal/boxd/boxapi"
)

// scripts ask this program for each line what may come next, so that they never grow old. Where it has nothing to say
// the shell offers files.
var scripts = map[string]string{
	"bash": `_rudderctl() {
  local IFS=$'\n'
  COMPREPLY=($(compgen -W "$("${COMP_WORDS[0]}" complete -- "${COMP_WORDS[@]:1:COMP_CWORD}")" -- "${COMP_WORDS[COMP_CWORD]}"))
}
complete -o default -F _rudderctl rudderctl
`,
	"zsh": `#compdef rudderctl
_rudderctl() {
  local -a next
  next=("${(@f)$("${words[1]}" complete -- "${(@)words[2,CURRENT]}")}")
  [[ -n "${next[1]}" ]] && compadd -a next || _files
}
compdef _rudderctl rudderctl
`,
	"fish": `complete -c rudderctl -a '(rudderctl complete -- (commandline -opc)[2..] (commandline -ct))'
`,
}

type completionCommand struct {
	Shell string `arg:"" enum:"bash,zsh,fish" help:"One of ${enum}; as in: source <(rudderctl completion bash)"`
}

func (c *completionCommand) Run(s *session) error {
	_, err := fmt.Fprint(s.out, scripts[c.Shell])
	return err
}

type completeCommand struct {
	Words []string `arg:"" optional:""`
}

// completeMost is how long the shell's user waits for names from the box.
const completeMost = 300 * time.Millisecond

func (c *completeCommand) Run(s *session, k *kong.Kong) error {
	words := c.Words
	if len(words) > 0 && words[0] == "--" {
		words = words[1:]
	}
	ctx, cancel := context.WithTimeout(s.ctx, completeMost)
	defer cancel()
	socket := s.socket
	for i, w := range words {
		if v, ok := strings.CutPrefix(w, "--socket="); ok {
			socket = v
		} else if w == "--socket" && i+1 < len(words)-1 {
			socket = words[i+1]
		}
	}
	if there, err := os.Stat(socket); err == nil && there.IsDir() {
		socket = filepath.Join(socket, boxapi.SocketName)
	}
	box := boxclient.New(socket, completeMost)
	for _, w := range next(k.Model.Node, words, func(name string) []string { return live(ctx, box, name) }) {
		fmt.Fprintln(s.out, w)
	}
	return nil
}

// live gives the names that an argument may have now; a box that does not answer offers none.
func live(ctx context.Context, box *boxclient.Client, argument string) (out []string) {
	switch argument {
	case "node", "members":
		all, _, _ := box.Nodes(ctx)
		for _, n := range all {
			out = append(out, n.ID)
		}
	case "pool", "name":
		all, _, _ := box.Pools(ctx)
		for _, p := range all {
			out = append(out, p.Name)
		}
	case "id", "revision":
		w, _ := box.Wants(ctx)
		for _, one := range w.All {
			if argument == "revision" {
				out = append(out, fmt.Sprint(one.Revision))
			} else if one.Trial {
				out = append(out, one.ID)
			}
		}
	}
	return slices.Compact(out)
}

// next gives what the last of some words may become.
func next(node *kong.Node, words []string, live func(string) []string) (all []string) {
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
		if value.Enum != "" {
			offer(strings.Split(value.Enum, ",")...)
		} else {
			offer(live(value.Name)...)
		}
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
		if len(node.Positional) > 0 {
			p := node.Positional[min(args, len(node.Positional)-1)]
			switch {
			case args >= len(node.Positional) && !p.IsCumulative():
			case p.Enum != "":
				offer(strings.Split(p.Enum, ",")...)
			default:
				offer(live(p.Name)...)
			}
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
