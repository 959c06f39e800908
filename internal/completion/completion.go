// Package completion says how the words of a command line may go on, by the commands, flags and arguments that a kong parser knows. Both
// rudderctl and rudderlab offer it to shells.
package completion

import (
	"slices"
	"strings"

	"github.com/alecthomas/kong"
)

// Next lists in order what the last of some words may become. Values gives those of a flag or an argument that has no fixed list.
func Next(root *kong.Node, words []string, values func(name string) []string) []string {
	last := ""
	if n := len(words); n > 0 {
		last, words = words[n-1], words[:n-1]
	}
	at := position{node: root}
	for _, word := range words {
		at.pass(word)
	}
	offered := at.offer(last, values)
	offered = slices.DeleteFunc(offered, func(word string) bool { return !strings.HasPrefix(word, last) })
	slices.Sort(offered)
	return offered
}

// position is a place between two words of a command line.
type position struct {
	node      *kong.Node
	awaited   *kong.Flag // whose value comes next
	arguments int        // of the node that have passed
}

// pass goes on behind a word.
func (p *position) pass(word string) {
	if p.awaited != nil {
		p.awaited = nil
		return
	}
	if text, isFlag := strings.CutPrefix(word, "--"); isFlag {
		p.passFlag(text)
		return
	}
	if child := childOf(p.node, word); child != nil {
		p.node = child
		return
	}
	p.arguments++
}

func (p *position) passFlag(text string) {
	name, _, hasValue := strings.Cut(text, "=")
	if flag := flagOf(p.node, name); flag != nil && !hasValue && !flag.IsBool() {
		p.awaited = flag
	}
}

// offer lists what may stand here.
func (p *position) offer(last string, values func(name string) []string) []string {
	switch {
	case p.awaited != nil:
		return choices(p.awaited.Value, values)
	case strings.HasPrefix(last, "-"):
		return flagsOf(p.node)
	default:
		return append(commandsOf(p.node), p.offerArgument(values)...)
	}
}

func (p *position) offerArgument(values func(name string) []string) []string {
	arguments := p.node.Positional
	if len(arguments) == 0 {
		return nil
	}
	argument := arguments[min(p.arguments, len(arguments)-1)]
	if p.arguments >= len(arguments) && !argument.IsCumulative() {
		return nil
	}
	return choices(argument, values)
}

// choices are the values of a flag or an argument.
func choices(of *kong.Value, values func(name string) []string) []string {
	if of.Enum != "" {
		return strings.Split(of.Enum, ",")
	}
	return slices.Clone(values(of.Name))
}

func flagsOf(node *kong.Node) (names []string) {
	for _, group := range node.AllFlags(true) {
		for _, flag := range group {
			names = append(names, "--"+flag.Name)
		}
	}
	return names
}

func commandsOf(node *kong.Node) (names []string) {
	for _, child := range node.Children {
		if !child.Hidden {
			names = append(names, child.Name)
		}
	}
	return names
}

func flagOf(node *kong.Node, name string) *kong.Flag {
	for _, group := range node.AllFlags(false) {
		for _, flag := range group {
			if flag.Name == name {
				return flag
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
