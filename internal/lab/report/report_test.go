package report

import (
	"bytes"
	"encoding/csv"
	"encoding/json"
	"encoding/xml"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"reflect"
	"regexp"
	"strings"
	"testing"
	"time"

	"pewterrudder/internal/lab/result"
)

// day records twenty drawn seconds: policies differ in their latency and in what a fault from 8 to 12 s does to them.
func day(policy string, seed uint64, hurt float64) result.Record {
	rng := rand.New(rand.NewPCG(seed, 1))
	r := result.NewRecorder()
	for at := time.Duration(0); at < 20*time.Second; at += 20 * time.Millisecond {
		bad := at >= 8*time.Second && at < 12*time.Second
		took := time.Duration((10 + 30*rng.ExpFloat64()) * float64(time.Millisecond))
		r.Offered(at, 1)
		if bad && rng.Float64() < hurt {
			r.Ended(result.Refused, at, at+took, 0)
		} else {
			r.Ended(result.Served, at, at+took, 1)
		}
		for n := range 8 {
			load := 2 + math.Sin(at.Seconds()+float64(n))
			if bad && n == 3 {
				load *= 3
			}
			r.Load(fmt.Sprintf("node-%d", n), at, load)
		}
		k := 1
		if bad {
			k = 4
		}
		if at < 15*time.Second || at > 16*time.Second { // nobody looked for a while
			r.Choices(at, k, bad)
		}
	}
	r.Fault("slow by 4", "node-3", 8*time.Second, 12*time.Second)
	return r.Record(result.Run{Scenario: "slow <nodes>", Policy: policy, On: "virtual", Seed: seed, Digest: "00ff",
		Speedup: 512})
}

func days() (all []result.Record) {
	for seed := range uint64(5) {
		all = append(all, day("random", seed, 0.6), day("ours", seed, 0.2))
	}
	all = append(all, result.Record{Run: result.Run{Scenario: "slow <nodes>", Policy: "ours", On: "virtual", Seed: 9,
		Void: true, Why: "the lab ran 80 ms late"}})
	return all
}

func page(t *testing.T, records []result.Record) string {
	var b bytes.Buffer
	if err := HTML(&b, "A day", records); err != nil {
		t.Fatal(err)
	}
	return b.String()
}

func TestThePageStandsAlone(t *testing.T) {
	text := page(t, days())
	// Whatever a browser would load has to be within the page.
	loads := regexp.MustCompile(`(?i)(?:src|href|url|@import)\s*[=(]\s*["']?([^"')\s>]+)`)
	for _, m := range loads.FindAllStringSubmatch(text, -1) {
		if !strings.HasPrefix(m[1], "data:") && !strings.HasPrefix(m[1], "#") {
			t.Errorf("the page asks for %s", m[1])
		}
	}
	if strings.Contains(text, "<script") || strings.Contains(text, "<nodes>") {
		t.Error("a name of a scenario, or a script, stands bare in the page")
	}
	plots := regexp.MustCompile(`(?s)<svg.*?</svg>`).FindAllString(text, -1)
	if len(plots) != 6 { // latencies, goodput, and for each policy loads and K
		t.Errorf("%d plots, want 6", len(plots))
	}
	for i, p := range plots {
		for d := xml.NewDecoder(strings.NewReader(p)); ; {
			if _, err := d.Token(); err == io.EOF {
				break
			} else if err != nil {
				t.Fatalf("plot %d: %v", i, err)
			}
		}
		if strings.Contains(p, "NaN") || strings.Contains(p, "Inf") {
			t.Errorf("plot %d holds a place that is none", i)
		}
	}
	if !strings.Contains(plots[1], ">A</text>") {
		t.Error("the fault has no letter in the plot of goodput")
	}
	for _, want := range []string{"<th>ours</th><th>random</th>", "random, 5 pairs", "better by 0.0",
		"the lab ran 80 ms late",
		"<b>A</b> slow by 4 (node-3), 8.0 to 12.0 s"} {
		if !strings.Contains(text, want) {
			t.Errorf("the page lacks %q", want)
		}
	}
}

func TestAPageOfLittle(t *testing.T) {
	empty := result.NewRecorder().Record(result.Run{Scenario: "nothing", Policy: "ours", On: "virtual"})
	one := result.NewRecorder()
	one.Offered(0, 1)
	one.Ended(result.Lost, 0, time.Second, 0)
	one.Load("a", 0, 0)
	one.Choices(0, 1, false)
	for _, r := range []result.Record{empty, one.Record(result.Run{Scenario: "one", Policy: "ours", On: "virtual"})} {
		if text := page(t, []result.Record{r}); strings.Contains(text, "NaN") || !strings.Contains(text, "Goodput") {
			t.Errorf("%s: a page with NaN, or without goodput", r.Scenario)
		}
	}
	void := result.Record{Run: result.Run{Scenario: "v", Void: true, Why: "late"}}
	if text := page(t, []result.Record{void}); !strings.Contains(text, "No run that counts") {
		t.Error("a void run counted")
	}
}

func TestCSVHasTheNamesOfTheJSON(t *testing.T) {
	run := day("ours", 3, 0.2).Run
	run.Lost, run.Failed, run.Duplicated, run.DrainBreaks, run.ColdBreaks, run.Leaked = 11, 12, 13, 14, 15, 16
	run.PeakPressure, run.Void = 1.75, true
	run.HottestNode, run.MostConns, run.MostCalls, run.AfterAim, run.ColdShare = 17, 18, 19, 20, 0.25
	runs := []result.Run{run}
	var b, j bytes.Buffer
	if err := CSV(&b, runs); err != nil {
		t.Fatal(err)
	}
	if err := JSON(&j, runs); err != nil {
		t.Fatal(err)
	}
	lines, err := csv.NewReader(&b).ReadAll()
	if err != nil || len(lines) != 2 {
		t.Fatalf("%d lines, %v", len(lines), err)
	}
	var object map[string]any
	if err := json.Unmarshal(j.Bytes(), &object); err != nil {
		t.Fatal(err)
	}
	for i, name := range lines[0] {
		value := object[name]
		if parent, child, ok := strings.Cut(name, "."); ok {
			value = object[parent].(map[string]any)[child]
		}
		if got := fmt.Sprint(value); got != lines[1][i] {
			t.Errorf("%s: %q in CSV, %q in JSON", name, lines[1][i], got)
		}
	}
	for _, name := range lines[0] {
		delete(object, strings.SplitN(name, ".", 2)[0])
	}
	if len(object) > 0 {
		t.Errorf("CSV lacks %v", object)
	}
}

func TestWindowsCSV(t *testing.T) {
	r := day("ours", 3, 0.2)
	var b bytes.Buffer
	if err := WindowsCSV(&b, &r); err != nil {
		t.Fatal(err)
	}
	lines, err := csv.NewReader(&b).ReadAll()
	if err != nil || len(lines) != 1+200 {
		t.Fatalf("%d lines, %v", len(lines), err)
	}
	if got := strings.Join(lines[101][:2], " ") + " " + strings.Join(lines[101][7:], " "); got != "10.000 5 4.000 1.000" {
		t.Errorf("at 10 s: %s", got)
	}
}

func TestAFolderKeepsRecords(t *testing.T) {
	dir := t.TempDir() + "/out"
	want := day("ours", 3, 0.2)
	for _, r := range []result.Record{want, day("ours", 11, 0.2), day("greedy", 3, 0.2)} {
		if _, err := Save(dir, &r); err != nil {
			t.Fatal(err)
		}
	}
	got, err := Load(dir)
	if err != nil || len(got) != 3 || got[0].Policy != "greedy" || got[2].Seed != 11 {
		t.Fatalf("%d records, %v", len(got), err)
	}
	if got[1].Run != want.Run || !reflect.DeepEqual(got[1].Windows, want.Windows) ||
		got[1].Times.Latency() != want.Latency {
		t.Errorf("came back as %+v", got[1].Run)
	}
	if _, err := Load(t.TempDir()); err == nil {
		t.Error("an empty folder passed")
	}
}
