package command

import (
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"pewterrudder/internal/router/resultcode"
	"pewterrudder/internal/router/summary"
)

// addExplain adds the command that sums up the result codes in the logs of routers.
func addExplain(app *kingpin.Application, registered commands) {
	command := app.Command("explain", "Sum up the result codes of requests from routers' logs.")
	files := command.Arg("file", "Log files; - is the standard input.").Required().Strings()
	registered[command.FullCommand()] = func(out io.Writer) error { return explain(out, *files) }
}

// explain reads the files and prints the totals with the meaning of each code.
func explain(out io.Writer, files []string) error {
	totals := summary.NewTotals()
	for _, file := range files {
		if err := addFile(totals, file); err != nil {
			return err
		}
	}
	return printTotals(out, totals)
}

// addFile adds the counts of one log file to the totals.
func addFile(totals *summary.Totals, name string) error {
	if name == standardInput {
		return totals.Read(os.Stdin)
	}
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	defer file.Close()
	return totals.Read(file)
}

// printTotals prints the totals as a table.
func printTotals(out io.Writer, totals *summary.Totals) error {
	if totals.Lines == 0 {
		_, err := fmt.Fprintln(out, "no line counts result codes")
		return err
	}
	fmt.Fprintf(out, "%d lines of %d routers; %d answers 2xx beside these:\n", totals.Lines, len(totals.Nodes), totals.Succeeded)
	table := newTable(out)
	fmt.Fprintln(table, "count\tcode\tname\tstatus\trouters\tmeaning")
	for _, code := range totals.Codes.Codes() {
		entry := describeCode(code)
		fmt.Fprintf(table, "%d\t%d\t%s\t%d\t%d\t%s\n",
			totals.Codes[code], int(code), entry.Name, entry.Status, totals.Routers(code), entry.Explanation)
	}
	return table.Flush()
}

// describeCode returns the description of a code, with a placeholder for a code that only another release knows.
func describeCode(code resultcode.Code) resultcode.Entry {
	if entry, found := resultcode.Lookup(code); found {
		return entry
	}
	return resultcode.Entry{Code: code, Name: "unknown", Explanation: "This release does not know the code."}
}
