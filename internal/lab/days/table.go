package days

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
)

const (
	heading = "%-50s %-24s %6s %6s  %s\n"
	line    = "%-50s %-24s %6.3f %6.3f  %s\n"
	missing = "%-50s %-24s %6s %6s  not played: %s\n"
)

// WriteHeading writes the first line of the table of results.
func WriteHeading(to io.Writer) {
	fmt.Fprintf(to, heading, "day", "site", "score", "worth", "broken")
}

// WriteLine writes the line of one day.
func WriteLine(to io.Writer, day Day, site string, report Report) {
	fmt.Fprintf(to, line, day.Name, SiteName(site), report.Score, report.Worth, report.findings())
}

// WriteNotPlayed writes the line of a day that could not be played.
func WriteNotPlayed(to io.Writer, err NotPlayedError) {
	fmt.Fprintf(to, missing, err.Day, err.Site, "", "", err.Reason)
}

// findings lists the broken rules, the fault and the missed floors, or a dash.
func (r Report) findings() string {
	var words []string
	for _, rule := range slices.Sorted(maps.Keys(r.Broken)) {
		words = append(words, fmt.Sprintf("%s x%d", rule, r.Broken[rule]))
	}
	if r.Fault != nil {
		words = append(words, "fault: "+*r.Fault)
	}
	for _, short := range r.Short {
		words = append(words, fmt.Sprintf("below its floor: %v", short))
	}
	if len(words) == 0 {
		return "-"
	}
	return strings.Join(words, ", ")
}
