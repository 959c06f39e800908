package wire

import (
	"strings"
	"testing"
)

const settings = `{"balancers":2,"zone":"a","discovery":"push","weights":"nominal","worth_by":"request","extra":1,
"categories":[{"name":"read","semantics":"safe","aim_ms":500,"deadline_ms":1000,"importance":1,"later":7}],
"limits":{"cancel":true,"probing":true,"second_copies":true,"max_attempts":3},
"rules":{"cold_from":0.3,"cold_ms":8000,"overload_factor":3,"fall_ms":1000,"grace_to_answer_ms":20},
"stats":{"how":"inline","columns":["outstanding","novelty"]}}`

func start(conf string) string {
	return `{"at_time_ms":1000,"nodes":[{"i":4,"items":[{"start":{"prng":5,"conf":` + strings.ReplaceAll(conf, "\n", "") +
		`}},{"view":{"scope":"Persisted","members_list":[{"server":"10.0.0.1:80","az":"a","heft":1,"readiness":"Ready","shade":2}]}}]}]}`
}

func TestRequestIsSentAndItsOutcomeIsHandled(t *testing.T) {
	h := NewHost()
	out, err := h.HandleLine([]byte(start(settings)), nil)
	if err != nil || string(out) != "{\"nodes\":[]}\n" {
		t.Fatalf("%s %v", out, err)
	}
	out, err = h.HandleLine([]byte(`{"at_time_ms":1001.25,"nodes":[{"i":4,"items":[{"inbound":{"op_id":"00ab","tier_class":"read",`+
		`"client_deadline_ms":1900.5,"hue":3}}]}]}`), nil)
	if err != nil || !strings.Contains(string(out), `{"deliver":{"op_id":"00ab","server":"10.0.0.1:80"}}`) {
		t.Fatalf("%s %v", out, err)
	}
	out, err = h.HandleLine([]byte(`{"at_time_ms":1003,"nodes":[{"i":4,"items":[{"attempt_end":{"op_id":"00ab","round_no":0,`+
		`"ending":"shed","server":"10.0.0.1:80","cost_time_ms":1.5}}]}]}`), nil)
	if err != nil || !strings.Contains(string(out), `{"push_back":{"op_id":"00ab"`) {
		t.Fatalf("%s %v", out, err)
	}
}

func TestEmptyBatchGetsAnEmptyReply(t *testing.T) {
	out, err := NewHost().HandleLine([]byte(`{"at_time_ms":8412.25,"nodes":[]}`), nil)
	if err != nil || string(out) != "{\"nodes\":[]}\n" {
		t.Fatalf("%s %v", out, err)
	}
}

func TestErrorsNameTheInvalidInput(t *testing.T) {
	for _, c := range []struct{ line, want string }{
		{`{"at_time_ms":`, "batch"},
		{`{"nodes":[]}`, "at_time_ms is missing"},
		{`{"at_time_ms":1,"nodes":[{"items":[]}]}`, "nodes[0]: i is missing"},
		{`{"at_time_ms":1,"nodes":[{"i":1,"items":[{"lapsed":{"op_id":"a"}}]}]}`, "not started"},
		{start(strings.Replace(settings, `"rules"`, `"rulez"`, 1)), "rules is missing"},
		{start(strings.Replace(settings, `"balancers":2`, `"balancers":0`, 1)), "balancers"},
		{start(strings.Replace(settings, `"safe"`, `"wild"`, 1)), "semantics"},
		{strings.Replace(start(settings), `"Ready"`, `"Sleepy"`, 1), "readiness"},
		{strings.Replace(start(settings), `"prng":5,`, ``, 1), "prng is missing"},
		{strings.Replace(start(settings), `"view"`, `"vista"`, 1), "unknown event"},
	} {
		if _, err := NewHost().HandleLine([]byte(c.line), nil); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%.60s: error %v, want one naming %q", c.line, err, c.want)
		}
	}
}

func TestCrashedInstancesAreDiscarded(t *testing.T) {
	h := NewHost()
	h.HandleLine([]byte(start(settings)), nil)
	if _, err := h.HandleLine([]byte(`{"at_time_ms":1002,"nodes":[{"i":4,"items":[{"crash_now":{}}]}]}`), nil); err != nil {
		t.Fatal(err)
	}
	if len(h.nodes) != 0 {
		t.Error("a crashed instance is still there")
	}
	if _, err := h.HandleLine([]byte(start(settings)), nil); err != nil {
		t.Fatal(err)
	}
}

func TestTextIsQuotedAsJSON(t *testing.T) {
	if got := string(appendText(nil, "a\"b\n")); got != `"a\"b\n"` {
		t.Error(got)
	}
	if got := string(AppendDie(nil, 3, "x")); got != "{\"nodes\":[{\"i\":3,\"cmds\":[{\"die\":{\"reason_text\":\"x\"}}]}]}\n" {
		t.Error(got)
	}
}
