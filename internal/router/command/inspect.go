package command

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/alecthomas/kingpin/v2"

	"pewterrudder/internal/router/protocol"
	"pewterrudder/internal/router/status"
)

// addInspection adds the commands that query running routers.
func addInspection(app *kingpin.Application, registered commands) {
	addQuery(app, registered, "status", "Print the status of routers.", protocol.PathStatus, printStatus)
	addQuery(app, registered, "members", "List the routers as a router sees them.", protocol.PathMembers, printMembers)
	addQuery(app, registered, "instances", "List the model instances as a router sees them.", protocol.PathInstances, printInstances)
	addVersion(app, registered)
}

// addQuery adds a command that queries each of the given routers and prints their responses.
func addQuery[T any](app *kingpin.Application, registered commands, name, help, path string, print func(io.Writer, T) error) {
	command := app.Command(name, help)
	control := command.Flag("control", "Comma-separated control addresses of routers; each is queried.").Required().String()
	raw := command.Flag("json", "Print the JSON responses unchanged.").Bool()
	registered[command.FullCommand()] = func(out io.Writer) error {
		if *raw {
			return queryEach(*control, path, func(response []byte) error { return printRaw(out, response) })
		}
		return queryEach(*control, path, func(response []byte) error {
			var value T
			if err := json.Unmarshal(response, &value); err != nil {
				return fmt.Errorf("decoding the response: %w", err)
			}
			return print(out, value)
		})
	}
}

// addVersion adds the command that prints the versions of this program and of running routers.
func addVersion(app *kingpin.Application, registered commands) {
	command := app.Command("version", "Print the version of this program, and of routers.")
	control := command.Flag("control", "Comma-separated control addresses of routers; each is queried.").String()
	registered[command.FullCommand()] = func(out io.Writer) error {
		fmt.Fprintln(out, "this program", status.Version())
		if *control == "" {
			return nil
		}
		return queryEach(*control, protocol.PathStatus, func(response []byte) error {
			var state status.Status
			if err := json.Unmarshal(response, &state); err != nil {
				return fmt.Errorf("decoding the response: %w", err)
			}
			_, err := fmt.Fprintln(out, state.Node, state.Version)
			return err
		})
	}
}

// queryEach queries each router once. The failure of one router does not prevent the others from being queried.
func queryEach(control, path string, handle func(response []byte) error) error {
	routers, err := newFleetClient(control, 0)
	if err != nil {
		return err
	}
	var failures []error
	for _, address := range routers.addresses {
		response, err := routers.callOne(address, call{method: http.MethodGet, path: path})
		if err == nil {
			err = handle(response)
		}
		failures = append(failures, err)
	}
	return errors.Join(failures...)
}

// printRaw prints the body of a response on its own line.
func printRaw(out io.Writer, response []byte) error {
	_, err := fmt.Fprintf(out, "%s\n", response)
	return err
}
