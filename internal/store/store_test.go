package store

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"reflect"
	"runtime"
	"slices"
	"strings"
	"syscall"
	"testing"

	"go.etcd.io/bbolt"
)

func openStore(t testing.TB, dir string, o Options) *Store {
	t.Helper()
	if o.Schema == 0 {
		o.Schema = 1
	}
	s, err := Open(dir, o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Close() })
	return s
}

func must(t testing.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func mustReject(t testing.TB, err error, text string) {
	t.Helper()
	var r *WriteError
	if !errors.As(err, &r) || r.Uncertain || !strings.Contains(err.Error(), text) {
		t.Fatalf("error %v, want a *WriteError with Uncertain unset and the text %q", err, text)
	}
}

func sampleRecords(from, to uint64) (all []Record) {
	for rev := from; rev <= to; rev++ {
		all = append(all, Record{rev, fmt.Appendf(nil, `{"kind":"drain","node":"n-%04d","by":"ada","text":%q}`, rev,
			strings.Repeat("x", int(rev%150)))})
	}
	return all
}

func mustLoad(t testing.TB, s *Store) Contents {
	t.Helper()
	c, err := s.Load()
	must(t, err)
	return c
}

func TestCompact(t *testing.T) {
	dir := t.TempDir()
	s := openStore(t, dir, Options{})
	must(t, s.Append(sampleRecords(1, 3000)...))
	before, _ := os.Stat(s.path())
	snapshot := Record{2990, []byte("state at 2990")}
	mustReject(t, s.Compact(Record{3001, nil}, 1), "the newest revision is 3000")
	mustReject(t, s.Compact(snapshot, 2992), "covers only those up to 2990")
	must(t, s.Compact(snapshot, 2981))
	mustReject(t, s.Compact(Record{2989, nil}, 1), "already has one of revision 2990")
	want := Contents{Schema: 1, Snapshot: &snapshot, Records: sampleRecords(2981, 3000)}
	if got := mustLoad(t, s); !reflect.DeepEqual(got, want) {
		t.Fatalf("%v", got)
	}
	if after, _ := os.Stat(s.path()); after.Size()*4 > before.Size() {
		t.Errorf("the file had %d bytes before the compaction and has %d after it", before.Size(), after.Size())
	}
	must(t, s.Append(sampleRecords(3001, 3001)...))
	must(t, s.Compact(Record{3001, []byte("all")}, 3002))
	must(t, s.Close())
	s = openStore(t, dir, Options{})
	if got := mustLoad(t, s); got.Records != nil || string(got.Snapshot.Data) != "all" || s.Last() != 3001 {
		t.Fatalf("%v", got)
	}
	mustReject(t, s.Append(sampleRecords(3001, 3001)...), "revision 3001 does not follow revision 3001")
	mustReject(t, s.Append(sampleRecords(3003, 3003)...), "revision 3003 does not follow revision 3001")
	must(t, s.Append(sampleRecords(3002, 3002)...))
}

// A slow reader, or one that appends while it reads, must not block appends.
func TestRecordsWhileAppending(t *testing.T) {
	s := openStore(t, t.TempDir(), Options{})
	must(t, s.Append(sampleRecords(1, 600)...))
	next, n := uint64(601), uint64(0)
	for r, err := range s.Records(1) {
		must(t, err)
		if n++; r.Revision != n {
			t.Fatalf("got revision %d, want %d", r.Revision, n)
		}
		if n%100 == 0 && next < 700 { // large enough that bbolt must grow its memory map
			must(t, s.Append(Record{next, make([]byte, 200_000)}))
			next++
		}
	}
	if n != next-1 {
		t.Errorf("read %d records of %d", n, next-1)
	}
	for r := range s.Records(590) {
		if r.Revision != 590 {
			t.Error(r.Revision)
		}
		break
	}
}

func lastTxID(t *testing.T, s *Store) (id int) {
	must(t, s.db.View(func(tx *bbolt.Tx) error { id = tx.ID(); return nil }))
	return id
}

func TestQueueSharesSyncs(t *testing.T) {
	s := openStore(t, t.TempDir(), Options{})
	before := lastTxID(t, s)
	s.writeMu.Lock() // as if the disk were slow
	answers := []<-chan error{s.Queue(sampleRecords(1, 1)...)}
	for taken := false; !taken; runtime.Gosched() {
		s.mu.Lock()
		taken = len(s.queue) == 0
		s.mu.Unlock()
	}
	for rev := uint64(2); rev <= MaxQueue+1; rev++ {
		answers = append(answers, s.Queue(sampleRecords(rev, rev)...))
	}
	mustReject(t, <-s.Queue(sampleRecords(MaxQueue+2, MaxQueue+2)...), fmt.Sprint(MaxQueue, " appends are already waiting"))
	s.writeMu.Unlock()
	for _, a := range answers {
		must(t, <-a)
	}
	if n := lastTxID(t, s) - before; n != 2 {
		t.Errorf("%d commits", n)
	}
	if got := mustLoad(t, s); len(got.Records) != MaxQueue+1 {
		t.Errorf("%d records", len(got.Records))
	}
}

func TestRejectedAppends(t *testing.T) {
	s := openStore(t, t.TempDir(), Options{})
	must(t, s.Append(sampleRecords(1, 2)...))
	mustReject(t, s.Append(sampleRecords(2, 2)...), "revision 2 does not follow revision 2")
	mustReject(t, s.Append(Record{3, nil}, Record{3, nil}), "revision 3 does not follow revision 3")
	mustReject(t, s.Append(Record{3, make([]byte, MaxRecord+1)}), "the limit is 1048576")
	must(t, s.Append())
	must(t, s.Append(sampleRecords(3, 3)...))
	must(t, s.Close())
	mustReject(t, s.Append(sampleRecords(4, 4)...), "closed")
	if _, err := s.Load(); err != ErrClosed {
		t.Error(err)
	}
	if err := s.Close(); err != ErrClosed {
		t.Error(err)
	}
}

// startChild starts this test binary in one of the roles of TestMain.
func startChild(t *testing.T, role, dir string, env ...string) (*exec.Cmd, *bufio.Scanner) {
	c := exec.Command(os.Args[0])
	c.Env = append(os.Environ(), append(env, "STORE_CHILD="+role, "STORE_DIR="+dir)...)
	c.Stderr = os.Stderr
	out, err := c.StdoutPipe()
	must(t, err)
	must(t, c.Start())
	return c, bufio.NewScanner(out)
}

func runHoldLock(dir string) {
	if _, err := Open(dir, Options{Schema: 1}); err != nil {
		panic(err)
	}
	fmt.Println("open")
	syscall.Pause()
}

func TestLock(t *testing.T) {
	dir := t.TempDir()
	c, lines := startChild(t, "hold", dir)
	lines.Scan()
	_, err := Open(dir, Options{Schema: 1})
	c.Process.Kill()
	c.Wait()
	var locked *LockedError
	if want := fmt.Sprintf("%s is in use by %s, process %d", dir, filepath.Base(os.Args[0]), c.Process.Pid); !errors.As(err, &locked) ||
		!strings.Contains(err.Error(), want) {
		t.Fatalf("error %v, want %q", err, want)
	}
	must(t, openStore(t, dir, Options{}).Append(sampleRecords(1, 1)...))
}

// A child is killed with SIGKILL at a random line of its output, and the next one continues from its folder.
func TestKilledProcess(t *testing.T) {
	dir, r, view := t.TempDir(), rand.New(rand.NewPCG(5, 5)), &clientView{}
	acknowledged := 0
	for round := range 25 {
		c, lines := startChild(t, "load", dir, fmt.Sprint("STORE_SEED=", round+1), "STORE_STEPS=200")
		for n := r.IntN(60); lines.Scan(); n-- {
			must(t, view.observe(lines.Text()))
			if strings.HasPrefix(lines.Text(), "yes") {
				acknowledged++
			}
			if n == 0 {
				must(t, c.Process.Signal(syscall.SIGKILL))
			} // the lines it wrote before it died can still be read
		}
		c.Wait()
	}
	s := openStore(t, dir, Options{})
	got, err := editsOf(mustLoad(t, s))
	must(t, err)
	must(t, view.check(got))
	if acknowledged < 100 {
		t.Errorf("only %d edits were acknowledged", acknowledged)
	}
}

// runFullDisk is a child process whose files are limited to 100 kB, so that writes fail as on a full disk; later the limit
// is lifted.
func runFullDisk(dir string) {
	signal.Ignore(syscall.SIGXFSZ)
	s, err := Open(dir, Options{Schema: 1})
	if err != nil {
		panic(err)
	}
	limit := func(n uint64) {
		l := syscall.Rlimit{Cur: n, Max: ^uint64(0)}
		if err := syscall.Setrlimit(syscall.RLIMIT_FSIZE, &l); err != nil {
			panic(err)
		}
	}
	limit(100_000)
	var writeErr *WriteError
	rev := uint64(1)
	for ; rev < 1000; rev++ {
		if err = s.Append(sampleRecords(rev, rev)...); err != nil {
			break
		}
	}
	if !errors.As(err, &writeErr) || writeErr.Uncertain {
		panic(fmt.Sprint(rev, err))
	}
	fmt.Println(err)
	if c, err := s.Load(); err != nil || c.Last() != rev-1 || !reflect.DeepEqual(c.Records, sampleRecords(1, rev-1)) {
		panic(fmt.Sprint("reading: ", c.Last(), err))
	}
	if err = s.Compact(Record{1, make([]byte, 200_000)}, 1); !errors.As(err, &writeErr) || writeErr.Uncertain {
		panic(err)
	}
	limit(^uint64(0))
	if err = errors.Join(s.Append(sampleRecords(rev, rev)...), s.Close()); err != nil {
		panic(err)
	}
	fmt.Println(rev)
}

func TestFullDisk(t *testing.T) {
	dir := t.TempDir()
	c, lines := startChild(t, "full", dir)
	lines.Scan()
	if !strings.Contains(lines.Text(), "nothing was changed") || !strings.Contains(lines.Text(), syscall.EFBIG.Error()) {
		t.Errorf("the child wrote %q", lines.Text())
	}
	lines.Scan()
	var last uint64
	fmt.Sscan(lines.Text(), &last)
	must(t, c.Wait())
	if got := mustLoad(t, openStore(t, dir, Options{})); last < 100 || !reflect.DeepEqual(got.Records, sampleRecords(1, last)) {
		t.Errorf("%d records, want all up to revision %d, which must be at least 100", len(got.Records), last)
	}
}

// A page that can no longer be read raises a memory fault in bbolt, which must not end the process.
func TestMapFault(t *testing.T) {
	dir := t.TempDir()
	s := openStore(t, dir, Options{})
	must(t, s.Append(sampleRecords(1, 2000)...))
	must(t, os.Truncate(s.path(), 3*pageSize))
	if _, err := s.Load(); err == nil {
		t.Error("reading a truncated file succeeded")
	}
	if err := s.Append(sampleRecords(2001, 2001)...); err == nil {
		t.Error("appending to a truncated file succeeded")
	}
	s.Close()
	if s = openStore(t, dir, Options{}); s.quarantinePath == "" {
		t.Error("the truncated file was not quarantined")
	}
}

func TestQuarantinesDamagedFile(t *testing.T) {
	whole := t.TempDir()
	s := openStore(t, whole, Options{})
	for rev := uint64(1); rev <= 40; rev++ {
		must(t, s.Append(sampleRecords(rev, rev)...))
	}
	must(t, s.Append(sampleRecords(41, 900)...))
	must(t, s.Compact(Record{30, bytes.Repeat([]byte("snapshot "), 2000)}, 20))
	must(t, s.Append(sampleRecords(901, 901)...))
	must(t, s.Append(Record{902, bytes.Repeat([]byte("long "), 3000)}))
	want := mustLoad(t, s)
	must(t, s.Close())
	file, err := os.ReadFile(s.path())
	must(t, err)
	r := rand.New(rand.NewPCG(9, 9))
	// Damage must be detected or harmless: the file is quarantined unchanged, or the contents are as before, or only the
	// last change is lost.
	rounds, quarantined, lostMetas := 1500, 0, 0
	for i := range rounds {
		b := slices.Clone(file)
		what := ""
		switch i % 5 {
		case 0, 1:
			at := r.IntN(len(b) * 8)
			b[at/8] ^= 1 << (at % 8)
			what = fmt.Sprint("bit ", at)
		case 2: // in a page header or its first entries, which refer to other pages
			at := r.IntN(len(b)/pageSize)*pageSize + r.IntN(96)
			b[at] = byte(r.Uint32())
			what = fmt.Sprint("byte ", at)
		case 3:
			from, to := r.IntN(len(b)/pageSize), r.IntN(len(b)/pageSize)
			copy(b[to*pageSize:(to+1)*pageSize], b[from*pageSize:(from+1)*pageSize])
			what = fmt.Sprint("page ", from, " over ", to)
		case 4:
			b = b[:r.IntN(len(b))]
			what = fmt.Sprint("cut at ", len(b))
		}
		dir := memoryDir(t)
		must(t, os.WriteFile(filepath.Join(dir, fileName), b, 0o600))
		var logged bytes.Buffer
		s, err := Open(dir, Options{Schema: 1, Log: slog.New(slog.NewTextHandler(&logged, nil))})
		if err != nil {
			t.Fatalf("%s: %v", what, err)
		}
		got := mustLoad(t, s)
		if name, why := s.Quarantined(); name != "" {
			quarantined++
			kept, err := os.ReadFile(name)
			must(t, err)
			unchanged := slices.Equal(kept, b)
			if !unchanged || got.Last() != 0 || !strings.Contains(logged.String(), "store_aside") ||
				!strings.Contains(logged.String(), filepath.Base(name)) {
				t.Fatalf("%s: quarantined (%v), newest revision %d; log: %s", what, why, got.Last(), logged.String())
			}
		} else if strings.Contains(logged.String(), "store_head_lost") && got.Last() == 901 {
			lostMetas++ // only the older of bbolt's two meta pages is valid
		} else if !reflect.DeepEqual(got, want) {
			t.Fatalf("%s: different contents, up to revision %d; log: %s", what, got.Last(), logged.String())
		}
		must(t, s.Append(sampleRecords(s.Last()+1, s.Last()+1)...))
		must(t, s.Close())
		os.RemoveAll(dir)
	}
	t.Logf("%d of %d quarantined, %d opened with the older meta page", quarantined, rounds, lostMetas)
	if quarantined < rounds/3 || lostMetas == 0 {
		t.Error("too few files were quarantined, or none lost a meta page")
	}
}

// Corruption that bbolt itself does not detect, or on which it loops forever.
func TestQuarantinesCorruptStructure(t *testing.T) {
	for what, corrupt := range map[string]func(db *bbolt.DB, file []byte){
		"found 899 records, expected 900": func(db *bbolt.DB, _ []byte) {
			must(t, db.Update(func(tx *bbolt.Tx) error { return tx.Bucket(bucketRecords).Delete(revisionKey(400)) }))
		},
		"is both in use and free": func(db *bbolt.DB, file []byte) {
			page := file[byteOrder.Uint64(newestMeta(file)[32:])*pageSize:]
			byteOrder.PutUint64(page[pageHeaderSize:], byteOrder.Uint64(newestMeta(file)[16:])) // the first free page is the root
		},
		"is referenced twice": func(db *bbolt.DB, file []byte) {
			for id := uint64(2); id < uint64(len(file)/pageSize); id++ {
				if p := file[id*pageSize:]; byteOrder.Uint16(p[8:]) == branchPage {
					byteOrder.PutUint64(p[pageHeaderSize+8:], id) // its own child
				}
			}
		},
	} {
		dir := t.TempDir()
		s := openStore(t, dir, Options{})
		must(t, s.Append(sampleRecords(1, 900)...))
		if what == "is both in use and free" { // there must be a free page
			must(t, s.Append(sampleRecords(901, 901)...))
		}
		must(t, s.Close())
		db, err := bbolt.Open(s.path(), 0o600, nil)
		must(t, err)
		before, err := os.ReadFile(s.path())
		must(t, err)
		file := slices.Clone(before)
		corrupt(db, file)
		must(t, db.Close())
		if !bytes.Equal(file, before) {
			must(t, os.WriteFile(s.path(), file, 0o600))
		}
		if _, why := openStore(t, dir, Options{}).Quarantined(); why == nil || !strings.Contains(why.Error(), what) {
			t.Errorf("reason %v, want %q", why, what)
		}
	}
}

// newestMeta returns the meta page that bbolt would use.
func newestMeta(file []byte) []byte {
	a, b := file[pageHeaderSize:], file[pageSize+pageHeaderSize:]
	if byteOrder.Uint64(a[48:]) > byteOrder.Uint64(b[48:]) {
		return a
	}
	return b
}

func TestMigrate(t *testing.T) {
	dir := t.TempDir()
	s := openStore(t, dir, Options{Schema: 1})
	must(t, s.Append(sampleRecords(1, 20)...))
	must(t, s.Compact(Record{10, []byte("ten")}, 5))
	must(t, s.Close())
	old, err := os.ReadFile(s.path())
	must(t, err)
	if _, err := Open(dir, Options{Schema: 3}); err == nil || !strings.Contains(err.Error(), "cannot migrate it to schema 3") {
		t.Fatal(err)
	}
	bad := func(uint64, Contents) (Contents, error) { return Contents{}, errors.New("revision 7 makes no sense") }
	if _, err := Open(dir, Options{Schema: 3, Migrate: bad}); err == nil || !strings.Contains(err.Error(), "revision 7 makes") {
		t.Fatal(err)
	}
	if b, _ := os.ReadFile(s.path()); !bytes.Equal(b, old) {
		t.Fatal("a failed migration changed the file")
	}
	calls := 0
	migrate := func(from uint64, c Contents) (Contents, error) {
		calls++
		for i := range c.Records {
			c.Records[i].Data = fmt.Appendf(nil, "%d: %s", from, c.Records[i].Data)
		}
		c.Snapshot.Data = append(c.Snapshot.Data, '!')
		return c, nil
	}
	for range 2 {
		s = openStore(t, dir, Options{Schema: 3, Migrate: migrate})
		got := mustLoad(t, s)
		if got.Schema != 3 || string(got.Snapshot.Data) != "ten!" || len(got.Records) != 16 ||
			!strings.HasPrefix(string(got.Records[0].Data), `1: {"kind"`) || s.Last() != 20 {
			t.Fatalf("%+v", got)
		}
		must(t, s.Close())
	}
	if calls != 1 {
		t.Errorf("%d calls of Migrate, want 1", calls)
	}
	if kept, _ := os.ReadFile(s.path() + ".schema-1"); !bytes.Equal(kept, old) {
		t.Error("the old file was not kept")
	}
	now, _ := os.ReadFile(s.path())
	var newer *NewerVersionError
	if _, err := Open(dir, Options{Schema: 2, Migrate: migrate}); !errors.As(err, &newer) || newer.Have != 3 || newer.Supported != 2 {
		t.Fatal(err)
	}
	if b, _ := os.ReadFile(s.path()); !bytes.Equal(b, now) {
		t.Error("an older program changed a newer file")
	}
}

func TestExportImport(t *testing.T) {
	s := openStore(t, t.TempDir(), Options{})
	must(t, s.Append(sampleRecords(1, 9)...))
	must(t, s.Append(Record{10, []byte("no JSON \x00\xff")}, Record{11, nil}, Record{12, []byte(`{"spaced": 1}`)},
		Record{13, []byte(`"<&>"`)}, Record{14, []byte(`1e400`)}))
	must(t, s.Compact(Record{8, []byte(`{"nodes":[]}`)}, 3))
	want := mustLoad(t, s)
	var doc bytes.Buffer
	must(t, s.Export(&doc))
	if !strings.Contains(doc.String(), `"node": "n-0005"`) {
		t.Error("a JSON record is not embedded as JSON in the document")
	}

	other := openStore(t, t.TempDir(), Options{Schema: 2, Migrate: func(from uint64, c Contents) (Contents, error) {
		if from != 1 {
			return c, fmt.Errorf("from %d", from)
		}
		return c, nil
	}})
	must(t, other.Import(bytes.NewReader(doc.Bytes()), false))
	want.Schema = 2
	if got := mustLoad(t, other); formatContents(got) != formatContents(want) {
		t.Errorf("%s\n%s", formatContents(got), formatContents(want))
	}
	mustReject(t, other.Import(bytes.NewReader(doc.Bytes()), false), "holds revisions up to 14")
	must(t, other.Append(sampleRecords(15, 15)...))
	must(t, other.Import(bytes.NewReader(doc.Bytes()), true))
	must(t, other.Append(sampleRecords(15, 15)...)) // the import discarded revision 15

	var newer bytes.Buffer
	must(t, other.Export(&newer))
	before := mustLoad(t, s)
	for name, d := range map[string]string{
		"supports none newer than 1":            newer.String(),
		"unexpected EOF":                        doc.String()[:doc.Len()/2],
		"unexpected data after its end":         doc.String() + "{}",
		"kind is":                               `{"kind":"shopping","schema":1,"records":[]}`,
		"schema is missing":                     `{"kind":"pewterrudder state","records":[]}`,
		"part of it is missing":                 `{"kind":"pewterrudder state","schema":1,"last":2,"records":[{"revision":1}]}`,
		"found revision 1 where 2 was expected": `{"kind":"pewterrudder state","schema":1,"last":1,"records":[{"revision":1},{"revision":1}]}`,
		"records[0] is null":                    `{"kind":"pewterrudder state","schema":1,"last":1,"records":[null]}`,
		"revision 1 has both data and byte":     `{"kind":"pewterrudder state","schema":1,"last":1,"records":[{"revision":1,"data":1,"bytes":"YQ=="}]}`,
		"end at revision 3, before the":         `{"kind":"pewterrudder state","schema":1,"last":4,"snapshot":{"revision":4},"records":[{"revision":3}]}`,
		"found revision 5 where 4 was expected": `{"kind":"pewterrudder state","schema":1,"last":5,"snapshot":{"revision":3},"records":[{"revision":5}]}`,
		"unknown field":                         `{"kind":"pewterrudder state","schema":1,"last":0,"recrods":[]}`,
	} {
		mustReject(t, s.Import(strings.NewReader(d), true), name)
	}
	if got := mustLoad(t, s); !reflect.DeepEqual(got, before) {
		t.Error("a rejected import changed the store")
	}
	must(t, s.Export(io.Discard))
}

// formatContents formats contents for comparison; nil and empty data are the same.
func formatContents(c Contents) string {
	all := fmt.Sprintf("schema %d", c.Schema)
	if c.Snapshot != nil {
		all += fmt.Sprintf(" snapshot %d %q", c.Snapshot.Revision, c.Snapshot.Data)
	}
	for _, r := range c.Records {
		all += fmt.Sprintf(" %d %q", r.Revision, r.Data)
	}
	return all
}

// Appends queued before an import depend on contents that the import discarded, so they must fail.
func TestImportRejectsQueuedAppends(t *testing.T) {
	s := openStore(t, t.TempDir(), Options{})
	must(t, s.Append(sampleRecords(1, 1)...))
	c, err := s.parseDocument(strings.NewReader(`{"kind":"pewterrudder state","schema":1,"last":1,"records":[{"revision":1,"data":7}]}`))
	must(t, err)
	s.writeMu.Lock()
	a := s.Queue(sampleRecords(2, 2)...)
	for range 100 { // the append may or may not be dequeued before the import
		runtime.Gosched()
	}
	b := s.Queue(sampleRecords(3, 3)...)
	must(t, s.applyImport(c, true))
	after := s.Queue(sampleRecords(2, 2)...)
	s.writeMu.Unlock()
	mustReject(t, <-a, "an import")
	mustReject(t, <-b, "an import")
	must(t, <-after)
	if got := mustLoad(t, s); len(got.Records) != 2 || string(got.Records[0].Data) != "7" {
		t.Error(formatContents(got))
	}
}
