package boxd

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"pewterrudder/internal/boxd/boxapi"
	"pewterrudder/internal/control"
)

// routes are all that it answers.
func (s *Service) routes() http.Handler {
	m := http.NewServeMux()
	get := func(path string, answer func(*http.Request) (any, uint64, error)) {
		m.HandleFunc("GET "+path, func(w http.ResponseWriter, r *http.Request) {
			v, revision, err := answer(r)
			if err != nil {
				refuse(w, err)
				return
			}
			tell(w, r, v, revision)
		})
	}
	get(boxapi.PathStatus, func(*http.Request) (any, uint64, error) { v, at := s.status(); return v, at, nil })
	get(boxapi.PathPools, func(*http.Request) (any, uint64, error) { return live(s, s.Box.Pools) })
	get(boxapi.PathNodes, func(*http.Request) (any, uint64, error) { return live(s, s.Box.Nodes) })
	get(boxapi.PathRoster, func(*http.Request) (any, uint64, error) { return live(s, s.Box.Roster) })
	get(boxapi.PathPeers, func(*http.Request) (any, uint64, error) { return live(s, s.Box.Peers) })
	get(boxapi.PathWhy+"{node}", s.why)
	get(boxapi.PathWants, s.wants)
	get(boxapi.PathHistory, s.history)
	get(boxapi.PathExport, s.export)
	m.HandleFunc("POST "+boxapi.PathEdits, s.edit)
	m.HandleFunc("POST "+boxapi.PathUndo, s.undo)
	m.HandleFunc("POST "+boxapi.PathConfirm, s.confirm)
	m.HandleFunc("GET "+boxapi.PathWatch, s.watch)
	m.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		refuse(w, &boxapi.Flaw{Code: boxapi.NotFound, Text: fmt.Sprintf("%s %s is nothing that this box answers (it speaks v1)",
			r.Method, r.URL.Path)})
	})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if p, _ := r.Context().Value(peerKey{}).(peer); !p.trust {
			// The socket's mode keeps others away; this holds where somebody has changed it.
			w.Header().Set("Connection", "close")
			refuseAs(w, http.StatusForbidden, &boxapi.Flaw{Code: boxapi.Misuse, Text: "the socket is for the box's own user and root"})
			return
		}
		m.ServeHTTP(w, r)
	})
}

// live facts are as of some moment after the revision that they are tagged with: an edit made against it is one that its
// author could have seen all of.
func live[T any](s *Service, ask func() T) (any, uint64, error) {
	at := s.revision()
	return ask(), at, nil
}

func (s *Service) revision() uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.State.Revision()
}

func (s *Service) status() (boxapi.Status, uint64) {
	s.mu.RLock()
	at, sick, watchers, wants := s.State.Revision(), s.sick, s.watchers, s.State.Want()
	s.mu.RUnlock()
	v := s.Box.Status()
	v.Revision, v.Store, v.Watchers = at, boxapi.StoreOK, watchers
	if sick != nil {
		v.Store = sick.Error()
	}
	for _, w := range wants.All {
		if !w.Until.IsZero() {
			v.Ending = append(v.Ending, w)
		}
	}
	return v, at
}

func (s *Service) why(r *http.Request) (any, uint64, error) {
	at, node := s.revision(), r.PathValue("node")
	v, known := s.Box.Why(node)
	if !known {
		return nil, 0, &boxapi.Flaw{Code: boxapi.NotFound, Text: fmt.Sprintf("no node is called %q", node)}
	}
	return v, at, nil
}

func (s *Service) wants(r *http.Request) (any, uint64, error) {
	at, given, err := number(r, "at")
	if err != nil {
		return nil, 0, err
	}
	s.mu.RLock()
	defer s.mu.RUnlock()
	if !given {
		w := s.State.Want()
		return w, w.Revision, nil
	}
	w, err := s.State.At(at)
	return w, at, err
}

func (s *Service) history(r *http.Request) (any, uint64, error) {
	from, _, err := number(r, "from")
	if err != nil {
		return nil, 0, err
	}
	most, given, err := number(r, "most")
	if err != nil {
		return nil, 0, err
	}
	s.mu.RLock()
	defer s.mu.RUnlock()
	at := s.State.Revision()
	if given && at >= most { // revisions have no gaps
		from = max(from, at-most+1)
	}
	return s.State.History(from), at, nil
}

func (s *Service) export(*http.Request) (any, uint64, error) {
	name := s.Box.Status().Name
	s.mu.RLock()
	defer s.mu.RUnlock()
	snap, err := s.State.Snapshot()
	w := s.State.Want()
	return boxapi.Export{Format: boxapi.ExportFormat, Box: name, At: s.Now().Wall.UTC(), Revision: w.Revision, Wants: w.All,
		Snapshot: snap}, w.Revision, err
}

func (s *Service) edit(w http.ResponseWriter, r *http.Request) {
	var e control.Edit
	if !read(w, r, &e) {
		return
	}
	against, err := boxapi.Untag(r.Header.Get("If-Match"))
	switch {
	case err != nil:
		refuse(w, &boxapi.Flaw{Code: boxapi.Misuse, Text: "If-Match: " + err.Error()})
		return
	case against > 0 && e.Against > 0 && against != e.Against:
		refuse(w, &boxapi.Flaw{Code: boxapi.Misuse, Text: fmt.Sprintf("against: %d, where If-Match has %d", e.Against, against)})
		return
	case against > 0:
		e.Against = against
	}
	e.By = asker(r)
	s.answer(w, r, func(st *control.State, now control.Now) (control.Record, error) { return st.Propose(now, e) }, drains(e.What))
}

// drains says whether the state must know which nodes are ready to judge an operation.
func drains(o control.Op) bool {
	switch o := o.(type) {
	case control.Drain:
		return true
	case control.Several:
		for _, one := range o.Ops {
			if drains(one) {
				return true
			}
		}
	}
	return false
}

func (s *Service) undo(w http.ResponseWriter, r *http.Request) {
	var b control.Back
	if !read(w, r, &b) {
		return
	}
	b.By = asker(r)
	s.answer(w, r, func(st *control.State, now control.Now) (control.Record, error) { return st.Undo(now, b) }, true)
}

func (s *Service) confirm(w http.ResponseWriter, r *http.Request) {
	var c boxapi.Confirm
	if !read(w, r, &c) {
		return
	}
	by := asker(r)
	s.answer(w, r, func(st *control.State, now control.Now) (control.Record, error) { return st.Confirm(now, c.ID, by) }, false)
}

func (s *Service) answer(w http.ResponseWriter, r *http.Request, judge func(*control.State, control.Now) (control.Record, error),
	sights bool) {
	made, err := s.change(judge, sights)
	if err != nil {
		refuse(w, err)
		return
	}
	tell(w, r, made, made.Revision)
}

func asker(r *http.Request) string { return r.Context().Value(peerKey{}).(peer).name }

// number reads a parameter.
func number(r *http.Request, name string) (n uint64, given bool, err error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return 0, false, nil
	}
	if n, err = strconv.ParseUint(text, 10, 64); err != nil {
		return 0, false, &boxapi.Flaw{Code: boxapi.Misuse, Text: fmt.Sprintf("%s: %q, where a number is wanted", name, text)}
	}
	return n, true, nil
}

// read takes a body whole, one JSON object and nothing after it, or refuses.
func read(w http.ResponseWriter, r *http.Request, into any) bool {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, boxapi.BodyMost))
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		refuse(w, &boxapi.Flaw{Code: boxapi.TooLarge, Text: fmt.Sprintf("the body has more than %d bytes", boxapi.BodyMost)})
		return false
	case err != nil: // the client has left or stalled half way: nothing of it is an edit
		refuse(w, &boxapi.Flaw{Code: boxapi.Misuse, Text: "the body did not come whole: " + err.Error()})
		return false
	}
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	if err = d.Decode(into); err == nil && len(bytes.TrimSpace(b[d.InputOffset():])) > 0 {
		err = errors.New("there is more after it")
	}
	if err != nil {
		refuse(w, &boxapi.Flaw{Code: boxapi.Misuse, Text: "body: " + err.Error()})
		return false
	}
	return true
}

func tell(w http.ResponseWriter, r *http.Request, v any, revision uint64) {
	tag := boxapi.Tag(revision)
	w.Header().Set("ETag", tag)
	if r.URL.Path == boxapi.PathWants && strings.Contains(r.Header.Get("If-None-Match"), tag) {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(v)
}

// refuse answers with what went wrong.
func refuse(w http.ResponseWriter, err error) {
	var flaw *boxapi.Flaw
	var conflict *control.Conflict
	var refusal *control.Refusal
	var store *storeError
	switch {
	case errors.As(err, &flaw):
	case errors.As(err, &conflict):
		flaw = &boxapi.Flaw{Code: boxapi.Conflict, Text: conflict.Error(), Conflict: conflict}
	case errors.As(err, &refusal):
		flaw = &boxapi.Flaw{Code: string(refusal.Why), Text: refusal.Reason, Pool: refusal.Pool}
	case errors.As(err, &store):
		flaw = &boxapi.Flaw{Code: boxapi.NoStore, Text: "nothing was changed: the store does not take it: " + store.Error()}
		if store.full() {
			refuseAs(w, http.StatusInsufficientStorage, flaw)
			return
		}
	default:
		flaw = &boxapi.Flaw{Code: boxapi.Misuse, Text: err.Error()}
	}
	refuseAs(w, statuses[flaw.Code], flaw)
}

// statuses by code; anything else that was understood and is not wanted is 422.
var statuses = map[string]int{boxapi.Conflict: http.StatusPreconditionFailed, boxapi.NoStore: http.StatusServiceUnavailable,
	boxapi.Busy: http.StatusServiceUnavailable, boxapi.Down: http.StatusServiceUnavailable, boxapi.NotFound: http.StatusNotFound,
	boxapi.Misuse: http.StatusBadRequest, boxapi.TooLarge: http.StatusRequestEntityTooLarge,
	string(control.Invalid): http.StatusBadRequest}

func refuseAs(w http.ResponseWriter, status int, flaw *boxapi.Flaw) {
	if status == 0 {
		status = http.StatusUnprocessableEntity
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(flaw)
}
