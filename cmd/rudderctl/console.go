package main

import (
	"context"
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
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	return console.Run(ctx, s.box, &endingInput{File: s.in, ended: cancel}, out, os.Environ())
}

// endingInput is a terminal's input that tells when it ends. A terminal that goes away ends it, and that is all that a program notices
// which was started with SIGHUP ignored, as nohup does.
type endingInput struct {
	*os.File
	ended func()
}

// Read implements io.Reader.
func (i *endingInput) Read(buffer []byte) (int, error) {
	n, err := i.File.Read(buffer)
	if err != nil {
		i.ended()
	}
	return n, err
}
