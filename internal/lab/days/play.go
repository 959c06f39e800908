package days

import (
	"context"
	"encoding/json"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// Player plays days with the program of a bench.
type Player struct {
	Program string   // path of the program
	Command []string // words before the site, usually "run"
	Jobs    int      // processor cores that it may use
	Folder  string   // for the files of days and reports; they stay there
}

// Report is what the program says about a day.
type Report struct {
	Score  float64        `json:"G"`
	Worth  float64        `json:"served"`
	Broken map[string]int `json:"breaks"` // rules, and how often they were broken
	Fault  *string        `json:"fault"`
	Short  []any          `json:"short"`  // floors of the gate that were missed
	Missed []any          `json:"missed"` // duties that were missed
}

// Passed says whether the day broke no rule, had no fault and reached the floors of the gate.
func (r Report) Passed() bool { return len(r.Broken) == 0 && r.Fault == nil && len(r.Short) == 0 }

// Play plays a day on a site.
func (p Player) Play(ctx context.Context, site string, day Day) (Report, error) {
	content, err := day.Encode()
	if err != nil {
		return Report{}, err
	}
	base := filepath.Join(p.Folder, SiteName(site)+"-"+day.Name)
	if err := os.WriteFile(base+".toml", content, 0o644); err != nil {
		return Report{}, errors.WithStack(err)
	}
	if err := os.Remove(base + ".json"); err != nil && !errors.Is(err, fs.ErrNotExist) { // of a day played before
		return Report{}, errors.WithStack(err)
	}
	output, err := exec.CommandContext(ctx, p.Program, p.arguments(site, day, base)...).CombinedOutput()
	if saveErr := os.WriteFile(base+".txt", output, 0o644); saveErr != nil {
		return Report{}, errors.WithStack(saveErr)
	}
	report, readErr := readReport(base + ".json")
	if readErr != nil && err != nil { // a day that breaks a rule ends with an error and has a report all the same
		return Report{}, errors.WithStack(NotPlayedError{Day: day.Name, Site: SiteName(site), Reason: lastLine(output), Err: err})
	}
	return report, readErr
}

func (p Player) arguments(site string, day Day, base string) []string {
	return append(append([]string{}, p.Command...), site, base+".toml",
		"--jobs", strconv.Itoa(p.Jobs), "--why", "Our day "+day.Name, "--report", base+".json")
}

// NotPlayedError says that the program ended without a report of the day, for example because the site has no quotas
// and the day has a trouble with them.
type NotPlayedError struct {
	Day, Site string
	Reason    string // last line that the program wrote
	Err       error  // how the program ended
}

func (e NotPlayedError) Error() string {
	return e.Day + " on " + e.Site + " was not played: " + e.Reason + " (" + e.Err.Error() + ")"
}

// Unwrap returns how the program ended.
func (e NotPlayedError) Unwrap() error { return e.Err }

func lastLine(output []byte) string {
	lines := strings.Split(strings.TrimSpace(string(output)), "\n")
	return lines[len(lines)-1]
}

func readReport(name string) (Report, error) {
	var report Report
	content, err := os.ReadFile(name)
	if err != nil {
		return report, errors.WithStack(err)
	}
	return report, errors.Wrap(json.Unmarshal(content, &report), name)
}

// SiteName is the name of a site file without its folder and ending.
func SiteName(site string) string {
	return strings.TrimSuffix(filepath.Base(site), filepath.Ext(site))
}
