package eureka

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"
	"time"

	"pewterrudder/internal/lab/eurekad"
	"pewterrudder/internal/roster"
)

func all(string) bool { return true }

// answerOf is what a registry answers.
func answerOf(r http.Handler, accept string) string {
	req := httptest.NewRequest(http.MethodGet, "/eureka/apps", nil)
	req.Header.Set("Accept", accept)
	w := httptest.NewRecorder()
	r.ServeHTTP(w, req)
	return w.Body.String()
}

// answers of the stand-in, in each form.
func answers() []string {
	var out []string
	for _, older := range []bool{false, true} {
		r := eurekad.New(eurekad.Options{Older: older})
		out = append(out, answerOf(r, "application/json"), answerOf(r, "application/xml"))
		for i, status := range []string{"UP", "DOWN", "STARTING", "OUT_OF_SERVICE", "UNKNOWN"} {
			in := &eurekad.Instance{ID: fmt.Sprint("<i>", i), App: fmt.Sprint("a", i/2), Host: "h&", IP: "10.0.0.1",
				Port: 80 + i, Plain: i != 2, Status: status, Metadata: map[string]string{"zone": "a<b", "k.x": "\"v"}}
			if i == 3 {
				in.ID, in.Amazon = "", map[string]string{"instance-id": "i-7", "availability-zone": "z1"}
			}
			r.Register(in)
			out = append(out, answerOf(r, "application/json"), answerOf(r, "application/xml"))
		}
	}
	return out
}

func decode(text string, most int64) (instances []instance, h head, err error) {
	each := func(in *instance) error { instances = append(instances, *in); return nil }
	if strings.HasPrefix(strings.TrimSpace(text), "<") {
		h, err = decodeXML(newMeter(strings.NewReader(text), most), all, each)
	} else {
		h, err = decodeJSON(newMeter(strings.NewReader(text), most), all, each)
	}
	return instances, h, err
}

// Both formats, and the older JSON, say the same of the same registry.
func TestTheFormatsAgree(t *testing.T) {
	texts := answers()
	n := len(texts) / 4
	for i := range n {
		var first []instance
		for k, text := range []string{texts[2*i], texts[2*i+1], texts[2*n+2*i], texts[2*n+2*i+1]} {
			got, h, err := decode(text, 1<<20)
			if err != nil || len(got) != i || !h.told || counted(h.hash) != i {
				t.Fatalf("%d instances, %+v, %v of %s", len(got), h, err, text)
			}
			for j := range got {
				got[j].updated, got[j].up = min(got[j].updated, 1), min(got[j].up, 1) // two registries, two moments
			}
			if k == 0 {
				first = got
			} else if !reflect.DeepEqual(first, got) {
				t.Errorf("%+v\n%+v", first, got)
			}
		}
	}
}

// What others than the stand-in are known to send.
func TestOddAnswers(t *testing.T) {
	for text, want := range map[string]string{
		`{"applications":{"application":{"name":"a","instance":{"hostName":"h","port":"80","status":"up"}}}}`: "[A/h UP 80 true]",
		`{"applications":{"application":[{"instance":[{"hostName":"h","port":{"$":"80","@enabled":true}},null,7]},null],` +
			`"apps__hashcode":null}}`: "[/h UNKNOWN 80 true]",
		`{"application":{"instance":{"app":"x","instanceId":{"$":"i"},"port":{"@enabled":"false","$":80}}}}`: "[X/i UNKNOWN 80 false]",
		`{"applications":{"application":""}}`: "[]",
		`{"applications":""}`:                 "the answer holds no list of applications",
		`{"applications":{"application":[`:    "unexpected EOF",
		``:                                    "unexpected EOF",
		`[]`:                                  "the answer holds no list of applications",
		`<applications><application><name>a</name><instance><hostName>h<b/></hostName><port enabled="false">80</port>` +
			`</instance></application></applications>`: "[A/h UNKNOWN 80 false]",
		`<applications><application>`: "XML syntax error on line 1: unexpected EOF",
		`<html></html>`:               "the answer holds no list of applications",
	} {
		got, _, err := decode(text, 1<<20)
		short := []string{}
		for _, in := range got {
			short = append(short, fmt.Sprint(in.key(), " ", statusNames[in.status], " ", in.port, " ", in.plain))
		}
		told := fmt.Sprint(short)
		if err != nil {
			told = err.Error()
		}
		if told != want {
			t.Errorf("%s: %s, want %s", text, told, want)
		}
	}
}

// Whatever is sent, decoding ends, within its bound, and an answer cut anywhere is no answer.
func FuzzDecode(f *testing.F) {
	for _, text := range answers() {
		f.Add(text, uint16(1000))
	}
	f.Fuzz(func(t *testing.T, text string, cut uint16) {
		whole, _, err := decode(text, 1<<16)
		if len(whole) > len(text) {
			t.Errorf("%d instances of %d bytes", len(whole), len(text))
		}
		v := newView(&Settings{Keys: DefaultKeys(), Most: 1000, Now: func() time.Duration { return time.Hour }})
		a := v.begin(true, time.Hour, 0)
		for i := range whole {
			a.take(&whole[i])
		}
		entries, _ := a.commit()
		if len(entries) > len(whole) {
			t.Errorf("%d entries of %d instances", len(entries), len(whole))
		}
		text = strings.TrimSpace(text)
		if err == nil && len(text) > 0 && (text[len(text)-1] == '}' || strings.HasSuffix(text, "</applications>")) {
			if n := int(cut) % len(text); n < len(text)-1 {
				if _, _, err := decode(text[:n], 1<<16); err == nil && !strings.HasPrefix(text, "<") {
					// a second value may stand behind the first; then the first is the answer
					if _, _, err := decode(text[:n]+"{", 1<<16); err != nil {
						t.Errorf("cut at %d of %q it counts", n, text)
					}
				}
			}
		}
	})
}

// truth is a registry of a random history.
type truth struct {
	now     int64
	apps    map[string]*instance
	changes []*instance
}

func (r *truth) hash() string {
	var counts [statuses]int
	for _, in := range r.apps {
		counts[in.status]++
	}
	return hashOf(&counts)
}

func (r *truth) change(rnd *rand.Rand) {
	r.now++
	id := fmt.Sprint("n", rnd.IntN(8))
	in := &instance{app: "A", id: id, ip: "10.0.0." + id[1:], port: 1 + rnd.IntN(2), plain: true, updated: r.now, up: r.now,
		status: status(rnd.IntN(int(statuses))), action: "ADDED"}
	if old := r.apps[id]; old != nil && rnd.IntN(3) == 0 {
		in.action, in.status = "DELETED", old.status
		delete(r.apps, id)
	} else {
		r.apps[id] = in
	}
	r.changes = append(r.changes, in)
}

func (r *truth) list() map[string]roster.Entry {
	out := map[string]roster.Entry{}
	for id, in := range r.apps {
		if e, _, err := in.entry(&Keys{}, false); err == nil && e.State != roster.Gone {
			out[id] = e
		}
	}
	return out
}

// Random histories of a registry, and answers of every kind of wrong: what is told step by step is always one of the
// registry's lists as far as the answers can show, and once a good answer has come the registry's list of then.
func TestRandomHistories(t *testing.T) {
	const histories = 5000
	caught := map[string]int{}
	for seed := range uint64(histories) {
		rnd := rand.New(rand.NewPCG(seed, 7))
		r := &truth{apps: map[string]*instance{}}
		v := newView(&Settings{Most: 100})
		told, now := map[string]roster.Entry{}, time.Duration(0)
		heard := func(a *answer, h head) error {
			if err := a.wrong(h); err != nil {
				return err
			}
			entries, news := a.commit()
			if a.whole && news {
				clear(told)
			}
			for _, e := range entries {
				e.Started = 0
				if e.State == roster.Gone {
					delete(told, e.ID)
				} else {
					told[e.ID] = e
				}
			}
			return nil
		}
		feed := func(whole bool, all []*instance, h head) error {
			a := v.begin(whole, now, 0)
			for _, in := range all {
				copy := *in
				if err := a.take(&copy); err != nil {
					t.Fatal(err)
				}
			}
			return heard(a, h)
		}
		full := func() error {
			var all []*instance
			for _, in := range r.apps {
				all = append(all, in)
			}
			return feed(true, all, head{r.hash(), true})
		}
		if err := full(); err != nil {
			t.Fatal(err)
		}
		synced := 0 // changes that the view is known to have
		for range 30 {
			now += time.Second
			for range rnd.IntN(4) {
				r.change(rnd)
			}
			h := head{r.hash(), true}
			from, to := max(0, synced-rnd.IntN(5)), len(r.changes)
			kind := []string{"good", "good", "twice", "missing", "old", "half", "hash"}[rnd.IntN(7)]
			changes := r.changes[from:to]
			var err error
			switch kind {
			case "good":
				err = feed(false, changes, h)
			case "twice":
				err = feed(false, append(append([]*instance{}, changes...), changes...), h)
			case "missing":
				if synced == to {
					continue
				}
				err = feed(false, r.changes[min(synced+1, to):], h)
			case "old":
				err = feed(false, r.changes[:rnd.IntN(to+1)], h)
			case "hash":
				err = feed(false, changes, head{"UP_99_", true})
			case "half":
				half := []*instance{}
				for _, in := range r.apps {
					if len(half) < len(r.apps)/2 {
						half = append(half, in)
					}
				}
				was := fmt.Sprint(told)
				err = feed(true, half, h)
				if len(r.apps) > 0 && err == nil || len(r.apps) > 0 && fmt.Sprint(told) != was {
					t.Fatalf("seed %d: half a list was taken", seed)
				}
			}
			if err != nil {
				caught[kind]++
				if err := full(); err != nil {
					t.Fatalf("seed %d: the whole after %s: %v", seed, kind, err)
				}
			} else if kind == "missing" || kind == "old" {
				continue // the hash code agreed by chance; the next good answer need not show it, a whole one does
			}
			synced = to
			if err != nil {
				if !reflect.DeepEqual(told, r.list()) {
					t.Fatalf("seed %d after %s:\n%v\n%v", seed, kind, told, r.list())
				}
			}
		}
		if err := full(); err != nil || !reflect.DeepEqual(told, r.list()) {
			t.Fatalf("seed %d at the end: %v\n%v\n%v", seed, err, told, r.list())
		}
	}
	for _, kind := range []string{"missing", "old", "half", "hash"} {
		if caught[kind] < histories/2 {
			t.Errorf("%s was caught %d times", kind, caught[kind])
		}
	}
}
