// Package report owns how results are shown: JSON, CSV, and one HTML page that needs nothing beside itself, with its
// plots as SVG within. It must never work out a result of its own (package result does), nor fetch anything: a page
// that is mailed or archived has to look the same in ten years.
package report

import (
	"encoding/csv"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"pewterrudder/internal/lab/result"
)

// JSON writes one object per run, each on a line.
func JSON(w io.Writer, runs []result.Run) error {
	out := json.NewEncoder(w)
	for i := range runs {
		if err := out.Encode(&runs[i]); err != nil {
			return err
		}
	}
	return nil
}

// CSV writes one line per run under a line of names, those of the JSON.
func CSV(w io.Writer, runs []result.Run) error {
	out := csv.NewWriter(w)
	out.Write(strings.Fields("scenario seed policy on digest offered served refused failed lost duplicated drain_breaks " +
		"cold_breaks leaked goodput latency_ms.p50 latency_ms.p90 latency_ms.p99 latency_ms.p999 latency_ms.max " +
		"peak_pressure hottest_node most_conns most_calls after_aim cold_share speedup void"))
	whole := func(n int64) string { return strconv.FormatInt(n, 10) }
	real := func(x float64) string { return strconv.FormatFloat(x, 'g', -1, 64) }
	for i := range runs {
		r := &runs[i]
		l := &r.Latency
		out.Write([]string{r.Scenario, strconv.FormatUint(r.Seed, 10), r.Policy, r.On, r.Digest, whole(r.Offered),
			whole(r.Served), whole(r.Refused), whole(r.Failed), whole(r.Lost), whole(r.Duplicated), whole(r.DrainBreaks),
			whole(r.ColdBreaks), whole(r.Leaked), real(r.Goodput), real(l.P50), real(l.P90), real(l.P99), real(l.P999),
			real(l.Max), real(r.PeakPressure), whole(r.HottestNode), whole(r.MostConns), whole(r.MostCalls),
			whole(r.AfterAim), real(r.ColdShare), real(r.Speedup), strconv.FormatBool(r.Void)})
	}
	out.Flush()
	return out.Error()
}

// WindowsCSV writes a record's windows, a line each.
func WindowsCSV(w io.Writer, r *result.Record) error {
	out := csv.NewWriter(w)
	out.Write(strings.Fields("from_s offered served refused failed lost goodput k bursts"))
	for i := range r.Windows {
		x := &r.Windows[i]
		line := []string{fmt.Sprintf("%.3f", float64(i)*r.Width)}
		for _, n := range []int64{x.Offered, x.Served, x.Refused, x.Failed, x.Lost} {
			line = append(line, strconv.FormatInt(n, 10))
		}
		goodput, k, bursts := "", "", "" // left empty where nothing was due, or nobody looked
		if g, ok := x.Goodput(); ok {
			goodput = fmt.Sprintf("%.4f", g)
		}
		if x.Looks > 0 {
			k = fmt.Sprintf("%.3f", x.K/float64(x.Looks))
			bursts = fmt.Sprintf("%.3f", float64(x.Bursts)/float64(x.Looks))
		}
		out.Write(append(line, goodput, k, bursts))
	}
	out.Flush()
	return out.Error()
}

// suffix marks the files of records in a folder.
const suffix = ".run.json"

// Save writes a record into a folder, under a name made of scenario, policy, mode and seed.
func Save(dir string, r *result.Record) (path string, err error) {
	safe := strings.NewReplacer("/", "_", "\\", "_", " ", "_")
	path = filepath.Join(dir, safe.Replace(fmt.Sprintf("%s.%s.%s.%d", r.Scenario, r.Policy, r.On, r.Seed))+suffix)
	text, err := json.Marshal(r)
	if err != nil {
		return path, err
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return path, err
	}
	return path, os.WriteFile(path, append(text, '\n'), 0o644)
}

// Load reads the records of a folder, in order of scenario, policy, mode and seed.
func Load(dir string) ([]result.Record, error) {
	paths, err := fs.Glob(os.DirFS(dir), "*"+suffix)
	if err != nil {
		return nil, err
	}
	if len(paths) == 0 {
		return nil, errors.New("report: no file *" + suffix + " in " + dir)
	}
	var records []result.Record
	for _, p := range paths {
		text, err := os.ReadFile(filepath.Join(dir, p))
		if err != nil {
			return nil, err
		}
		var r result.Record
		if err := json.Unmarshal(text, &r); err != nil {
			return nil, fmt.Errorf("report: %s: %w", p, err)
		}
		records = append(records, r)
	}
	slices.SortStableFunc(records, func(a, b result.Record) int {
		if c := strings.Compare(a.Scenario+"\x00"+a.Policy+"\x00"+a.On, b.Scenario+"\x00"+b.Policy+"\x00"+b.On); c != 0 {
			return c
		}
		return int(min(max(int64(a.Seed-b.Seed), -1), 1))
	})
	return records, nil
}
