package flowrig

import (
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// The rig itself: what a node writes is what a client reads, by hash, and a cut answer is told apart.
func TestAClientTellsAWholeAnswerFromACutOne(t *testing.T) {
	stock := new(Stock)
	n, err := NewNode(func(x *Exchange) {
		if x.Request.Header.Get("X-Request-Id") != "cut" {
			stock.Serve(x)
			return
		}
		x.Say("HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n")
		x.Write(Content(1, 999))
		x.Finish()
	})
	if err != nil {
		t.Fatal(err)
	}
	defer n.Close()
	c, err := Dial(n.Addr(), slowWindow)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.Deadline(20 * time.Second)
	for id, size := range []int{0, 1, 200_000} {
		c.Send(Ask{Path: Path("bulk", size, uint64(id)), ID: "whole", Class: "bulk", Wait: time.Second})
		a := c.Receive("GET")
		if a.Told() || a.Length != int64(size) || a.Sum != stock.Sum(size, uint64(id)) || n.Conns() != 1 {
			t.Errorf("%d bytes: %s on connection %d", size, a, n.Conns())
		}
		if size > 1 && a.Sum == stock.Sum(size, uint64(id)+1) {
			t.Error("two answers alike")
		}
	}
	c.Send(Ask{Path: "/", ID: "cut", Class: "bulk", Wait: time.Second})
	if a := c.Receive("GET"); !a.Told() || a.Status != http.StatusOK || a.Length != 999 {
		t.Errorf("a cut answer: %s", a)
	}
}

// The interval holds the true ratio of rounds that drift together, and says how sure it is.
func TestAPairedRatioLeavesTheDriftOut(t *testing.T) {
	a, b := []float64{1.2, 2.2, 4.6, 8.6}, []float64{1, 2, 4, 8}
	got := pairedRatio(a, b)
	if got.Ratio < 1.1 || got.Ratio > 1.2 || got.Low >= got.Ratio || got.High <= got.Ratio || got.Low < 1 {
		t.Errorf("%+v", got)
	}
	if s := spread([]float64{3, 1, 2, 10}); s != (Spread{2.5, 1, 10}) {
		t.Errorf("%+v", s)
	}
}

// A program that ends at once is not waited for, and what it said last is told.
func TestAProgramThatRefusesToStartIsNotWaitedFor(t *testing.T) {
	program := filepath.Join(t.TempDir(), "refuses")
	if err := os.WriteFile(program, []byte("#!/bin/sh\necho no such key >&2\nexit 1\n"), 0o700); err != nil {
		t.Fatal(err)
	}
	addr, err := FreeAddr()
	if err != nil {
		t.Fatal(err)
	}
	began := time.Now()
	_, err = StartConfigured(program, addr, []byte("{}"), nil, time.Minute)
	if err == nil || !strings.Contains(err.Error(), "no such key") || time.Since(began) > 30*time.Second {
		t.Errorf("after %v: %v", time.Since(began), err)
	}
}
