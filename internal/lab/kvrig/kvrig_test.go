package kvrig

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"testing"
	"time"

	"pewterrudder/internal/registry/kv"
	"pewterrudder/internal/roster"
)

// The test binary is a store where it is told to.
func init() {
	if os.Getenv("BE_A_STORE") != "" {
		if err := Serve(context.Background(), "127.0.0.1:0", time.Second, 200, 0.5, 1, os.Stdin, os.Stdout); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		os.Exit(0)
	}
}

type lines chan string

func (l lines) Said(whole bool, _ int64, entries []roster.Entry) {
	l <- fmt.Sprint(whole, len(entries))
}
func (l lines) Heard()      {}
func (l lines) Broke(error) {}

// A store that lines rule, followed by the client.
func TestAStoreByHand(t *testing.T) {
	t.Parallel()
	ctx, stop := context.WithCancel(context.Background())
	in, say := io.Pipe()
	hear, out := io.Pipe()
	ended := make(chan error, 1)
	go func() { ended <- Serve(ctx, "127.0.0.1:0", time.Second, 3, 0, 1, in, out) }()
	read := bufio.NewReader(hear)
	line, err := read.ReadString('\n')
	at, ok := strings.CutPrefix(strings.TrimSpace(line), ready)
	if err != nil || !ok {
		t.Fatalf("%q %v", line, err)
	}
	told := make(lines, 100)
	c, err := kv.New(kv.Settings{Endpoints: []string{at}, Prefix: Prefix, Started: func(ms float64) time.Duration {
		return time.Duration(ms * 1e6)
	}}, told)
	if err != nil {
		t.Fatal(err)
	}
	want := func(text string) {
		t.Helper()
		select {
		case got := <-told:
			if got != text {
				t.Errorf("%s, want %s", got, text)
			}
		case <-time.After(60 * time.Second):
			t.Fatalf("never %s", text)
		}
	}
	want("true 3")
	fmt.Fprintln(say, `put nodes/x {"id":"x","address":"a:1","state":"up"}`)
	want("false 1")
	fmt.Fprintln(say, "delete nodes/s-00001")
	want("false 1")
	fmt.Fprintln(say, "restart saved")
	want("true 3")
	fmt.Fprintln(say, "nonsense")
	if line, err = read.ReadString('\n'); err != nil || !strings.Contains(line, "cut-page") {
		t.Errorf("%q %v", line, err)
	}
	fmt.Fprintln(say, "wipe")
	want("true 0")
	c.Close()
	stop()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// The measurement counts what the store did, and what it took lies in order. How long is not judged here.
func TestMeasure(t *testing.T) {
	t.Setenv("BE_A_STORE", "1")
	f, err := Measure([]string{os.Args[0]}, 200, 0.5, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	if f.Changes == 0 || f.First <= 0 || f.Median <= 0 || f.P99 < f.Median || f.Most < f.P99*0.99 || f.Peak <= 0 || f.Base <= 0 || f.Broke != 0 {
		t.Errorf("%+v", f)
	}
}
