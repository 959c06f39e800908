// Command simhost answers the simulator's wire on standard input and output with instances of package brain.
package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/debug"

	"pewterrudder/internal/wire"
)

func main() {
	debug.SetGCPercent(400) // many instances in one process: trade memory for collector time
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}

func run(in io.Reader, out io.Writer) error {
	reader := bufio.NewReaderSize(in, 1<<20)
	host := wire.NewHost()
	var line, reply []byte
	for number := 1; ; number++ {
		var err error
		line, err = readLine(reader, line[:0])
		if len(line) == 0 && errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return fmt.Errorf("line %d: %w", number, err)
		}
		if len(bytes.TrimSpace(line)) == 0 {
			continue
		}
		if reply, err = answer(host, line, reply[:0]); err != nil {
			return fmt.Errorf("line %d: %w", number, err)
		}
		if _, err := out.Write(reply); err != nil {
			return err
		}
	}
}

// answer turns a panic of the decisions into the action that ends the day with its text.
func answer(host *wire.Host, line, reply []byte) (out []byte, err error) {
	defer func() {
		if p := recover(); p != nil {
			fmt.Fprintf(os.Stderr, "simhost: panic: %v\n%s", p, debug.Stack())
			out, err = wire.Die(reply[:0], host.Current(), fmt.Sprint(p)), nil
		}
	}()
	return host.Line(line, reply)
}

// readLine reads one line of any length into buf.
func readLine(r *bufio.Reader, buf []byte) ([]byte, error) {
	for {
		part, err := r.ReadSlice('\n')
		buf = append(buf, part...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return buf, err
		}
	}
}
