package summary

import (
	"bytes"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"pewterrudder/internal/router/resultcode"
)

func TestSinceReturnsIncreases(t *testing.T) {
	earlier := Counts{resultcode.NoRoute: 2, resultcode.QuotaExceeded: 7}
	now := Counts{resultcode.NoRoute: 2, resultcode.QuotaExceeded: 9, resultcode.NoInstance: 1}
	assert.DeepEqual(t, Diff(earlier, now), Counts{resultcode.QuotaExceeded: 2, resultcode.NoInstance: 1})
	assert.Equal(t, len(Diff(now, now)), 0)
}

func TestFormatOrdersByCode(t *testing.T) {
	assert.Equal(t, Format(Counts{1008: 1, 1001: 30, 1007: 2}), "1001:30 1007:2 1008:1")
}

func TestParseReadsWhatFormatWrites(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		drawn := rapid.MapOf(rapid.IntRange(0, 9999), rapid.Uint64Range(1, 1<<60)).Draw(t, "counts")
		counts := Counts{}
		for code, count := range drawn {
			counts[resultcode.Code(code)] = count
		}
		parsed, err := Parse(Format(counts))
		assert.NilError(t, err)
		assert.DeepEqual(t, parsed, counts)
	})
}

func TestParseRejectsMalformedText(t *testing.T) {
	for _, text := range []string{"1001", "1001:", ":3", "1001:-3", "a:3", "1001:3 x", "1001:3:4"} {
		_, err := Parse(text)
		assert.Assert(t, err != nil, text)
	}
}

// logLine returns a log line as a router writes it.
func logLine(node, message string, fields logrus.Fields) string {
	var text bytes.Buffer
	log := logrus.New()
	log.SetOutput(&text)
	log.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true})
	log.WithField(FieldNode, node).WithFields(fields).Info(message)
	return text.String()
}

func TestTotalsSumLogLines(t *testing.T) {
	log := logLine("edge 1", Message, logrus.Fields{FieldCodes: "1001:3 1007:5", FieldSucceeded: 40}) +
		"a panic or other text without fields\n" +
		logLine("edge 1", "ready", nil) +
		logLine("edge 1", "attempts failed", logrus.Fields{"error": `x="result codes" codes=1001:99`}) +
		logLine("edge 1", "other", logrus.Fields{"note": Message, FieldCodes: "1001:99"}) +
		logLine("edge-2", Message, logrus.Fields{FieldCodes: "1007:1", FieldSucceeded: 2}) +
		`time="2026-01-01T00:00:00Z" level=info msg="result codes" codes="1001:50 10` // truncated
	totals := NewTotals()
	assert.NilError(t, totals.Read(strings.NewReader(log)))
	assert.NilError(t, totals.Read(strings.NewReader(logLine("edge-2", Message, logrus.Fields{FieldCodes: "1001:1"}))))
	assert.Equal(t, totals.Lines, 3)
	assert.Equal(t, totals.Succeeded, uint64(42))
	assert.DeepEqual(t, totals.Codes, Counts{1001: 4, 1007: 6})
	assert.DeepEqual(t, totals.Nodes, map[string]Counts{"edge 1": {1001: 3, 1007: 5}, "edge-2": {1001: 1, 1007: 1}})
	assert.Equal(t, totals.Routers(1007), 2)
	assert.Equal(t, totals.Routers(1008), 0)
}

func TestLineLengthIsLimited(t *testing.T) {
	err := NewTotals().Read(strings.NewReader(strings.Repeat("x", maxLineBytes+1)))
	assert.ErrorContains(t, err, "too long")
}

func FuzzParseLine(f *testing.F) {
	f.Add(`msg="result codes" codes="1001:3" node=a`)
	f.Add(`msg="result codes`)
	f.Add(`=`)
	f.Add(`a="b"c="d"`)
	f.Fuzz(func(t *testing.T, line string) { parseLine(line) })
}
