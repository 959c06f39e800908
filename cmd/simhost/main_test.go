package main

import (
	"bytes"
	"strings"
	"testing"
)

func TestRunAnswersEachLineUntilEOF(t *testing.T) {
	var out bytes.Buffer
	if err := run(strings.NewReader("{\"at_time_ms\":1,\"nodes\":[]}\n{\"at_time_ms\":2,\"nodes\":[]}\n"), &out); err != nil {
		t.Fatal(err)
	}
	if got := out.String(); got != "{\"nodes\":[]}\n{\"nodes\":[]}\n" {
		t.Errorf("%q", got)
	}
}

func TestRunReportsTheInvalidLineAndWritesNoPartialReply(t *testing.T) {
	var out bytes.Buffer
	err := run(strings.NewReader("{\"at_time_ms\":1,\"nodes\":[]}\n{\"at_time_ms\":2,\n"), &out)
	if err == nil || !strings.Contains(err.Error(), "line 2") {
		t.Errorf("error %v", err)
	}
	if got := out.String(); got != "{\"nodes\":[]}\n" {
		t.Errorf("%q", got)
	}
}
