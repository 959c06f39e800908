package command

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"pewterrudder/internal/router/protocol"
)

// addSnapshots adds the commands that take the register's state out of a fleet and put it into one.
func addSnapshots(app *kingpin.Application, known commands) {
	snapshot := app.Command("snapshot", "Print the newest state of the configuration register, for a file that restore takes.")
	take := addFleet(snapshot)
	known[snapshot.FullCommand()] = take.snapshot

	restore := app.Command("restore", "Put a snapshot in force, on a fleet whose register is behind it.")
	put := addFleet(restore)
	file := restore.Arg("file", "File with the snapshot; - is the standard input.").Required().String()
	known[restore.FullCommand()] = func(out io.Writer) error { return put.restore(out, *file) }
}

// fleetFlags are the flags of a command that calls any router of a fleet.
type fleetFlags struct {
	control  *string
	patience *time.Duration
}

func addFleet(command *kingpin.CmdClause) fleetFlags {
	return fleetFlags{
		control:  command.Flag("control", "Control addresses of routers, joined by commas; any of them will do.").Required().String(),
		patience: command.Flag("patience", "How long to repeat a call that gets no clear answer.").Default(defaultPatience).Duration(),
	}
}

// snapshot prints the newest state.
func (f fleetFlags) snapshot(out io.Writer) error {
	routers, err := newFleet(*f.control, *f.patience)
	if err != nil {
		return err
	}
	text, err := routers.call(call{method: http.MethodGet, path: protocol.PathSnapshot})
	if err != nil {
		return errors.Wrap(err, "snapshot")
	}
	_, err = fmt.Fprintf(out, "%s\n", text)
	return err
}

// restore sends a snapshot until it is acknowledged or refused.
func (f fleetFlags) restore(out io.Writer, file string) error {
	routers, err := newFleet(*f.control, *f.patience)
	if err != nil {
		return err
	}
	body, err := readFile(file)
	if err != nil {
		return err
	}
	if _, err := routers.call(call{method: http.MethodPost, path: protocol.PathRestore, body: body}); err != nil {
		return errors.Wrap(err, "restore")
	}
	_, err = fmt.Fprintln(out, "acknowledged")
	return err
}
