// Package command implements the command line of the router fleet: the command that runs a router, and commands that
// query a running fleet and change its configuration.
package command

import (
	"io"
	"os"

	"github.com/alecthomas/kingpin/v2"
)

// action executes a parsed command. Its error determines the exit status of the process.
type action func(out io.Writer) error

// commands maps full command names to their actions.
type commands map[string]action

// Names returns the top-level commands that this package implements.
func Names() []string {
	return []string{"router", "status", "members", "instances", "version", "config", "snapshot", "restore", "explain", "help"}
}

// Main runs a command of the router fleet and returns the exit status of the process.
func Main(arguments []string) int { return run(arguments, os.Stdout, os.Stderr) }

// run parses the arguments and executes the command.
func run(arguments []string, out, errorOut io.Writer) int {
	app := kingpin.New("pewterrudder", "A router fleet for a language model.")
	registered := commands{}
	addRouter(app, registered)
	addInspection(app, registered)
	addConfiguration(app, registered)
	addSnapshots(app, registered)
	addExplain(app, registered)
	name, err := app.Parse(arguments)
	if err != nil {
		return report(errorOut, &usageError{err})
	}
	return report(errorOut, registered[name](out))
}
