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

func open(t testing.TB, dir string, o Options) *Store {
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

func refused(t testing.TB, err error, why string) {
	t.Helper()
	var r *Refused
	if !errors.As(err, &r) || r.Doubt || !strings.Contains(err.Error(), why) {
		t.Fatalf("%v, and it should have been refused because %q", err, why)
	}
}

func sample(from, to uint64) (all []Record) {
	for rev := from; rev <= to; rev++ {
		all = append(all, Record{rev, fmt.Appendf(nil, `{"kind":"drain","node":"n-%04d","by":"ada","text":%q}`, rev,
			strings.Repeat("x", int(rev%150)))})
	}
	return all
}

func load1(t testing.TB, s *Store) Contents {
	t.Helper()
	c, err := s.Load()
	must(t, err)
	return c
}

func TestCompact(t *testing.T) {
	dir := t.TempDir()
	s := open(t, dir, Options{})
	must(t, s.Append(sample(1, 3000)...))
	before, _ := os.Stat(s.path())
	snapshot := Record{2990, []byte("state at 2990")}
	refused(t, s.Compact(Record{3001, nil}, 1), "the newest is 3000")
	refused(t, s.Compact(snapshot, 2992), "covers those up to 2990 only")
	must(t, s.Compact(snapshot, 2981))
	refused(t, s.Compact(Record{2989, nil}, 1), "there is one of 2990")
	want := Contents{Schema: 1, Snapshot: &snapshot, Records: sample(2981, 3000)}
	if got := load1(t, s); !reflect.DeepEqual(got, want) {
		t.Fatalf("%v", got)
	}
	if after, _ := os.Stat(s.path()); after.Size()*4 > before.Size() {
		t.Errorf("the file had %d bytes, and has %d", before.Size(), after.Size())
	}
	must(t, s.Append(sample(3001, 3001)...))
	must(t, s.Compact(Record{3001, []byte("all")}, 3002))
	must(t, s.Close())
	s = open(t, dir, Options{})
	if got := load1(t, s); got.Records != nil || string(got.Snapshot.Data) != "all" || s.Last() != 3001 {
		t.Fatalf("%v", got)
	}
	refused(t, s.Append(sample(3001, 3001)...), "revision 3001 does not follow revision 3001")
	refused(t, s.Append(sample(3003, 3003)...), "revision 3003 does not follow revision 3001")
	must(t, s.Append(sample(3002, 3002)...))
}

// Whoever reads slowly, or edits while reading, holds up nobody.
func TestRecordsWhileAppending(t *testing.T) {
	s := open(t, t.TempDir(), Options{})
	must(t, s.Append(sample(1, 600)...))
	next, n := uint64(601), uint64(0)
	for r, err := range s.Records(1) {
		must(t, err)
		if n++; r.Revision != n {
			t.Fatalf("revision %d came as the %dth", r.Revision, n)
		}
		if n%100 == 0 && next < 700 { // large enough for the map to be made anew
			must(t, s.Append(Record{next, make([]byte, 200_000)}))
			next++
		}
	}
	if n != next-1 {
		t.Errorf("%d records came of %d", n, next-1)
	}
	for r := range s.Records(590) {
		if r.Revision != 590 {
			t.Error(r.Revision)
		}
		break
	}
}

func commits(t *testing.T, s *Store) (id int) {
	must(t, s.db.View(func(tx *bbolt.Tx) error { id = tx.ID(); return nil }))
	return id
}

func TestQueueSharesSyncs(t *testing.T) {
	s := open(t, t.TempDir(), Options{})
	before := commits(t, s)
	s.writer.Lock() // a disk that takes its time
	answers := []<-chan error{s.Queue(sample(1, 1)...)}
	for taken := false; !taken; runtime.Gosched() {
		s.mu.Lock()
		taken = len(s.queue) == 0
		s.mu.Unlock()
	}
	for rev := uint64(2); rev <= MaxQueue+1; rev++ {
		answers = append(answers, s.Queue(sample(rev, rev)...))
	}
	refused(t, <-s.Queue(sample(MaxQueue+2, MaxQueue+2)...), fmt.Sprint(MaxQueue, " changes wait"))
	s.writer.Unlock()
	for _, a := range answers {
		must(t, <-a)
	}
	if n := commits(t, s) - before; n != 2 {
		t.Errorf("%d commits", n)
	}
	if got := load1(t, s); len(got.Records) != MaxQueue+1 {
		t.Errorf("%d records", len(got.Records))
	}
}

func TestRefusals(t *testing.T) {
	s := open(t, t.TempDir(), Options{})
	must(t, s.Append(sample(1, 2)...))
	refused(t, s.Append(sample(2, 2)...), "revision 2 does not follow revision 2")
	refused(t, s.Append(Record{3, nil}, Record{3, nil}), "revision 3 does not follow revision 3")
	refused(t, s.Append(Record{3, make([]byte, MaxRecord+1)}), "at most 1048576")
	must(t, s.Append())
	must(t, s.Append(sample(3, 3)...))
	must(t, s.Close())
	refused(t, s.Append(sample(4, 4)...), "closed")
	if _, err := s.Load(); err != ErrClosed {
		t.Error(err)
	}
	if err := s.Close(); err != ErrClosed {
		t.Error(err)
	}
}

// child starts this binary in a role of TestMain.
func child(t *testing.T, role, dir string, env ...string) (*exec.Cmd, *bufio.Scanner) {
	c := exec.Command(os.Args[0])
	c.Env = append(os.Environ(), append(env, "STORE_CHILD="+role, "STORE_DIR="+dir)...)
	c.Stderr = os.Stderr
	out, err := c.StdoutPipe()
	must(t, err)
	must(t, c.Start())
	return c, bufio.NewScanner(out)
}

func holdOpen(dir string) {
	if _, err := Open(dir, Options{Schema: 1}); err != nil {
		panic(err)
	}
	fmt.Println("open")
	syscall.Pause()
}

func TestLock(t *testing.T) {
	dir := t.TempDir()
	c, lines := child(t, "hold", dir)
	lines.Scan()
	_, err := Open(dir, Options{Schema: 1})
	c.Process.Kill()
	c.Wait()
	var held *Held
	if want := fmt.Sprintf("%s is in use by %s, process %d", dir, filepath.Base(os.Args[0]), c.Process.Pid); !errors.As(err, &held) ||
		!strings.Contains(err.Error(), want) {
		t.Fatalf("%v, and not %q", err, want)
	}
	must(t, open(t, dir, Options{}).Append(sample(1, 1)...))
}

// A child is ended by kill -9 at a random line of what it says, and the next takes up what it left.
func TestKill(t *testing.T) {
	dir, r, knows := t.TempDir(), rand.New(rand.NewPCG(5, 5)), &told{}
	answered := 0
	for round := range 25 {
		c, lines := child(t, "load", dir, fmt.Sprint("STORE_SEED=", round+1), "STORE_STEPS=200")
		for n := r.IntN(60); lines.Scan(); n-- {
			must(t, knows.hear(lines.Text()))
			if strings.HasPrefix(lines.Text(), "yes") {
				answered++
			}
			if n == 0 {
				must(t, c.Process.Signal(syscall.SIGKILL))
			} // what it said until it died still comes
		}
		c.Wait()
	}
	s := open(t, dir, Options{})
	got, err := edits(load1(t, s))
	must(t, err)
	must(t, knows.allows(got))
	if answered < 100 {
		t.Errorf("%d edits were answered", answered)
	}
}

// full is a process that may not write beyond 100 kB of a file, which the kernel refuses as it does on a full disk, and
// later may.
func full(dir string) {
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
	var refused *Refused
	rev := uint64(1)
	for ; rev < 1000; rev++ {
		if err = s.Append(sample(rev, rev)...); err != nil {
			break
		}
	}
	if !errors.As(err, &refused) || refused.Doubt {
		panic(fmt.Sprint(rev, err))
	}
	fmt.Println(err)
	if c, err := s.Load(); err != nil || c.Last() != rev-1 || !reflect.DeepEqual(c.Records, sample(1, rev-1)) {
		panic(fmt.Sprint("reading: ", c.Last(), err))
	}
	if err = s.Compact(Record{1, make([]byte, 200_000)}, 1); !errors.As(err, &refused) || refused.Doubt {
		panic(err)
	}
	limit(^uint64(0))
	if err = errors.Join(s.Append(sample(rev, rev)...), s.Close()); err != nil {
		panic(err)
	}
	fmt.Println(rev)
}

func TestFullDisk(t *testing.T) {
	dir := t.TempDir()
	c, lines := child(t, "full", dir)
	lines.Scan()
	if !strings.Contains(lines.Text(), "nothing was changed") || !strings.Contains(lines.Text(), syscall.EFBIG.Error()) {
		t.Errorf("it said %q", lines.Text())
	}
	lines.Scan()
	var last uint64
	fmt.Sscan(lines.Text(), &last)
	must(t, c.Wait())
	if got := load1(t, open(t, dir, Options{})); last < 100 || !reflect.DeepEqual(got.Records, sample(1, last)) {
		t.Errorf("%d records, the last %d", len(got.Records), last)
	}
}

// A page that the disk does not give any more is a memory fault under bbolt.
func TestMapFault(t *testing.T) {
	dir := t.TempDir()
	s := open(t, dir, Options{})
	must(t, s.Append(sample(1, 2000)...))
	must(t, os.Truncate(s.path(), 3*pageSize))
	if _, err := s.Load(); err == nil {
		t.Error("it was read all the same")
	}
	if err := s.Append(sample(2001, 2001)...); err == nil {
		t.Error("it was written all the same")
	}
	s.Close()
	if s = open(t, dir, Options{}); s.aside == "" {
		t.Error("it was not put aside")
	}
}

func TestPutAside(t *testing.T) {
	whole := t.TempDir()
	s := open(t, whole, Options{})
	for rev := uint64(1); rev <= 40; rev++ {
		must(t, s.Append(sample(rev, rev)...))
	}
	must(t, s.Append(sample(41, 900)...))
	must(t, s.Compact(Record{30, bytes.Repeat([]byte("snapshot "), 2000)}, 20))
	must(t, s.Append(sample(901, 901)...))
	must(t, s.Append(Record{902, bytes.Repeat([]byte("long "), 3000)}))
	want := load1(t, s)
	must(t, s.Close())
	file, err := os.ReadFile(s.path())
	must(t, err)
	r := rand.New(rand.NewPCG(9, 9))
	rounds, aside, lost := 1500, 0, 0
	for i := range rounds {
		b := slices.Clone(file)
		what := ""
		switch i % 5 {
		case 0, 1:
			at := r.IntN(len(b) * 8)
			b[at/8] ^= 1 << (at % 8)
			what = fmt.Sprint("bit ", at)
		case 2: // of a page's head and its first entries, where what leads elsewhere stands
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
		dir := room(t)
		must(t, os.WriteFile(filepath.Join(dir, fileName), b, 0o600))
		var said bytes.Buffer
		s, err := Open(dir, Options{Schema: 1, Log: slog.New(slog.NewTextHandler(&said, nil))})
		if err != nil {
			t.Fatalf("%s: %v", what, err)
		}
		got := load1(t, s)
		if name, why := s.Aside(); name != "" {
			aside++
			kept, err := os.ReadFile(name)
			must(t, err)
			settled := slices.Equal(kept, b)
			if !settled || got.Last() != 0 || !strings.Contains(said.String(), "store_aside") ||
				!strings.Contains(said.String(), filepath.Base(name)) {
				t.Fatalf("%s, put aside (%v), left %d; said %s", what, why, got.Last(), said.String())
			}
		} else if strings.Contains(said.String(), "store_head_lost") && got.Last() == 901 {
			lost++ // of bbolt's two heads the older is left
		} else if !reflect.DeepEqual(got, want) {
			t.Fatalf("%s: other contents, up to %d; said %s", what, got.Last(), said.String())
		}
		must(t, s.Append(sample(s.Last()+1, s.Last()+1)...))
		must(t, s.Close())
		os.RemoveAll(dir)
	}
	t.Logf("%d of %d put aside, %d with the older head", aside, rounds, lost)
	if aside < rounds/3 || lost == 0 {
		t.Error("the damage did not reach what it is for")
	}
}

// What bbolt would not notice, or not outlive, made on purpose.
func TestPutAsideWhole(t *testing.T) {
	for what, harm := range map[string]func(db *bbolt.DB, file []byte){
		"899 records are there of 900": func(db *bbolt.DB, _ []byte) {
			must(t, db.Update(func(tx *bbolt.Tx) error { return tx.Bucket(bucketRecords).Delete(key(400)) }))
		},
		"is in use and free": func(db *bbolt.DB, file []byte) {
			page := file[order.Uint64(newest(file)[32:])*pageSize:]
			order.PutUint64(page[pageHeader:], order.Uint64(newest(file)[16:])) // the first free page is the root
		},
		"is used twice": func(db *bbolt.DB, file []byte) {
			for id := uint64(2); id < uint64(len(file)/pageSize); id++ {
				if p := file[id*pageSize:]; order.Uint16(p[8:]) == branchPage {
					order.PutUint64(p[pageHeader+8:], id) // its own child
				}
			}
		},
	} {
		dir := t.TempDir()
		s := open(t, dir, Options{})
		must(t, s.Append(sample(1, 900)...))
		if what == "is in use and free" { // there must be a free page
			must(t, s.Append(sample(901, 901)...))
		}
		must(t, s.Close())
		db, err := bbolt.Open(s.path(), 0o600, nil)
		must(t, err)
		before, err := os.ReadFile(s.path())
		must(t, err)
		file := slices.Clone(before)
		harm(db, file)
		must(t, db.Close())
		if !bytes.Equal(file, before) {
			must(t, os.WriteFile(s.path(), file, 0o600))
		}
		if _, why := open(t, dir, Options{}).Aside(); why == nil || !strings.Contains(why.Error(), what) {
			t.Errorf("%v, and not %q", why, what)
		}
	}
}

// newest is the head of a file that bbolt would take.
func newest(file []byte) []byte {
	a, b := file[pageHeader:], file[pageSize+pageHeader:]
	if order.Uint64(a[48:]) > order.Uint64(b[48:]) {
		return a
	}
	return b
}

func TestMigrate(t *testing.T) {
	dir := t.TempDir()
	s := open(t, dir, Options{Schema: 1})
	must(t, s.Append(sample(1, 20)...))
	must(t, s.Compact(Record{10, []byte("ten")}, 5))
	must(t, s.Close())
	old, err := os.ReadFile(s.path())
	must(t, err)
	if _, err := Open(dir, Options{Schema: 3}); err == nil || !strings.Contains(err.Error(), "no way from there to 3") {
		t.Fatal(err)
	}
	bad := func(uint64, Contents) (Contents, error) { return Contents{}, errors.New("revision 7 makes no sense") }
	if _, err := Open(dir, Options{Schema: 3, Migrate: bad}); err == nil || !strings.Contains(err.Error(), "revision 7 makes") {
		t.Fatal(err)
	}
	if b, _ := os.ReadFile(s.path()); !bytes.Equal(b, old) {
		t.Fatal("an attempt that failed has changed the file")
	}
	calls := 0
	step := func(from uint64, c Contents) (Contents, error) {
		calls++
		for i := range c.Records {
			c.Records[i].Data = fmt.Appendf(nil, "%d: %s", from, c.Records[i].Data)
		}
		c.Snapshot.Data = append(c.Snapshot.Data, '!')
		return c, nil
	}
	for range 2 {
		s = open(t, dir, Options{Schema: 3, Migrate: step})
		got := load1(t, s)
		if got.Schema != 3 || string(got.Snapshot.Data) != "ten!" || len(got.Records) != 16 ||
			!strings.HasPrefix(string(got.Records[0].Data), `1: {"kind"`) || s.Last() != 20 {
			t.Fatalf("%+v", got)
		}
		must(t, s.Close())
	}
	if calls != 1 {
		t.Errorf("%d migrations", calls)
	}
	if kept, _ := os.ReadFile(s.path() + ".schema-1"); !bytes.Equal(kept, old) {
		t.Error("the older file was not kept")
	}
	now, _ := os.ReadFile(s.path())
	var newer *Newer
	if _, err := Open(dir, Options{Schema: 2, Migrate: step}); !errors.As(err, &newer) || newer.Have != 3 || newer.Wanted != 2 {
		t.Fatal(err)
	}
	if b, _ := os.ReadFile(s.path()); !bytes.Equal(b, now) {
		t.Error("an older program has changed a newer file")
	}
}

func TestExportImport(t *testing.T) {
	s := open(t, t.TempDir(), Options{})
	must(t, s.Append(sample(1, 9)...))
	must(t, s.Append(Record{10, []byte("no JSON \x00\xff")}, Record{11, nil}, Record{12, []byte(`{"spaced": 1}`)},
		Record{13, []byte(`"<&>"`)}, Record{14, []byte(`1e400`)}))
	must(t, s.Compact(Record{8, []byte(`{"nodes":[]}`)}, 3))
	want := load1(t, s)
	var doc bytes.Buffer
	must(t, s.Export(&doc))
	if !strings.Contains(doc.String(), `"node": "n-0005"`) {
		t.Error("JSON in the records is not JSON in the document")
	}

	other := open(t, t.TempDir(), Options{Schema: 2, Migrate: func(from uint64, c Contents) (Contents, error) {
		if from != 1 {
			return c, fmt.Errorf("from %d", from)
		}
		return c, nil
	}})
	must(t, other.Import(bytes.NewReader(doc.Bytes()), false))
	want.Schema = 2
	if got := load1(t, other); norm(got) != norm(want) {
		t.Errorf("%s\n%s", norm(got), norm(want))
	}
	refused(t, other.Import(bytes.NewReader(doc.Bytes()), false), "holds revisions up to 14")
	must(t, other.Append(sample(15, 15)...))
	must(t, other.Import(bytes.NewReader(doc.Bytes()), true))
	must(t, other.Append(sample(15, 15)...)) // the import went back by one

	var newer bytes.Buffer
	must(t, other.Export(&newer))
	before := load1(t, s)
	for name, d := range map[string]string{
		"no newer one than 1":               newer.String(),
		"unexpected EOF":                    doc.String()[:doc.Len()/2],
		"something follows its end":         doc.String() + "{}",
		"kind is":                           `{"kind":"shopping","schema":1,"records":[]}`,
		"schema is missing":                 `{"kind":"pewterrudder state","records":[]}`,
		"a part is missing":                 `{"kind":"pewterrudder state","schema":1,"last":2,"records":[{"revision":1}]}`,
		"revision 1 stands where 2 should":  `{"kind":"pewterrudder state","schema":1,"last":1,"records":[{"revision":1},{"revision":1}]}`,
		"records[0] is null":                `{"kind":"pewterrudder state","schema":1,"last":1,"records":[null]}`,
		"revision 1 has both data and byte": `{"kind":"pewterrudder state","schema":1,"last":1,"records":[{"revision":1,"data":1,"bytes":"YQ=="}]}`,
		"end at revision 3, before the":     `{"kind":"pewterrudder state","schema":1,"last":4,"snapshot":{"revision":4},"records":[{"revision":3}]}`,
		"revision 5 stands where 4 should":  `{"kind":"pewterrudder state","schema":1,"last":5,"snapshot":{"revision":3},"records":[{"revision":5}]}`,
		"unknown field":                     `{"kind":"pewterrudder state","schema":1,"last":0,"recrods":[]}`,
	} {
		refused(t, s.Import(strings.NewReader(d), true), name)
	}
	if got := load1(t, s); !reflect.DeepEqual(got, before) {
		t.Error("a refused import has changed something")
	}
	must(t, s.Export(io.Discard))
}

// norm: a record without bytes is one, nil or not.
func norm(c Contents) string {
	all := fmt.Sprintf("schema %d", c.Schema)
	if c.Snapshot != nil {
		all += fmt.Sprintf(" snapshot %d %q", c.Snapshot.Revision, c.Snapshot.Data)
	}
	for _, r := range c.Records {
		all += fmt.Sprintf(" %d %q", r.Revision, r.Data)
	}
	return all
}

// What was queued before an import rests on what the import has dropped.
func TestImportDropsTheQueue(t *testing.T) {
	s := open(t, t.TempDir(), Options{})
	must(t, s.Append(sample(1, 1)...))
	c, err := s.parse(strings.NewReader(`{"kind":"pewterrudder state","schema":1,"last":1,"records":[{"revision":1,"data":7}]}`))
	must(t, err)
	s.writer.Lock()
	a := s.Queue(sample(2, 2)...)
	for range 100 { // it may be taken off the queue before the import, or not
		runtime.Gosched()
	}
	b := s.Queue(sample(3, 3)...)
	must(t, s.swap(c, true))
	after := s.Queue(sample(2, 2)...)
	s.writer.Unlock()
	refused(t, <-a, "an import")
	refused(t, <-b, "an import")
	must(t, <-after)
	if got := load1(t, s); len(got.Records) != 2 || string(got.Records[0].Data) != "7" {
		t.Error(norm(got))
	}
}
