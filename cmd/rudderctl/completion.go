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
	"pewterrudder/internal/completion"
)

type completionCommand struct {
	Shell string `arg:"" enum:"bash,zsh,fish" help:"One of ${enum}; as in: source <(rudderctl completion bash)"`
}

func (c *completionCommand) Run(s *session) error {
	_, err := fmt.Fprint(s.out, completion.Script(c.Shell, "rudderctl"))
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
	for _, w := range completion.Next(k.Model.Node, words, func(name string) []string { return live(ctx, box, name) }) {
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
