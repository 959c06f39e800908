// Command simhost runs instances of package brain for the simulator, with its protocol on standard input and output.
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
	debug.SetGCPercent(400) // many instances in one process: trades memory for less garbage collection
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}

// run answers each line of in until its end.
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

// answer processes one line. A panic of the decision code becomes the reply that ends the simulation with its text.
func answer(host *wire.Host, line, reply []byte) (out []byte, err error) {
	defer func() {
		if p := recover(); p != nil {
			fmt.Fprintf(os.Stderr, "simhost: panic: %v\n%s", p, debug.Stack())
			out, err = wire.AppendDie(reply[:0], host.Current(), fmt.Sprint(p)), nil
		}
	}()
	return host.HandleLine(line, reply)
}

// readLine appends one line of any length to buf.
func readLine(r *bufio.Reader, buf []byte) ([]byte, error) {
	for {
		part, err := r.ReadSlice('\n')
		buf = append(buf, part...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return buf, err
		}
	}
}
