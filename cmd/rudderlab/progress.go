package main

import (
	"fmt"
	"os"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

const (
	barAfter = 2 * time.Second // what is over sooner needs no bar
	barEvery = 100 * time.Millisecond
	barWidth = 40
)

// bar shows on a terminal how far something is.
type bar struct {
	began, drawn time.Time
	on           bool
}

// newBar makes one; it stays silent where standard error is no terminal.
func newBar() *bar {
	_, err := unix.IoctlGetTermios(int(os.Stderr.Fd()), unix.TCGETS)
	return &bar{began: time.Now(), on: err == nil}
}

func (b *bar) show(share float64) {
	now := time.Now()
	if !b.on || now.Sub(b.began) < barAfter || now.Sub(b.drawn) < barEvery {
		return
	}
	b.drawn = now
	full := int(share * barWidth)
	left := ""
	if share > 0.01 {
		left = fmt.Sprintf(" %v left", time.Duration(float64(now.Sub(b.began))/share*(1-share)).Round(time.Second))
	}
	fmt.Fprintf(os.Stderr, "\r%s%s %3.0f %%%s \x1b[K", strings.Repeat("#", full), strings.Repeat(".", barWidth-full), 100*share, left)
}

// clear takes the bar away.
func (b *bar) clear() {
	if !b.drawn.IsZero() {
		fmt.Fprint(os.Stderr, "\r\x1b[K")
	}
}
