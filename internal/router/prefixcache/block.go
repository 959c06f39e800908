// Package prefixcache estimates which blocks of a prompt an instance still holds in its prefix cache, from the requests
// that were sent to it. The package is pure: it reads no clock and does no I/O.
package prefixcache

import (
	"strconv"
	"strings"
)

// maxBlocks is the maximum number of blocks read from one header.
const maxBlocks = 64

// Block is a contiguous part of a prompt. The blocks of a prompt are listed from its start. The last one is unique to
// the request or to its session; the ones before it may be shared with other requests.
type Block struct {
	ID     uint64
	Tokens int
}

// ParseHeader parses the value of the prefix header: comma-separated items "ID:TOKENS" with the ID in hexadecimal. It
// stops at the first malformed item, because a cached block is of use only if all blocks before it are cached too, and
// after maxBlocks items.
func ParseHeader(value string) []Block {
	if value == "" {
		return nil
	}
	blocks := make([]Block, 0, min(maxBlocks, 1+strings.Count(value, ",")))
	for item := range strings.SplitSeq(value, ",") {
		block, ok := parseItem(strings.TrimSpace(item))
		if !ok || len(blocks) == maxBlocks {
			break
		}
		blocks = append(blocks, block)
	}
	return blocks
}

func parseItem(item string) (Block, bool) {
	hexID, count, found := strings.Cut(item, ":")
	if !found {
		return Block{}, false
	}
	id, err := strconv.ParseUint(hexID, 16, 64)
	if err != nil {
		return Block{}, false
	}
	tokens, err := strconv.ParseUint(count, 10, 31)
	if err != nil {
		return Block{}, false
	}
	return Block{ID: id, Tokens: int(tokens)}, true
}

// SharedBlocks returns the blocks that other requests may have as well: all but the last one.
func SharedBlocks(blocks []Block) []Block {
	if len(blocks) == 0 {
		return nil
	}
	return blocks[:len(blocks)-1]
}

// TotalTokens returns the total number of tokens in the blocks.
func TotalTokens(blocks []Block) int {
	sum := 0
	for _, block := range blocks {
		sum += block.Tokens
	}
	return sum
}
