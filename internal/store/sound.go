package store

import (
	"bytes"
	"encoding/binary"
	"hash/fnv"
	"io"
	"os"
)

// bbolt trusts its file: a page that names itself as its child keeps it going round for ever, and a length that is wrong
// reads beyond the map. So before it sees the file, sound walks every page that bbolt would, by the format of its version
// 2 (go.etcd.io/bbolt/internal/common: page.go, meta.go, inode.go), in the machine's byte order.
const (
	pageHeader = 16 // id, flags, count, overflow
	element    = 16
	branchPage = 0x01
	leafPage   = 0x02
	metaPage   = 0x04
	freePage   = 0x10
	bucketFlag = 0x01
	boltMagic  = 0xED0CDAED
	deepest    = 16 // a page takes tens of keys: no file is that deep
)

var order = binary.NativeEndian

type walk struct {
	f    io.ReaderAt
	high uint64 // the first page number beyond the used ones
	seen []bool
}

func soundFile(path string) (heads int, err error) {
	f, err := os.Open(path)
	if err != nil {
		return 0, err
	}
	defer f.Close()
	info, err := f.Stat()
	if err != nil {
		return 0, err
	}
	return sound(f, info.Size())
}

// sound tells how many of the two heads are whole. One is enough, and right after a crash in the middle of a commit; but
// it may also be the newer one that has gone bad since, and then the last change has gone with it.
func sound(f io.ReaderAt, size int64) (heads int, err error) {
	if size < 4*pageSize {
		return 0, damaged("it is %d bytes long, which is too short", size)
	}
	var root, free, high, txid uint64
	for i := range int64(2) {
		p := make([]byte, pageSize)
		if _, err := f.ReadAt(p, i*pageSize); err != nil {
			return 0, err
		}
		m := p[pageHeader:]
		sum := fnv.New64a()
		sum.Write(m[:56])
		if order.Uint32(m) != boltMagic || order.Uint32(m[4:]) != 2 || order.Uint64(m[56:]) != sum.Sum64() {
			continue
		}
		if order.Uint32(m[8:]) != pageSize {
			return 0, damaged("its pages are of %d bytes", order.Uint32(m[8:]))
		}
		heads++
		if t := order.Uint64(m[48:]); heads == 1 || t > txid {
			txid = t
			root, free, high = order.Uint64(m[16:]), order.Uint64(m[32:]), order.Uint64(m[40:])
		}
	}
	if heads == 0 {
		return 0, damaged("neither of its two heads is whole")
	}
	if high > uint64(size)/pageSize {
		return 0, damaged("it has been cut off: %d pages of %d are there", size/pageSize, high)
	}
	w := &walk{f: f, high: high, seen: make([]bool, high)}
	if err := w.tree(root, 0); err != nil {
		return heads, err
	}
	return heads, w.free(free)
}

// page reads a page, which nothing else may lead to.
func (w *walk) page(id uint64) ([]byte, error) {
	if id < 2 || id >= w.high {
		return nil, damaged("a page %d is named, and there are %d", id, w.high)
	}
	p := make([]byte, pageSize)
	if _, err := w.f.ReadAt(p, int64(id)*pageSize); err != nil {
		return nil, err
	}
	if order.Uint64(p) != id {
		return nil, damaged("page %d calls itself %d", id, order.Uint64(p))
	}
	more := uint64(order.Uint32(p[12:]))
	if more >= w.high-id {
		return nil, damaged("page %d is longer than the file", id)
	}
	for i := id; i <= id+more; i++ {
		if w.seen[i] {
			return nil, damaged("page %d is used twice", i)
		}
		w.seen[i] = true
	}
	if more > 0 {
		p = make([]byte, (more+1)*pageSize)
		if _, err := w.f.ReadAt(p, int64(id)*pageSize); err != nil {
			return nil, err
		}
	}
	return p, nil
}

func (w *walk) tree(id uint64, depth int) error {
	if depth > deepest {
		return damaged("page %d lies too deep", id)
	}
	p, err := w.page(id)
	if err != nil {
		return err
	}
	return w.elements(id, p, depth)
}

// elements looks through a page, or through the small one that stands for a bucket inside another's.
func (w *walk) elements(id uint64, p []byte, depth int) error {
	flags, count := order.Uint16(p[8:]), int(order.Uint16(p[10:]))
	if flags != branchPage && flags != leafPage || flags == branchPage && count == 0 {
		return damaged("page %d is of no kind that belongs there", id)
	}
	if pageHeader+count*element > len(p) {
		return damaged("page %d has %d entries", id, count)
	}
	var before []byte
	for i := range count {
		at := uint64(pageHeader + i*element)
		e := p[at:]
		var from, klen, vlen uint64
		if flags == branchPage {
			from, klen = at+uint64(order.Uint32(e)), uint64(order.Uint32(e[4:]))
		} else {
			from, klen, vlen = at+uint64(order.Uint32(e[4:])), uint64(order.Uint32(e[8:])), uint64(order.Uint32(e[12:]))
		}
		if from < uint64(pageHeader+count*element) || from+klen+vlen > uint64(len(p)) {
			return damaged("entry %d of page %d lies outside it", i, id)
		}
		k, v := p[from:from+klen], p[from+klen:from+klen+vlen]
		if i > 0 && bytes.Compare(before, k) >= 0 {
			return damaged("entry %d of page %d is out of order", i, id)
		}
		before = k
		switch {
		case flags == branchPage:
			if err := w.tree(order.Uint64(e[8:]), depth+1); err != nil {
				return err
			}
		case order.Uint32(e)&bucketFlag == 0:
		case len(v) < 16:
			return damaged("entry %d of page %d is no bucket", i, id)
		case order.Uint64(v) != 0:
			if err := w.tree(order.Uint64(v), depth+1); err != nil {
				return err
			}
		case len(v) < 16+pageHeader || order.Uint16(v[16+8:]) != leafPage || depth > deepest:
			return damaged("entry %d of page %d is no bucket", i, id)
		default:
			if err := w.elements(id, v[16:], depth+1); err != nil {
				return err
			}
		}
	}
	return nil
}

// free looks whether a page that is in use is listed as free: the next commit would write over it.
func (w *walk) free(id uint64) error {
	p, err := w.page(id)
	if err != nil {
		return err
	}
	if order.Uint16(p[8:]) != freePage {
		return damaged("page %d is no list of free pages", id)
	}
	n, ids := uint64(order.Uint16(p[10:])), p[pageHeader:]
	if n == 0xFFFF { // the count did not fit and stands first
		n, ids = order.Uint64(ids), ids[8:]
	}
	if n > uint64(len(ids))/8 {
		return damaged("the list of free pages has %d", n)
	}
	for i := range n {
		id := order.Uint64(ids[8*i:])
		if id < 2 || id >= w.high || w.seen[id] {
			return damaged("page %d is in use and free", id)
		}
		w.seen[id] = true
	}
	return nil
}
