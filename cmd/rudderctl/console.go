package main

import (
	"errors"
	"os"

	"github.com/charmbracelet/x/term"

	"pewterrudder/internal/console"
)

// screen shows the full screen, on a terminal alone.
func screen(s *session) error {
	out, ok := s.out.(*os.File)
	if !ok || !term.IsTerminal(out.Fd()) || !term.IsTerminal(s.in.Fd()) {
		return &advised{errors.New("the console needs a terminal"), `"rudderctl watch" and "rudderctl nodes" do without`, misuse}
	}
	return console.Run(s.ctx, s.box, s.in, out, os.Environ())
}
