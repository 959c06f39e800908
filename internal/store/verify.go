package store

import (
	"bytes"
	"encoding/binary"
	"hash/fnv"
	"io"
	"os"
)

// bbolt trusts its file: a page that lists itself as its child makes it loop forever, and a wrong length makes it read
// beyond its memory map. So before bbolt opens the file, verifyPages walks every page that bbolt would read, following file
// format version 2 (go.etcd.io/bbolt/internal/common: page.go, meta.go, inode.go) in the machine's byte order.
const (
	pageHeaderSize = 16 // id, flags, count, overflow
	elementSize    = 16
	branchPage     = 0x01
	leafPage       = 0x02
	metaPage       = 0x04
	freelistPage   = 0x10
	bucketFlag     = 0x01
	boltMagic      = 0xED0CDAED
	maxDepth       = 16 // a page holds tens of keys, so no valid tree is that deep
)

var byteOrder = binary.NativeEndian

// pageWalker walks the pages of a file and rejects any that is reached twice.
type pageWalker struct {
	f         io.ReaderAt
	highWater uint64 // first page number beyond the pages in use
	visited   []bool
}

func verifyFile(path string) (validMetas int, err error) {
	f, err := os.Open(path)
	if err != nil {
		return 0, err
	}
	defer f.Close()
	info, err := f.Stat()
	if err != nil {
		return 0, err
	}
	return verifyPages(f, info.Size())
}

// verifyPages checks the structure of the file and returns how many of its two meta pages are valid. One is enough, and is
// normal after a crash in the middle of a commit. But the newer one may also have been corrupted later; then the last
// change is lost.
func verifyPages(f io.ReaderAt, size int64) (validMetas int, err error) {
	if size < 4*pageSize {
		return 0, corruptf("it is %d bytes long, which is too short", size)
	}
	var root, freelist, highWater, txid uint64
	for i := range int64(2) {
		p := make([]byte, pageSize)
		if _, err := f.ReadAt(p, i*pageSize); err != nil {
			return 0, err
		}
		m := p[pageHeaderSize:]
		sum := fnv.New64a()
		sum.Write(m[:56])
		if byteOrder.Uint32(m) != boltMagic || byteOrder.Uint32(m[4:]) != 2 || byteOrder.Uint64(m[56:]) != sum.Sum64() {
			continue
		}
		if byteOrder.Uint32(m[8:]) != pageSize {
			return 0, corruptf("its page size is %d bytes", byteOrder.Uint32(m[8:]))
		}
		validMetas++
		if t := byteOrder.Uint64(m[48:]); validMetas == 1 || t > txid {
			txid = t
			root, freelist, highWater = byteOrder.Uint64(m[16:]), byteOrder.Uint64(m[32:]), byteOrder.Uint64(m[40:])
		}
	}
	if validMetas == 0 {
		return 0, corruptf("neither of its two meta pages is valid")
	}
	if highWater > uint64(size)/pageSize {
		return 0, corruptf("it is truncated: %d of %d pages are present", size/pageSize, highWater)
	}
	w := &pageWalker{f: f, highWater: highWater, visited: make([]bool, highWater)}
	if err := w.walkTree(root, 0); err != nil {
		return validMetas, err
	}
	return validMetas, w.checkFreelist(freelist)
}

// readPage reads a page with its overflow pages and marks them as visited.
func (w *pageWalker) readPage(id uint64) ([]byte, error) {
	if id < 2 || id >= w.highWater {
		return nil, corruptf("page %d is referenced, but the file has %d pages", id, w.highWater)
	}
	p := make([]byte, pageSize)
	if _, err := w.f.ReadAt(p, int64(id)*pageSize); err != nil {
		return nil, err
	}
	if byteOrder.Uint64(p) != id {
		return nil, corruptf("page %d has number %d in its header", id, byteOrder.Uint64(p))
	}
	overflow := uint64(byteOrder.Uint32(p[12:]))
	if overflow >= w.highWater-id {
		return nil, corruptf("page %d extends beyond the pages in use", id)
	}
	for i := id; i <= id+overflow; i++ {
		if w.visited[i] {
			return nil, corruptf("page %d is referenced twice", i)
		}
		w.visited[i] = true
	}
	if overflow > 0 {
		p = make([]byte, (overflow+1)*pageSize)
		if _, err := w.f.ReadAt(p, int64(id)*pageSize); err != nil {
			return nil, err
		}
	}
	return p, nil
}

func (w *pageWalker) walkTree(id uint64, depth int) error {
	if depth > maxDepth {
		return corruptf("page %d is nested too deeply", id)
	}
	p, err := w.readPage(id)
	if err != nil {
		return err
	}
	return w.walkElements(id, p, depth)
}

// walkElements checks the entries of a page, or of the inline page of a small bucket, and everything below them.
func (w *pageWalker) walkElements(id uint64, p []byte, depth int) error {
	flags, count := byteOrder.Uint16(p[8:]), int(byteOrder.Uint16(p[10:]))
	if flags != branchPage && flags != leafPage || flags == branchPage && count == 0 {
		return corruptf("page %d is not a valid branch or leaf page", id)
	}
	if pageHeaderSize+count*elementSize > len(p) {
		return corruptf("page %d is too small for its %d entries", id, count)
	}
	var prev []byte
	for i := range count {
		at := uint64(pageHeaderSize + i*elementSize)
		e := p[at:]
		var from, klen, vlen uint64
		if flags == branchPage {
			from, klen = at+uint64(byteOrder.Uint32(e)), uint64(byteOrder.Uint32(e[4:]))
		} else {
			from, klen, vlen = at+uint64(byteOrder.Uint32(e[4:])), uint64(byteOrder.Uint32(e[8:])), uint64(byteOrder.Uint32(e[12:]))
		}
		if from < uint64(pageHeaderSize+count*elementSize) || from+klen+vlen > uint64(len(p)) {
			return corruptf("entry %d of page %d extends beyond the page", i, id)
		}
		k, v := p[from:from+klen], p[from+klen:from+klen+vlen]
		if i > 0 && bytes.Compare(prev, k) >= 0 {
			return corruptf("entry %d of page %d is out of order", i, id)
		}
		prev = k
		switch {
		case flags == branchPage:
			if err := w.walkTree(byteOrder.Uint64(e[8:]), depth+1); err != nil {
				return err
			}
		case byteOrder.Uint32(e)&bucketFlag == 0:
		case len(v) < 16:
			return corruptf("entry %d of page %d is not a valid bucket", i, id)
		case byteOrder.Uint64(v) != 0:
			if err := w.walkTree(byteOrder.Uint64(v), depth+1); err != nil {
				return err
			}
		case len(v) < 16+pageHeaderSize || byteOrder.Uint16(v[16+8:]) != leafPage || depth > maxDepth:
			return corruptf("entry %d of page %d is not a valid bucket", i, id)
		default:
			if err := w.walkElements(id, v[16:], depth+1); err != nil {
				return err
			}
		}
	}
	return nil
}

// checkFreelist rejects a freelist that contains a page in use, since the next commit would overwrite that page.
func (w *pageWalker) checkFreelist(id uint64) error {
	p, err := w.readPage(id)
	if err != nil {
		return err
	}
	if byteOrder.Uint16(p[8:]) != freelistPage {
		return corruptf("page %d is not a freelist page", id)
	}
	n, ids := uint64(byteOrder.Uint16(p[10:])), p[pageHeaderSize:]
	if n == 0xFFFF { // the count did not fit into the header and is the first element
		n, ids = byteOrder.Uint64(ids), ids[8:]
	}
	if n > uint64(len(ids))/8 {
		return corruptf("the freelist page is too small for its %d entries", n)
	}
	for i := range n {
		id := byteOrder.Uint64(ids[8*i:])
		if id < 2 || id >= w.highWater || w.visited[id] {
			return corruptf("page %d is both in use and free", id)
		}
		w.visited[id] = true
	}
	return nil
}
