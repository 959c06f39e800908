package config

import (
	"encoding/binary"
	"iter"
	"math"
)

// packed holds tenants one behind the other, each with the number of its shape, in blocks that need no copy to grow and can be
// given back one by one.
type packed [][]byte

// blockBytes is a four-hundredth of what 300,000 tenants take.
const blockBytes = 32 << 10

func (p *packed) add(t *Tenant, shape int) {
	need := 2*binary.MaxVarintLen64 + len(t.Name) + 16
	last := len(*p) - 1
	if last < 0 || cap((*p)[last])-len((*p)[last]) < need {
		*p, last = append(*p, make([]byte, 0, max(blockBytes, need))), last+1
	}
	b := binary.AppendUvarint((*p)[last], uint64(shape))
	b = binary.AppendUvarint(b, uint64(len(t.Name)))
	b = append(b, t.Name...)
	b = binary.LittleEndian.AppendUint64(b, math.Float64bits(t.Quota))
	(*p)[last] = binary.LittleEndian.AppendUint64(b, math.Float64bits(t.Share))
}

// record is a tenant that is held; its name is good for as long as the block is.
type record struct {
	name         []byte
	quota, share float64
	shape        int
}

// all gives what is held, in order.
func (p packed) all() iter.Seq[record] {
	return func(yield func(record) bool) {
		for _, b := range p {
			for len(b) > 0 {
				shape, n := binary.Uvarint(b)
				size, k := binary.Uvarint(b[n:])
				name, figures := b[n+k:][:size], b[n+k+int(size):]
				b = figures[16:]
				if !yield(record{name, math.Float64frombits(binary.LittleEndian.Uint64(figures)),
					math.Float64frombits(binary.LittleEndian.Uint64(figures[8:])), int(shape)}) {
					return
				}
			}
		}
	}
}
