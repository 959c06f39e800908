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

// addSnapshots adds the commands that export the state of the register from a fleet and import it into one.
func addSnapshots(app *kingpin.Application, registered commands) {
	snapshot := app.Command("snapshot", "Print the newest state of the configuration register, in the format that restore accepts.")
	snapshotFlags := addFleetFlags(snapshot)
	registered[snapshot.FullCommand()] = snapshotFlags.snapshot

	restore := app.Command("restore", "Restore a snapshot on a fleet whose register is older.")
	restoreFlags := addFleetFlags(restore)
	file := restore.Arg("file", "File with the snapshot; - is the standard input.").Required().String()
	registered[restore.FullCommand()] = func(out io.Writer) error { return restoreFlags.restore(out, *file) }
}

// fleetFlags are the flags of a command that calls any router of a fleet.
type fleetFlags struct {
	control      *string
	retryTimeout *time.Duration
}

func addFleetFlags(command *kingpin.CmdClause) fleetFlags {
	return fleetFlags{
		control:      command.Flag("control", "Comma-separated control addresses of routers; any of them suffices.").Required().String(),
		retryTimeout: command.Flag("patience", "How long to retry a call that gets no clear answer.").Default(defaultRetryTimeout).Duration(),
	}
}

// snapshot prints the newest state of the register.
func (f fleetFlags) snapshot(out io.Writer) error {
	routers, err := newFleetClient(*f.control, *f.retryTimeout)
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

// restore sends a snapshot, and retries until it is acknowledged, refused or out of time.
func (f fleetFlags) restore(out io.Writer, file string) error {
	routers, err := newFleetClient(*f.control, *f.retryTimeout)
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
