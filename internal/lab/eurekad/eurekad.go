// Package eurekad is a stand-in for a Eureka registry: it speaks the published REST interface, in JSON and XML, well enough
// for other people's clients, and has the troubles that a real one has on a bad day. It owns its leases and its listener.
// It must never share code with the client that it tries, nor be linked by the daemon.
package eurekad

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Fault is a trouble of the registry. Reading is hit, and where noted registering as well.
type Fault string

const (
	None         Fault = ""
	Stall        Fault = "stall"         // accepts and never answers, anything; calls that wait when it ends are cut off
	Slow         Fault = "slow"          // answers after a long time, anything
	Refuse       Fault = "refuse"        // answers 503 to anything
	Cut          Fault = "cut"           // half an answer, and the connection ends
	Half         Fault = "half"          // half the instances, well formed, under the hash code of all
	WrongHash    Fault = "wrong-hash"    // a hash code that fits nothing
	RepeatDeltas Fault = "repeat-deltas" // the changes of when the fault began, under the hash code of now
	StuckDeltas  Fault = "stuck-deltas"  // the delta of when the fault began, as a cache between would
	Lie          Fault = "lie"           // what has left or died stays UP
	Empty        Fault = "empty"         // a well-formed list of nothing
	NoDeltas     Fault = "no-deltas"     // 403 for deltas, as a server says that has them switched off
)

// Faults are all kinds.
var Faults = []Fault{None, Stall, Slow, Refuse, Cut, Half, WrongHash, RepeatDeltas, StuckDeltas, Lie, Empty, NoDeltas}

// Options of a registry.
type Options struct {
	Clock   func() time.Time // its own; nil: the machine's
	Keep    time.Duration    // of deltas; 0: 3 minutes, as the published server
	Older   bool             // the older JSON: a list of one stands alone, numbers are text
	SlowFor time.Duration    // of Slow; 0: 30 s
	Turn    time.Duration    // calls are worked through in turn, each taking so long
	On      func(Call)       // hears of each call that was answered
	Asked   func()           // hears of each call that has come
}

// Call is one that was answered.
type Call struct {
	Method, Path string
	Status       int
}

const keepDeltas = 3 * time.Minute

// Registry holds leases. It is an http.Handler.
type Registry struct {
	set     Options
	mu      sync.Mutex
	apps    map[string]map[string]*Instance
	recent  []recent
	fault   Fault
	over    chan struct{} // closed when the fault changes
	repeats *list
	hidden  map[string]*Instance // what has left, while we lie
	turn    chan struct{}
	version int               // counts changes
	cache   map[string][]byte // whole lists as they were written, by form; the published server keeps them too
	cached  int               // their version
}

type recent struct {
	at time.Time
	in *Instance
}

// New makes an empty registry.
func New(set Options) *Registry {
	if set.Clock == nil {
		set.Clock = time.Now
	}
	if set.Keep == 0 {
		set.Keep = keepDeltas
	}
	if set.SlowFor == 0 {
		set.SlowFor = 30 * time.Second
	}
	return &Registry{set: set, apps: map[string]map[string]*Instance{}, over: make(chan struct{}),
		hidden: map[string]*Instance{}, cache: map[string][]byte{}, turn: make(chan struct{}, 1)}
}

// Set changes the fault.
func (r *Registry) Set(f Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fault = f
	close(r.over)
	r.over = make(chan struct{})
	r.repeats = nil
	if f == RepeatDeltas || f == StuckDeltas {
		l := r.delta()
		r.repeats = &l
	}
	if f != Lie {
		clear(r.hidden)
	}
}

// Rewind has deltas repeat as they were so many changes ago, under the hash code of now, until the fault is set anew.
func (r *Registry) Rewind(changes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := r.recent
	r.recent = all[:max(0, len(all)-changes)]
	l := r.delta()
	r.fault, r.repeats, r.recent = RepeatDeltas, &l, all
}

// Forget loses all leases, as a restart does.
func (r *Registry) Forget() {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.apps)
	r.recent = nil
	r.version++
}

func (r *Registry) ms() int64 { return r.set.Clock().UnixMilli() }

// Register enters an instance, as POST does.
func (r *Registry) Register(in *Instance) {
	r.mu.Lock()
	defer r.mu.Unlock()
	in.App = strings.ToUpper(in.App)
	app := r.apps[in.App]
	if app == nil {
		app = map[string]*Instance{}
		r.apps[in.App] = app
	}
	in.Registered, in.LastRenew, in.Updated = r.ms(), r.ms(), r.ms()
	if old := app[in.name()]; old != nil {
		in.UpSince, in.Registered = old.UpSince, old.Registered
		if in.Overridden == "" || in.Overridden == "UNKNOWN" {
			in.Overridden = old.Overridden
		}
	}
	if o := in.Overridden; o != "" && o != "UNKNOWN" {
		in.Status = o
	}
	if in.Status == "UP" && in.UpSince == 0 {
		in.UpSince = r.ms()
	}
	in.Action = "ADDED"
	app[in.name()] = in
	r.changed(in)
}

func (r *Registry) changed(in *Instance) {
	r.version++
	r.recent = append(r.recent, recent{r.set.Clock(), in})
}

func (r *Registry) find(app, id string) *Instance { return r.apps[strings.ToUpper(app)][id] }

// Renew renews a lease; false: there is none.
func (r *Registry) Renew(app, id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	in := r.find(app, id)
	if in != nil {
		in.LastRenew = r.ms()
	}
	return in != nil
}

// SetStatus overrides the status of an instance; "" takes the override away, for status to take its place.
func (r *Registry) SetStatus(app, id, override, status string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.find(app, id)
	if old == nil {
		return false
	}
	in := *old // answers that are being written keep the old one
	in.Overridden, in.Status = override, status
	in.Updated, in.Action = max(r.ms(), old.Updated+1), "MODIFIED"
	if status == "UP" && in.UpSince == 0 {
		in.UpSince = r.ms()
	}
	r.apps[in.App][in.name()] = &in
	r.changed(&in)
	return true
}

// SetMetadata changes metadata keys of an instance.
func (r *Registry) SetMetadata(app, id string, values map[string]string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.find(app, id)
	if old == nil {
		return false
	}
	in := *old
	in.Metadata = maps.Clone(old.Metadata)
	if in.Metadata == nil {
		in.Metadata = map[string]string{}
	}
	maps.Copy(in.Metadata, values)
	in.Updated, in.Action = max(r.ms(), old.Updated+1), "MODIFIED"
	r.apps[in.App][in.name()] = &in
	r.changed(&in)
	return true
}

// Leave ends a lease, as DELETE does.
func (r *Registry) Leave(app, id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leave(app, id)
}

func (r *Registry) leave(app, id string) bool {
	in := r.find(app, id)
	if in == nil {
		return false
	}
	if r.fault == Lie {
		r.hidden[in.App+"/"+id] = in
		return true
	}
	gone := *in
	gone.Updated, gone.Action = max(r.ms(), in.Updated+1), "DELETED"
	delete(r.apps[in.App], id)
	if len(r.apps[in.App]) == 0 {
		delete(r.apps, in.App)
	}
	r.changed(&gone)
	return true
}

// Evict ends the leases that have run out. It has no self-preservation: what that hides, Lie hides.
func (r *Registry) Evict() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, app := range r.apps {
		for id, in := range app {
			if in.Lease > 0 && r.ms()-in.LastRenew > int64(in.Lease)*1000 {
				r.leave(in.App, id)
			}
		}
	}
}

// Instances are those held, by app and id.
func (r *Registry) Instances() []Instance {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Instance
	for _, a := range r.whole().apps {
		for _, in := range a.instances {
			out = append(out, *in)
		}
	}
	return out
}

func (r *Registry) whole() list {
	l := list{hash: r.hash()}
	for _, name := range slices.Sorted(maps.Keys(r.apps)) {
		a := appList{name: name}
		for _, id := range slices.Sorted(maps.Keys(r.apps[name])) {
			a.instances = append(a.instances, r.apps[name][id])
		}
		l.apps = append(l.apps, a)
	}
	return l
}

// delta holds each instance that changed of late, as it is now; its hash code is that of the whole.
func (r *Registry) delta() list {
	old := r.set.Clock().Add(-r.set.Keep)
	r.recent = slices.DeleteFunc(r.recent, func(c recent) bool { return c.at.Before(old) })
	l := list{hash: r.hash()}
	last := map[string]*Instance{}
	for _, c := range r.recent {
		last[c.in.App+"/"+c.in.name()] = c.in
	}
	at := map[string]int{}
	for _, key := range slices.Sorted(maps.Keys(last)) {
		in := last[key]
		i, ok := at[in.App]
		if !ok {
			i = len(l.apps)
			at[in.App] = i
			l.apps = append(l.apps, appList{name: in.App})
		}
		l.apps[i].instances = append(l.apps[i].instances, in)
	}
	return l
}

func (r *Registry) hash() string {
	counts := map[string]int{}
	for _, app := range r.apps {
		for _, in := range app {
			counts[in.Status]++
		}
	}
	out := ""
	for _, s := range slices.Sorted(maps.Keys(counts)) {
		out += s + "_" + strconv.Itoa(counts[s]) + "_"
	}
	return out
}

// halve leaves out every second instance.
func halve(l list) list {
	out := list{hash: l.hash}
	n := 0
	for _, a := range l.apps {
		b := appList{name: a.name}
		for _, in := range a.instances {
			if n++; n%2 == 1 {
				b.instances = append(b.instances, in)
			}
		}
		if len(b.instances) > 0 {
			out.apps = append(out.apps, b)
		}
	}
	return out
}

// ServeHTTP answers one call. What stands before /apps and its like is passed over, as installations differ there.
func (r *Registry) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	parts := strings.Split(strings.Trim(req.URL.Path, "/"), "/")
	first := slices.IndexFunc(parts, func(p string) bool {
		return p == "apps" || p == "instances" || p == "vips" || p == "svips" || p == "lab"
	})
	if first < 0 {
		http.NotFound(w, req)
		return
	}
	parts = parts[first:]
	if parts[0] == "lab" {
		r.control(w, req, parts[1:])
		return
	}
	if r.set.Asked != nil {
		r.set.Asked()
	}
	if !r.suffer(w, req) {
		return
	}
	kept := &kept{ResponseWriter: w, status: http.StatusOK}
	switch {
	case req.Method == http.MethodGet:
		r.read(kept, req, parts)
	case parts[0] == "apps":
		r.write(kept, req, parts[1:])
	default:
		http.Error(kept, "no such call", http.StatusMethodNotAllowed)
	}
	if r.set.On != nil {
		r.set.On(Call{req.Method, "/" + strings.Join(parts, "/"), kept.status})
	}
}

type kept struct {
	http.ResponseWriter
	status int
}

func (k *kept) WriteHeader(code int) {
	k.status = code
	k.ResponseWriter.WriteHeader(code)
}

// suffer has a call bear the faults that hit all of them; false: it is over.
func (r *Registry) suffer(w http.ResponseWriter, req *http.Request) bool {
	r.mu.Lock()
	fault, over := r.fault, r.over
	r.mu.Unlock()
	switch fault {
	case Stall:
		select {
		case <-req.Context().Done():
		case <-over:
		}
		panic(http.ErrAbortHandler)
	case Slow:
		select {
		case <-req.Context().Done():
			return false
		case <-time.After(r.set.SlowFor):
		}
	case Refuse:
		http.Error(w, "busy", http.StatusServiceUnavailable)
		return false
	}
	if r.set.Turn > 0 {
		r.turn <- struct{}{}
		defer func() { <-r.turn }()
		time.Sleep(r.set.Turn)
	}
	return true
}

// control sets faults from outside: POST /lab/fault?name=stall, POST /lab/forget.
func (r *Registry) control(w http.ResponseWriter, req *http.Request, parts []string) {
	name := Fault(req.URL.Query().Get("name"))
	switch {
	case req.Method != http.MethodPost || len(parts) != 1:
		http.NotFound(w, req)
	case parts[0] == "forget":
		r.Forget()
	case parts[0] == "fault" && slices.Contains(Faults, name):
		r.Set(name)
	default:
		http.Error(w, fmt.Sprintf("%q: no such fault", name), http.StatusBadRequest)
	}
}

func (r *Registry) write(w http.ResponseWriter, req *http.Request, parts []string) {
	found := false
	switch {
	case req.Method == http.MethodPost && len(parts) == 1:
		read := readJSON
		if strings.Contains(req.Header.Get("Content-Type"), "xml") {
			read = readXML
		}
		in, err := read(http.MaxBytesReader(w, req.Body, 1<<20))
		if err == nil && !strings.EqualFold(in.App, parts[0]) {
			err = fmt.Errorf("app %s was sent to %s", in.App, parts[0])
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		r.Register(in)
		w.WriteHeader(http.StatusNoContent)
		return
	case req.Method == http.MethodPut && len(parts) == 2:
		found = r.Renew(parts[0], parts[1])
	case req.Method == http.MethodDelete && len(parts) == 2:
		found = r.Leave(parts[0], parts[1])
	case req.Method == http.MethodPut && len(parts) == 3 && parts[2] == "status":
		to := req.URL.Query().Get("value")
		if !slices.Contains(statuses, to) {
			http.Error(w, "no such status", http.StatusInternalServerError) // as the published server answers
			return
		}
		found = r.SetStatus(parts[0], parts[1], to, to)
	case req.Method == http.MethodDelete && len(parts) == 3 && parts[2] == "status":
		to := req.URL.Query().Get("value")
		if !slices.Contains(statuses, to) {
			to = "UNKNOWN"
		}
		found = r.SetStatus(parts[0], parts[1], "", to)
	case req.Method == http.MethodPut && len(parts) == 3 && parts[2] == "metadata":
		values := map[string]string{}
		for k, v := range req.URL.Query() {
			values[k] = v[0]
		}
		found = r.SetMetadata(parts[0], parts[1], values)
	default:
		http.Error(w, "no such call", http.StatusMethodNotAllowed)
		return
	}
	if !found {
		http.Error(w, "no such instance", http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// read answers a GET. The answer is made under the lock, so that list and hash code are of one moment.
func (r *Registry) read(w http.ResponseWriter, req *http.Request, parts []string) {
	asXML := !strings.Contains(req.Header.Get("Accept"), "json") // what the published server gives unasked
	form := jsonForm{r.set.Older}
	var out any
	var x xmlText
	giveList := func(l list) {
		if asXML {
			x.list(l)
		} else {
			out = form.list(l)
		}
	}
	zipped := strings.Contains(req.Header.Get("Accept-Encoding"), "gzip")
	key := fmt.Sprint(asXML, zipped)
	r.mu.Lock()
	fault := r.fault
	status := http.StatusOK
	whole := parts[0] == "apps" && len(parts) == 1
	if r.cached != r.version || fault != None {
		clear(r.cache)
		r.cached = r.version
	}
	body := []byte(nil)
	if whole {
		body = r.cache[key]
	}
	switch {
	case body != nil:
	case parts[0] == "apps" && len(parts) == 2 && parts[1] == "delta":
		if fault == NoDeltas {
			status = http.StatusForbidden
			break
		}
		l := r.delta()
		if r.repeats != nil {
			l = *r.repeats
			if fault == RepeatDeltas {
				l.hash = r.hash()
			}
		}
		giveList(r.spoil(l))
	case parts[0] == "apps" && len(parts) == 1:
		l := r.whole()
		if fault == Half {
			l = halve(l)
		}
		giveList(r.spoil(l))
	case parts[0] == "apps" && len(parts) == 2:
		a := appList{name: strings.ToUpper(parts[1])}
		for _, id := range slices.Sorted(maps.Keys(r.apps[a.name])) {
			a.instances = append(a.instances, r.apps[a.name][id])
		}
		switch {
		case len(a.instances) == 0 || fault == Empty:
			status = http.StatusNotFound
		case asXML:
			x.app(a)
		default:
			out = map[string]any{"application": form.app(a)}
		}
	case parts[0] == "vips" && len(parts) == 2, parts[0] == "svips" && len(parts) == 2:
		vip, _ := url.PathUnescape(parts[1])
		giveList(r.named(func(in *Instance) string {
			if parts[0] == "svips" {
				return in.SecureVIP
			}
			return in.VIP
		}, vip))
	default:
		in := (*Instance)(nil)
		if parts[0] == "apps" && len(parts) == 3 {
			in = r.find(parts[1], parts[2])
		}
		if parts[0] == "instances" && len(parts) == 2 {
			for _, app := range r.apps {
				if app[parts[1]] != nil {
					in = app[parts[1]]
				}
			}
		}
		switch {
		case in == nil:
			status = http.StatusNotFound
		case asXML:
			x.instance(in)
		default:
			out = map[string]any{"instance": form.instance(in)}
		}
	}
	if body == nil {
		body = []byte(x.String())
		if !asXML {
			var b bytes.Buffer
			e := json.NewEncoder(&b)
			e.SetEscapeHTML(false)
			e.Encode(out)
			body = b.Bytes()
		}
		if zipped {
			var b bytes.Buffer
			z, _ := gzip.NewWriterLevel(&b, gzip.BestSpeed)
			z.Write(body)
			z.Close()
			body = b.Bytes()
		}
		if whole && fault == None {
			r.cache[key] = body
		}
	}
	r.mu.Unlock()
	if status != http.StatusOK {
		w.WriteHeader(status)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if asXML {
		w.Header().Set("Content-Type", "application/xml")
	}
	w.Header().Set("Date", r.set.Clock().UTC().Format(http.TimeFormat))
	if zipped {
		w.Header().Set("Content-Encoding", "gzip")
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if fault == Cut {
		w.Write(body[:len(body)/2])
		http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	w.Write(body)
}

// spoil has a list bear the faults that hit lists alone.
func (r *Registry) spoil(l list) list {
	switch r.fault {
	case WrongHash:
		l.hash = "DOWN_7_" + l.hash
	case Empty:
		l = list{}
	}
	return l
}

func (r *Registry) named(of func(*Instance) string, vip string) list {
	l := list{hash: r.hash()}
	for _, a := range r.whole().apps {
		b := appList{name: a.name}
		for _, in := range a.instances {
			if slices.Contains(strings.Split(of(in), ","), vip) {
				b.instances = append(b.instances, in)
			}
		}
		if len(b.instances) > 0 {
			l.apps = append(l.apps, b)
		}
	}
	return l
}

// Server is a registry on a socket.
type Server struct {
	*Registry
	Address string // host:port
	http    *http.Server
	done    chan struct{}
}

// Listen serves a registry at an address; port 0 takes a free one.
func Listen(address string, r *Registry) (*Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &Server{Registry: r, Address: l.Addr().String(), http: &http.Server{Handler: r,
		ReadHeaderTimeout: 10 * time.Second}, done: make(chan struct{})}
	go func() {
		defer close(s.done)
		s.http.Serve(l)
	}()
	return s, nil
}

// URL is what clients are told.
func (s *Server) URL() string { return "http://" + s.Address + "/eureka" }

// Close ends the listener and every connection; the registry keeps its leases for another Listen.
func (s *Server) Close() {
	s.http.Close()
	<-s.done
}
