package prefixcache

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestParseHeader(t *testing.T) {
	valid := []Block{{ID: 0x5c1e07a2, Tokens: 800}, {ID: 0x91bd3f06, Tokens: 410}, {ID: 0xe4402b7d, Tokens: 250}}
	cases := []struct {
		name  string
		value string
		want  []Block
	}{
		{"empty", "", nil},
		{"valid", "5c1e07a2:800,91bd3f06:410,e4402b7d:250", valid},
		{"spaces", " 5c1e07a2:800 , 91bd3f06:410,e4402b7d:250", valid},
		{"upper case", "5C1E07A2:800", valid[:1]},
		{"longest id", "ffffffffffffffff:1", []Block{{ID: 1<<64 - 1, Tokens: 1}}},
		{"id too long", "5c1e07a2:800,10000000000000000:1", valid[:1]},
		{"no tokens", "5c1e07a2:800,91bd3f06", valid[:1]},
		{"empty item", "5c1e07a2:800,,e4402b7d:250", valid[:1]},
		{"negative", "5c1e07a2:800,91bd3f06:-1", valid[:1]},
		{"too many tokens", "5c1e07a2:800,91bd3f06:9999999999", valid[:1]},
		{"garbage first", "x:1,5c1e07a2:800", []Block{}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { assert.DeepEqual(t, ParseHeader(c.value), c.want) })
	}
}

func TestParseHeaderIsBounded(t *testing.T) {
	assert.Equal(t, len(ParseHeader(strings.Repeat("a:1,", 10*maxBlocks))), maxBlocks)
}

func TestParseHeaderAcceptsAnyInput(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		for _, block := range ParseHeader(rapid.String().Draw(t, "value")) {
			assert.Assert(t, block.Tokens >= 0)
		}
	})
}

func TestSharedIsAllButTheLast(t *testing.T) {
	blocks := []Block{{1, 10}, {2, 20}, {3, 30}}
	assert.DeepEqual(t, SharedBlocks(blocks), blocks[:2])
	assert.Equal(t, len(SharedBlocks(blocks[:1])), 0)
	assert.Equal(t, len(SharedBlocks(nil)), 0)
	assert.Equal(t, TotalTokens(blocks), 60)
}
