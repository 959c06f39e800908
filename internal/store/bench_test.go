package store

import (
	"bufio"
	"encoding/binary"
	"errors"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"
)

// plainLog is the alternative to bbolt that the benchmarks compare: one file with a frame of length, checksum, revision and
// data for each record, synced after each batch, read completely at the start and truncated at the first incomplete frame.
// It lacks snapshots, a schema and the rest of this package, whose cost its figures therefore do not include.
type plainLog struct {
	f    *os.File
	last uint64
	buf  []byte
}

func openPlainLog(path string) (*plainLog, []Record, error) {
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, nil, err
	}
	l := &plainLog{f: f}
	var all []Record
	r, at, head := bufio.NewReaderSize(f, 1<<16), int64(0), make([]byte, 16)
	for {
		if _, err := io.ReadFull(r, head); err != nil {
			break
		}
		data := make([]byte, min(binary.BigEndian.Uint32(head), MaxRecord))
		if _, err := io.ReadFull(r, data); err != nil {
			break
		}
		if crc32.Update(crc32.Checksum(head[8:], castagnoli), castagnoli, data) != binary.BigEndian.Uint32(head[4:]) {
			break
		}
		l.last = binary.BigEndian.Uint64(head[8:])
		all = append(all, Record{l.last, data})
		at += 16 + int64(len(data))
	}
	_, err = f.Seek(at, io.SeekStart)
	return l, all, errors.Join(err, f.Truncate(at))
}

func (l *plainLog) append(records ...Record) error {
	l.buf = l.buf[:0]
	for _, r := range records {
		l.buf = binary.BigEndian.AppendUint32(l.buf, uint32(len(r.Data)))
		l.buf = binary.BigEndian.AppendUint32(l.buf, checksum(r))
		l.buf = append(append(l.buf, revisionKey(r.Revision)...), r.Data...)
	}
	if _, err := l.f.Write(l.buf); err != nil {
		return err
	}
	return syscall.Fdatasync(int(l.f.Fd()))
}

func reportQuantiles(b *testing.B, took []time.Duration) {
	slices.Sort(took)
	b.ReportMetric(float64(took[len(took)/2].Microseconds()), "µs-median")
	b.ReportMetric(float64(took[len(took)*99/100].Microseconds()), "µs-99%")
}

// Time of an append with its sync, after 10,000 records: go test ./internal/store -run - -bench Append -benchtime 5000x
func BenchmarkAppend(b *testing.B) {
	each := func(b *testing.B, write func(...Record) error) {
		var took []time.Duration
		for b.Loop() {
			rev := uint64(10_001 + len(took))
			r := sampleRecords(rev, rev)
			from := time.Now()
			must(b, write(r...))
			took = append(took, time.Since(from))
		}
		reportQuantiles(b, took)
	}
	b.Run("bbolt", func(b *testing.B) {
		s := openStore(b, b.TempDir(), Options{})
		must(b, s.Append(sampleRecords(1, 10_000)...))
		each(b, s.Append)
	})
	b.Run("log", func(b *testing.B) {
		l, _, err := openPlainLog(filepath.Join(b.TempDir(), "log"))
		must(b, err)
		defer l.f.Close()
		must(b, l.append(sampleRecords(1, 10_000)...))
		each(b, l.append)
	})
	b.Run("bbolt-64-at-once", func(b *testing.B) {
		s := openStore(b, b.TempDir(), Options{})
		must(b, s.Append(sampleRecords(1, 10_000)...))
		var mu sync.Mutex
		var took []time.Duration
		rev := s.Last()
		b.SetParallelism(64 / runtime.GOMAXPROCS(0))
		b.RunParallel(func(p *testing.PB) {
			for p.Next() {
				mu.Lock()
				rev++
				from, done := time.Now(), s.Queue(sampleRecords(rev, rev)...)
				mu.Unlock()
				if err := <-done; err != nil {
					b.Error(err)
				}
				mu.Lock()
				took = append(took, time.Since(from))
				mu.Unlock()
			}
		})
		reportQuantiles(b, took)
	})
}

// Time to open and load 10,000 records: go test ./internal/store -run - -bench Open
func BenchmarkOpen(b *testing.B) {
	b.Run("bbolt", func(b *testing.B) {
		dir := b.TempDir()
		s := openStore(b, dir, Options{})
		must(b, s.Append(sampleRecords(1, 10_000)...))
		must(b, s.Close())
		var took []time.Duration
		for b.Loop() {
			from := time.Now()
			s := openStore(b, dir, Options{})
			c := mustLoad(b, s)
			took = append(took, time.Since(from))
			if len(c.Records) != 10_000 {
				b.Fatal(len(c.Records))
			}
			must(b, s.Close())
		}
		reportQuantiles(b, took)
	})
	b.Run("log", func(b *testing.B) {
		path := filepath.Join(b.TempDir(), "log")
		l, _, err := openPlainLog(path)
		must(b, err)
		must(b, l.append(sampleRecords(1, 10_000)...))
		l.f.Close()
		var took []time.Duration
		for b.Loop() {
			from := time.Now()
			l, all, err := openPlainLog(path)
			took = append(took, time.Since(from))
			must(b, err)
			if len(all) != 10_000 {
				b.Fatal(len(all))
			}
			l.f.Close()
		}
		reportQuantiles(b, took)
	})
}

// Time to compact 10,000 records into a snapshot, keeping the newest 1,000.
func BenchmarkCompact(b *testing.B) {
	for b.Loop() {
		b.StopTimer()
		s := openStore(b, b.TempDir(), Options{})
		must(b, s.Append(sampleRecords(1, 10_000)...))
		b.StartTimer()
		must(b, s.Compact(Record{10_000, make([]byte, 100_000)}, 9_001))
	}
}
