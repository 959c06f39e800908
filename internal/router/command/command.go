// Package command is the command line of the router fleet: the router's process itself, and commands that look at a running
// fleet and change its configuration.
package command

import (
	"io"
	"os"

	"github.com/alecthomas/kingpin/v2"
)

// action is what a parsed command does. Its error gives the status of the process.
type action func(out io.Writer) error

// commands are the actions by the name of their command.
type commands map[string]action

// Names lists the commands that this package serves.
func Names() []string {
	return []string{"router", "status", "members", "instances", "version", "config", "snapshot", "restore", "explain", "help"}
}

// Main runs a command of the router fleet and returns the status of the process.
func Main(arguments []string) int { return run(arguments, os.Stdout, os.Stderr) }

// run parses the arguments and carries the command out.
func run(arguments []string, out, errorOut io.Writer) int {
	app := kingpin.New("pewterrudder", "A router fleet for a language model.")
	known := commands{}
	addRouter(app, known)
	addInspection(app, known)
	addConfiguration(app, known)
	addSnapshots(app, known)
	addExplain(app, known)
	name, err := app.Parse(arguments)
	if err != nil {
		return report(errorOut, &usageError{err})
	}
	return report(errorOut, known[name](out))
}
