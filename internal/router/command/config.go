package command

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"pewterrudder/internal/router/protocol"
)

const (
	// defaultRetryTimeout is the default time for which calls about the configuration are retried.
	defaultRetryTimeout = "10s"
	// standardInput is the file name that means the standard input.
	standardInput = "-"
)

// addConfiguration adds the commands that read and change the fleet's configuration.
func addConfiguration(app *kingpin.Application, registered commands) {
	config := app.Command("config", "Read or change the configuration of the fleet.")
	control := config.Flag("control", "Comma-separated control addresses of routers; any of them suffices.").Required().String()
	retryTimeout := config.Flag("patience", "How long to retry a call that gets no clear answer.").Default(defaultRetryTimeout).Duration()

	get := config.Command("get", "Print the newest configuration.")
	registered[get.FullCommand()] = func(out io.Writer) error { return getConfiguration(out, *control, *retryTimeout) }
	addChange(config, registered, change{
		name: "put", help: "Put a whole configuration in force.", path: protocol.PathConfigPut, control: control, retryTimeout: retryTimeout,
	})
	addChange(config, registered, change{
		name: "patch", help: "Change named items of the configuration.", path: protocol.PathConfigPatch, control: control, retryTimeout: retryTimeout,
	})
}

// change describes a command that changes the configuration.
type change struct {
	name, help, path string
	control          *string
	retryTimeout     *time.Duration
}

// addChange adds a command that changes the configuration.
func addChange(config *kingpin.CmdClause, registered commands, c change) {
	command := config.Command(c.name, c.help)
	base := command.Flag("base", "Generation that the change builds on; 0 for the first configuration.").Default("0").Int64()
	file := command.Arg("file", "File with the JSON body; - is the standard input.").Required().String()
	registered[command.FullCommand()] = func(out io.Writer) error { return c.send(out, *base, *file) }
}

// send sends the change to the fleet and prints the acknowledgement.
func (c *change) send(out io.Writer, base int64, file string) error {
	routers, err := newFleetClient(*c.control, *c.retryTimeout)
	if err != nil {
		return err
	}
	body, err := readFile(file)
	if err != nil {
		return err
	}
	if _, err := routers.call(call{method: http.MethodPost, path: c.path, base: &base, body: body}); err != nil {
		return errors.Wrap(err, "config "+c.name)
	}
	_, err = fmt.Fprintln(out, "acknowledged")
	return err
}

// getConfiguration prints the newest configuration as the router returns it.
func getConfiguration(out io.Writer, control string, retryTimeout time.Duration) error {
	routers, err := newFleetClient(control, retryTimeout)
	if err != nil {
		return err
	}
	text, err := routers.call(call{method: http.MethodGet, path: protocol.PathConfigGet})
	if err != nil {
		return errors.Wrap(err, "config get")
	}
	_, err = fmt.Fprintf(out, "%s\n", text)
	return err
}

// readFile reads a whole file or the standard input.
func readFile(name string) ([]byte, error) {
	if name == standardInput {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(name)
}
