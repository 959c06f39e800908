package demo

import (
	"os"
	"sync"

	"golang.org/x/sys/unix"
)

// isTerminal says whether a file is one.
func isTerminal(f *os.File) bool {
	_, err := unix.IoctlGetTermios(int(f.Fd()), unix.TCGETS)
	return err == nil
}

// readKeys hands on each key as it is pressed. On a terminal it turns off the waiting for a whole line and the echo,
// and leaves signals as they are: Ctrl-C stays one. restore puts the terminal back as it was.
func readKeys(f *os.File) (keys <-chan byte, restore func()) {
	out := make(chan byte)
	done := make(chan struct{})
	restore = sync.OnceFunc(func() { close(done) })
	if old, err := unix.IoctlGetTermios(int(f.Fd()), unix.TCGETS); err == nil {
		raw := *old
		raw.Lflag &^= unix.ICANON | unix.ECHO
		raw.Cc[unix.VMIN], raw.Cc[unix.VTIME] = 1, 0
		if unix.IoctlSetTermios(int(f.Fd()), unix.TCSETS, &raw) == nil {
			restore = sync.OnceFunc(func() {
				close(done)
				unix.IoctlSetTermios(int(f.Fd()), unix.TCSETS, old)
			})
		}
	}
	go func() { // it ends with the program: a read of a terminal cannot be called off
		defer close(out)
		var b [1]byte
		for {
			if n, err := f.Read(b[:]); n == 0 || err != nil {
				return
			}
			select {
			case out <- b[0]:
			case <-done:
				return
			}
		}
	}()
	return out, restore
}
