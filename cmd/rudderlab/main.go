// Command rudderlab is the laboratory: it measures the balancer's program and plays its worlds. This file is the table
// of its commands, one group to a file; what they do is owned by the packages under internal/lab.
package main

import (
	"encoding/json"
	"io"
	"os"

	"github.com/alecthomas/kong"
)

var commands struct {
	Demo demoCommand `cmd:"" help:"The first minute: one balancer and a small site on this machine, live."`
	Flow flow        `cmd:"" help:"Measure answers that flow, on real processes."`
}

func main() {
	k := kong.Parse(&commands, kong.Name("rudderlab"), kong.Description("The laboratory of pewterrudder."),
		kong.UsageOnError())
	k.FatalIfErrorf(k.Run())
}

// shown is a result that people read as a table.
type shown interface{ Table(io.Writer) }

// show writes a result, as a table or as one JSON object.
func show(result shown, asJSON bool) error {
	if !asJSON {
		result.Table(os.Stdout)
		return nil
	}
	e := json.NewEncoder(os.Stdout)
	e.SetIndent("", "  ")
	return e.Encode(result)
}
