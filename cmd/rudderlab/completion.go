package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"pewterrudder/internal/completion"
	"pewterrudder/internal/lab/policy"
	"pewterrudder/internal/lab/scenario"
)

type completionCommand struct {
	Shell string `arg:"" enum:"bash,zsh,fish" help:"One of ${enum}; as in: source <(rudderlab completion bash)"`
}

func (c *completionCommand) Run() error {
	_, err := os.Stdout.WriteString(completion.Script(c.Shell, "rudderlab"))
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
	for _, w := range completion.Next(k.Model.Node, words, valuesOf) {
		fmt.Println(w)
	}
	return nil
}

// valuesOf a flag or an argument.
func valuesOf(name string) []string {
	switch {
	case name == "scenario":
		return scenario.List()
	case name == "policy":
		return policy.Names()
	}
	return nil
}
