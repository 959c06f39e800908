// Command rudderctl is the operator's hand on a box: it looks at one over its control socket, and changes what is wanted of
// it. This file is the table of its commands, one group to a file; what they ask and answer is the control service's. It
// must never change anything that nobody asked for: what takes a pool its last ready node, and what a file brings, is asked
// about first, and where nobody can be asked, refused.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"runtime/debug"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/charmbracelet/x/term"

	"pewterrudder/internal/boxclient"
	"pewterrudder/internal/boxd/boxapi"
	"pewterrudder/internal/control"
)

type commands struct {
	Socket string        `help:"The box's control socket." env:"RUDDER_SOCKET" default:"/var/lib/pewterrudder/control.sock"`
	JSON   bool          `help:"Print the answer as JSON."`
	Wait   time.Duration `help:"How long a lost answer is asked for again." default:"15s"`

	Status  statusCommand  `cmd:"" help:"Show the box at a glance, and what ends by itself."`
	Pools   poolsCommand   `cmd:"" help:"List the pools."`
	Nodes   nodesCommand   `cmd:"" help:"List the nodes, with what the roster and what operators say."`
	Why     whyCommand     `cmd:"" help:"Say why a node gets the work that it gets, or none."`
	Roster  rosterCommand  `cmd:"" help:"Show what discovery says, with its sources."`
	Peers   peersCommand   `cmd:"" help:"Show the other balancers, as this one believes of them."`
	Drain   drainCommand   `cmd:"" help:"Have a node get no new calls."`
	Restore restoreCommand `cmd:"" help:"Take back a drain."`
	Set     setCommand     `cmd:"" help:"Set a weight, a cap, a pool or a note."`
	Apply   applyCommand   `cmd:"" help:"Bring what is wanted to what a file says, as one change."`
	Diff    diffCommand    `cmd:"" help:"Show what apply would change. Ends with 1 if there is something."`
	History historyCommand `cmd:"" help:"List the changes, the latest last."`
	Undo    undoCommand    `cmd:"" help:"Take back a change that nothing later rests on."`
	Confirm confirmCommand `cmd:"" help:"Have a change on trial stay."`
	Watch   watchCommand   `cmd:"" help:"Print changes and log lines as they come."`
	Export  exportCommand  `cmd:"" help:"Print all that operators want, and its history, as JSON."`
	Import  importCommand  `cmd:"" help:"Bring what is wanted to what an export says."`
	Console consoleCommand `cmd:"" help:"The full screen. q leaves."`
	Version versionCommand `cmd:"" help:"Print the version of this program and of the box."`

	Completion completionCommand `cmd:"" help:"Print what makes a shell complete these commands."`
	Complete   completeCommand   `cmd:"" hidden:"" passthrough:"" help:"Print what may come next on a line."`
}

// Exit statuses, for scripts.
const (
	refused  = 1 // the box refused it, or diff found something
	misuse   = 2
	conflict = 3 // somebody else has changed it since
	noBox    = 4 // nobody answers: nothing was changed
	unsure   = 5 // no answer came: it may have been made. The same --id again makes it once
)

// session is what a command works with.
type session struct {
	ctx    context.Context
	box    *boxclient.Client
	socket string
	json   bool
	in     *os.File
	out    io.Writer
	say    io.Writer // questions, and what to do next
}

func (s *session) printJSON(v any) error {
	e := json.NewEncoder(s.out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// show prints an answer, as JSON or as the table that draw makes.
func (s *session) show(v any, draw func(io.Writer)) error {
	if s.json {
		return s.printJSON(v)
	}
	draw(s.out)
	return nil
}

// advised is an error with what to do next.
type advised struct {
	error
	next   string
	status int
}

func (a *advised) Unwrap() error { return a.error }

// told is a status without a text: all has been said.
type told int

func (t told) Error() string { return "" }

// confirmed asks for a y on the terminal.
func (s *session) confirmed(question string, yes bool) error {
	if yes {
		return nil
	}
	if !term.IsTerminal(s.in.Fd()) {
		return &advised{errors.New(question), "nobody can be asked here: --yes says yes", refused}
	}
	fmt.Fprintf(s.say, "%s [y/N] ", question)
	answer, err := line(s.in)
	if answer = strings.ToLower(strings.TrimSpace(answer)); err != nil || answer != "y" && answer != "yes" {
		return &advised{errors.New("left as it was"), "", refused}
	}
	return nil
}

// line reads one line and nothing after it: what was typed ahead belongs to the next question.
func line(in io.Reader) (string, error) {
	var b strings.Builder
	one := make([]byte, 1)
	for {
		if _, err := io.ReadFull(in, one); err != nil {
			return "", err
		}
		if one[0] == '\n' {
			return b.String(), nil
		}
		b.WriteByte(one[0])
	}
}

// explain gives an error its next step and its status.
func explain(err error) *advised {
	var a *advised
	var flaw *boxapi.Flaw
	var none *boxclient.NoBox
	var lost *boxclient.Lost
	switch {
	case errors.As(err, &a):
		return a
	case errors.As(err, &none):
		return &advised{err, "is the box running, and is this its socket? --socket names another", noBox}
	case errors.As(err, &lost):
		return &advised{err, `see "rudderctl status"`, unsure}
	case !errors.As(err, &flaw):
		return &advised{err, "", refused}
	}
	a = &advised{err, "", refused}
	switch flaw.Code {
	case boxapi.Conflict:
		a.status = conflict
		if c := flaw.Conflict; c != nil {
			by := c.Theirs.By
			if by == "" {
				by = "the box itself"
			}
			now := "it is as the roster has it"
			if c.Now != nil {
				now = fmt.Sprintf("it is: %s, by %s", c.Now.What, c.Now.By)
			}
			a.error = fmt.Errorf("%s was changed since you looked: %s at %s (%s); now %s", c.Key, by,
				c.Theirs.Wall.Local().Format(time.TimeOnly), &c.Theirs, now)
		}
		a.next = `look with "rudderctl history", then say it again if it is still wanted`
	case boxapi.NoStore:
		a.next = "calls go on; make room on the disk of the state folder, then say it again"
	case boxapi.Busy:
		a.next = "end another watch or console"
	case string(control.Late):
		a.next = `see "rudderctl history"; make the change again if it is still wanted`
	case string(control.Unknown):
		a.next = `"rudderctl history" has the revisions and ids`
	case string(control.IDUsed):
		a.next = "leave out --id, or take another"
	}
	return a
}

func newParser(c *commands) (*kong.Kong, error) {
	return kong.New(c, kong.Name("rudderctl"), kong.Description("The operator's hand on a pewterrudder box."),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true, NoExpandSubcommands: true}))
}

func main() { os.Exit(run(os.Args[1:], os.Stdin, os.Stdout, os.Stderr)) }

func run(args []string, in, out, say *os.File) int {
	var c commands
	k, err := newParser(&c)
	if err != nil {
		fmt.Fprintln(say, "rudderctl:", err)
		return misuse
	}
	parsed, err := k.Parse(args)
	if err != nil {
		fmt.Fprintln(say, "rudderctl:", err)
		fmt.Fprintln(say, `  try "rudderctl --help", or a command with --help`)
		return misuse
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if there, err := os.Stat(c.Socket); err == nil && there.IsDir() {
		c.Socket = filepath.Join(c.Socket, boxapi.SocketName) // the state folder says as much
	}
	s := &session{ctx: ctx, box: boxclient.New(c.Socket, c.Wait), socket: c.Socket, json: c.JSON, in: in, out: out, say: say}
	err = parsed.Run(s, k)
	var silent told
	switch {
	case err == nil:
		return 0
	case errors.As(err, &silent):
		return int(silent)
	}
	a := explain(err)
	fmt.Fprintln(say, "rudderctl:", a.error)
	if a.next != "" {
		fmt.Fprintln(say, "  "+a.next)
	}
	return a.status
}

type versionCommand struct{}

func (versionCommand) Run(s *session) error {
	v := struct {
		Rudderctl string `json:"rudderctl"`
		Box       string `json:"box,omitempty"`
	}{Rudderctl: version()}
	if st, err := s.box.Status(s.ctx); err == nil {
		v.Box = st.Version
	}
	return s.show(v, func(w io.Writer) {
		fmt.Fprintln(w, "rudderctl", v.Rudderctl)
		if v.Box != "" {
			fmt.Fprintln(w, "box      ", v.Box)
		}
	})
}

// version as the build knows it.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	v := info.Main.Version
	for _, set := range info.Settings {
		if set.Key == "vcs.revision" {
			v += " " + set.Value[:min(len(set.Value), 12)]
		}
	}
	return strings.TrimSpace(v + " " + info.GoVersion)
}
