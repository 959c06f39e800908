package kv

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"
)

const (
	// silence on a watch after which it is asked for anew: twice that and an attempt's time is how long a store that has
	// vanished passes for one that has no news.
	silence = 2 * time.Second
	// looksApart is the least time between two looks at all keys: a watch that breaks again and again must not have the
	// whole list read each time.
	looksApart = 10 * time.Second
	// lookEvery is how often all keys are looked at in any case. It heals what nothing else would show: an event that
	// the store has swallowed.
	lookEvery = 5 * time.Minute
	// tornReadings is how often a list is read again because a connection was cut between its pages. One that is never
	// read in one go is then believed if it holds as many keys as the store, and the same newest ones.
	tornReadings = 3
	// sound is how long a watch must have been open to count as working.
	sound = 2 * time.Second

	maxBody = 64 << 20 // bytes of a page: 10,000 keys of the largest that we read make less
	maxLine = 16 << 20 // bytes of a watch's line: etcd splits what is over 1.5 MB, which base64 makes 2
)

var (
	errCompacted = errors.New("the revision is compacted")
	errHistory   = errors.New("the store's history is another one")
	errSilent    = errors.New("silent")
)

// run follows the store until the client's end.
func (c *Client) run() {
	for c.ctx.Err() == nil {
		switch {
		case c.known:
		case c.sparse == nil:
			c.snapshot()
			continue
		case c.whole:
			c.readAll()
			continue
		default:
			c.catchUp()
			continue
		}
		s, err := c.watch()
		if err == nil {
			c.follow(s)
			s.close()
		} else {
			c.judge(err)
		}
	}
}

// judge takes an error that no other endpoint would mend.
func (c *Client) judge(err error) {
	if c.ctx.Err() != nil {
		return
	}
	c.known = false
	if !errors.Is(err, errCompacted) {
		c.whole = true
		c.log(fmt.Sprintf("%v: reading the whole list", err))
	}
	c.pause(&c.verdicts)
	if c.sparse != nil && c.whole {
		c.due = c.due.Add(c.within(min(mostScatter, time.Duration(c.holder.Len())*scatterEach)))
	}
}

// post sends one question.
func (c *Client) post(ctx context.Context, at *endpoint, path string, question any) (*http.Response, error) {
	raw, err := json.Marshal(question)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, at.url+path, bytes.NewReader(raw))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	// etcd then ends a watch on a member that has lost its leader, which would stay silent otherwise.
	req.Header.Set("Grpc-Metadata-Hasleader", "true")
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, cut{err}
	}
	if resp.StatusCode == http.StatusOK {
		return resp, nil
	}
	defer resp.Body.Close()
	said, _ := io.ReadAll(io.LimitReader(resp.Body, 4096))
	var f fault
	if json.Unmarshal(said, &f) == nil && f.Code == codeOutOfRange { // compacted, or a revision that is not yet there
		if bytes.Contains(said, []byte("compacted")) {
			return nil, verdict{errCompacted}
		}
		return nil, verdict{errHistory}
	}
	return nil, fmt.Errorf("the store answers %s: %.200q", resp.Status, f.Message)
}

func (c *Client) question(from string, revision int64) rangeQuery {
	q := rangeQuery{Key: []byte(from), End: []byte(c.end), Limit: strconv.Itoa(c.page)}
	if revision != 0 {
		q.Revision = strconv.FormatInt(revision, 10)
	}
	return q
}

// read the answer to a range.
func (c *Client) read(ctx context.Context, at *endpoint, q rangeQuery) ([]byte, error) {
	resp, err := c.post(ctx, at, "/v3/kv/range", q)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	var raw bytes.Buffer
	if n := resp.ContentLength; n > 0 && n < maxBody {
		raw.Grow(int(n) + bytes.MinRead)
	}
	if n, err := raw.ReadFrom(io.LimitReader(resp.Body, maxBody)); err != nil {
		return nil, cut{fmt.Errorf("range: %w after %d bytes", err, n)}
	} else if n == maxBody {
		return nil, fmt.Errorf("range: more than %d bytes", n)
	}
	return raw.Bytes(), nil
}

// fetch reads one page, and how many keys there are from its start on.
func (c *Client) fetch(ctx context.Context, at *endpoint, q rangeQuery, from string) (page, int64, error) {
	raw, err := c.read(ctx, at, q)
	if err != nil {
		return page{}, 0, err
	}
	end := string(q.End)
	if end == "" {
		end = string(q.Key) + "\x00"
	}
	p, count, err := readPage(raw, from, end, q.Newer != "" || q.CountOnly)
	p.bytes = len(raw)
	return p, count, err
}

// snapshot reads all pages at the revision of the first and tells what they bring.
func (c *Client) snapshot() {
	c.holder.Begin()
	var first origin
	var read gist
	cuts := c.cuts
	swept := newSweep(c.holder)
	for from, more := c.prefix, true; more; {
		p, _, err := c.ask(c.question(from, first.revision), from)
		if err != nil {
			if errors.Is(err, errCompacted) && first.revision != 0 {
				c.pause(&c.verdicts) // compacted while it was read: from the start, at the new present
				return
			}
			c.judge(err)
			return
		}
		if from == c.prefix {
			first, cuts = p.origin, c.cuts
			if !c.whole && (first.cluster != c.origin.cluster || first.term != c.origin.term || first.revision < c.origin.revision) {
				c.judge(errHistory)
				return
			}
		} else if p.origin.cluster != first.cluster || p.origin.term != first.term || p.origin.revision < first.revision {
			c.judge(errHistory)
			return
		}
		news := p.records[:0]
		for _, r := range p.records {
			from = r.Key + "\x00"
			sum := Sum(r.Value)
			read.add(r.Key, r.Revision, sum)
			swept.pass(r.Key)
			mod, held, ok := c.holder.At(r.Key)
			switch {
			case r.Revision > first.revision:
				c.judge(errHistory) // not at the revision that was asked for
				return
			case ok && mod == r.Revision && held == sum:
			case !c.whole && r.Revision <= c.origin.revision:
				c.judge(errHistory) // we followed up to there, and it was never told
				return
			default:
				news = append(news, r)
			}
		}
		if more = p.more; len(news) > 0 {
			c.holder.Apply(c.whole, 0, news)
		}
	}
	whole := c.whole
	if cuts != c.cuts { // the pages may be of two stores
		if c.torn++; c.torn <= tornReadings || !whole || c.glance(c.ask, first, read) != nil {
			c.pause(&c.verdicts)
			return
		}
	}
	c.torn = 0
	c.origin, c.known, c.whole, c.looked, c.resumed = first, true, false, time.Now(), false
	c.holder.Apply(whole, first.revision, swept.gone(first.revision))
}

// sweep of the keys that were held when a reading began, as it passes over them in order.
type sweep struct {
	held    []string // not yet passed, ascending
	missing []string
}

func newSweep(h Holder) *sweep { return &sweep{held: ascending(h)} }

// ascending gives the keys that are held, in order.
func ascending(h Holder) []string {
	keys := slices.AppendSeq(make([]string, 0, h.Len()), h.Keys())
	slices.Sort(keys)
	return keys
}

// pass says that the store has a key, and has none between it and the one before.
func (r *sweep) pass(key string) {
	n := 0
	for n < len(r.held) && r.held[n] < key {
		n++
	}
	r.missing = append(r.missing, r.held[:n]...)
	if n < len(r.held) && r.held[n] == key {
		n++
	}
	r.held = r.held[n:]
}

// gone gives what the store does not have at a revision, once all that it has was passed.
func (r *sweep) gone(revision int64) (out []Record) {
	for _, keys := range [][]string{r.missing, r.held} {
		for _, k := range keys {
			out = append(out, Record{Key: k, Revision: revision, Deleted: true})
		}
	}
	return out
}

// stream is an open watch. It is read by the client's goroutine; silence ends its context.
type stream struct {
	at     *endpoint
	cancel context.CancelCauseFunc
	ctx    context.Context
	body   io.ReadCloser
	lines  *bufio.Scanner
	quiet  *time.Timer
	opened time.Time
	term   uint64 // that the answer named
}

func (s *stream) close() {
	s.quiet.Stop()
	s.cancel(nil)
	s.body.Close()
}

// watch opens a watch behind the view's revision. The answer that says so is read here: it tells whose history it is.
func (c *Client) watch() (*stream, error) {
	since := c.origin
	wait := silence - silence/5 + c.jitter(2*silence/5)
	s, a, err := ask(c, func(outer context.Context, at *endpoint) (*stream, error) {
		ctx, cancel := context.WithCancelCause(outer)
		s, err := c.open(ctx, at, since)
		if err != nil {
			cancel(nil)
			return nil, err
		}
		s.ctx, s.cancel = ctx, cancel
		s.quiet = time.AfterFunc(wait, func() { cancel(errSilent) })
		context.AfterFunc(ctx, func() { s.quiet.Stop() }) // where another attempt was faster
		return s, nil
	})
	if err != nil {
		return nil, err
	}
	context.AfterFunc(s.ctx, a.cancel) // the attempt's context ends with the stream's
	return s, nil
}

func (c *Client) open(ctx context.Context, at *endpoint, since origin) (*stream, error) {
	var q watchQuery
	q.Create.Key, q.Create.End = []byte(c.prefix), []byte(c.end)
	q.Create.Start = strconv.FormatInt(since.revision+1, 10)
	q.Create.Notes, q.Create.Fragment = true, true
	resp, err := c.post(ctx, at, "/v3/watch", q)
	if err != nil {
		return nil, err
	}
	s := &stream{at: at, body: resp.Body, lines: bufio.NewScanner(resp.Body), opened: time.Now()}
	s.lines.Buffer(nil, maxLine)
	m, err := c.next(s)
	s.term = m.origin.term
	switch {
	case err != nil:
	case m.canceled:
		err = refusal(m)
	case !m.created:
		err = errors.New("watch: not created")
	case m.origin.cluster != since.cluster, m.origin.term != since.term && c.sparse == nil, m.origin.revision < since.revision:
		err = verdict{errHistory}
	}
	if err != nil {
		resp.Body.Close()
		return nil, err
	}
	return s, nil
}

func refusal(m message) error {
	if m.compacted {
		return verdict{errCompacted}
	}
	return fmt.Errorf("watch: canceled: %.200q", m.reason)
}

// next reads a line.
func (c *Client) next(s *stream) (message, error) {
	for s.lines.Scan() {
		if len(s.lines.Bytes()) > 0 {
			return readMessage(s.lines.Bytes(), c.prefix, c.end)
		}
	}
	if err := s.lines.Err(); err != nil {
		return message{}, err
	}
	return message{}, errors.New("the store ended the watch")
}

// follow reads a watch until it ends.
func (c *Client) follow(s *stream) {
	c.partial = false
	c.resumed = c.resumed || s.term != c.origin.term // an election, or a store that began anew
	if c.resumed && !c.same(s) {
		return
	}
	c.health.Heard()
	for {
		select {
		case <-c.wanted:
			c.known, c.whole = false, true
			return
		default:
		}
		if !c.lookSparse(s) {
			return
		}
		if since := time.Since(c.looked); c.sparse == nil && !c.partial && (c.resumed && since >= looksApart || since >= lookEvery) {
			c.looked = time.Now() // also where it fails: the next look is soon enough
			s.quiet.Stop()
			if v := (verdict{}); errors.As(c.look(c.once(s.at)), &v) {
				c.judge(v)
				return
			}
			s.quiet.Reset(silence)
		}
		m, err := c.next(s)
		switch {
		case c.ctx.Err() != nil:
			return
		case err != nil && errors.Is(context.Cause(s.ctx), errSilent):
			c.failures, c.verdicts = 0, 0
			return // asked for anew, without a word
		case err != nil:
			if time.Since(s.opened) < sound {
				c.rested(s.at) // else it has served, and is likelier to serve again than those that have not
			}
			c.broke(s.at, err)
			return
		}
		s.quiet.Reset(silence)
		if m.canceled {
			if err := refusal(m); m.compacted {
				c.judge(err)
			} else {
				c.rested(s.at)
				c.broke(s.at, err)
			}
			return
		}
		if m.origin.cluster != c.origin.cluster || m.origin.revision < c.origin.revision {
			c.judge(errHistory)
			return
		}
		c.origin.term = m.origin.term // an election during a watch: the history goes on
		if time.Since(s.opened) >= sound {
			c.failures, c.verdicts = 0, 0
		}
		c.hear(m)
	}
}

// hear takes an answer's events, or a note, which has none and says that all up to its revision has been told.
func (c *Client) hear(m message) {
	if len(m.events) == 0 {
		if !m.created && !m.fragment {
			c.origin.revision = m.origin.revision
		}
		c.health.Heard()
		return
	}
	told := 0
	for told < len(m.events) && m.events[told].Revision <= c.origin.revision { // before
		told++
	}
	last := m.events[len(m.events)-1].Revision
	if m.fragment {
		last-- // more of this revision may come
	}
	c.origin.revision, c.partial = max(c.origin.revision, last), m.fragment
	if c.sparse != nil {
		for _, r := range m.events[max(told, len(m.events)-mostMarks):] {
			c.sparse.marks.add(r.Key, r.Revision)
		}
	}
	c.holder.Apply(false, c.origin.revision, m.events[told:])
}

// same asks, after a break and before an event is believed, whether the store still is the one that we followed: one
// that has lost its data and was written to since may be past our revision, and of the same term. The list is looked at
// whole, but where it is longer than a page and was looked at just now: then the number of keys and those written last
// are, at our revision. What that misses (as many keys deleted, but other ones) is found by the look that follows within
// looksApart.
func (c *Client) same(s *stream) bool {
	s.quiet.Stop() // it waits until we read again
	defer s.quiet.Reset(silence)
	var err error
	if c.sparse != nil {
		if err = c.proven(c.ask, c.origin); err == nil {
			c.resumed, c.origin.term = false, s.term
		}
	} else if c.holder.Len() <= c.page || time.Since(c.looked) >= looksApart {
		err = c.look(c.ask)
	} else {
		err = c.glance(c.ask, c.origin, gistOf(c.holder))
	}
	if err != nil {
		c.judge(err)
	}
	return err == nil
}

// lookSparse takes what is due of the looks at a long list, and says whether the watch may go on.
func (c *Client) lookSparse(s *stream) bool {
	if c.sparse == nil || c.partial {
		return true
	}
	for _, look := range []struct {
		due time.Time
		do  func(asker) error
	}{{c.sparse.review, c.review}, {c.sparse.slice, c.lookOn}} {
		if time.Now().Before(look.due) {
			continue
		}
		s.quiet.Stop()
		if v := (verdict{}); errors.As(look.do(c.once(s.at)), &v) {
			c.judge(v)
			return false
		}
		s.quiet.Reset(silence)
	}
	return true
}

// asker has one answer to a range read.
type asker func(q rangeQuery, from string) (page, int64, error)

// ask until there is an answer.
func (c *Client) ask(q rangeQuery, from string) (page, int64, error) {
	type part struct {
		page
		count int64
	}
	p, a, err := ask(c, func(ctx context.Context, at *endpoint) (part, error) {
		p, count, err := c.fetch(ctx, at, q, from)
		return part{p, count}, err
	})
	if err != nil {
		return page{}, 0, err
	}
	a.cancel()
	return p.page, p.count, nil
}

// once asks one endpoint, one time.
func (c *Client) once(at *endpoint) asker {
	return func(q rangeQuery, from string) (page, int64, error) {
		ctx, cancel := context.WithTimeout(c.ctx, eagerWait)
		defer cancel()
		return c.fetch(ctx, at, q, from)
	}
}

// gist of a list: what glance compares.
type gist struct {
	keys   int
	newest int64             // the last revision that wrote any of them
	at     map[string]uint32 // the sums of what it wrote
}

func (g *gist) add(key string, revision int64, sum uint32) {
	g.keys++
	if revision > g.newest {
		g.newest, g.at = revision, map[string]uint32{}
	}
	if revision == g.newest {
		g.at[key] = sum
	}
}

func gistOf(h Holder) (g gist) {
	for k := range h.Keys() {
		if revision, sum, ok := h.At(k); ok {
			g.add(k, revision, sum)
		}
	}
	return g
}

// glance compares the number of keys, and those of the last revision that wrote any, with the store at a revision.
func (c *Client) glance(ask asker, of origin, want gist) error {
	q := c.question(c.prefix, of.revision)
	q.Newer = strconv.FormatInt(want.newest, 10)
	p, count, err := ask(q, c.prefix)
	if err != nil {
		return err
	}
	if p.origin.cluster != of.cluster || p.origin.term != of.term || count != int64(want.keys) || !p.more && len(p.records) != len(want.at) {
		return verdict{errHistory}
	}
	for _, r := range p.records {
		if sum, ok := want.at[r.Key]; !ok || r.Revision != want.newest || sum != Sum(r.Value) {
			return verdict{errHistory}
		}
	}
	return nil
}

// look holds the list against all keys at its own revision. A difference is a verdict.
func (c *Client) look(ask asker) error {
	seen := 0
	for from, more := c.prefix, true; more; {
		p, _, err := ask(c.question(from, c.origin.revision), from)
		if err != nil {
			return err
		}
		if p.origin.cluster != c.origin.cluster {
			return verdict{errHistory}
		}
		for _, r := range p.records {
			if revision, sum, ok := c.holder.At(r.Key); !ok || revision != r.Revision || sum != Sum(r.Value) {
				return verdict{errHistory}
			}
			seen++
			from = r.Key + "\x00"
		}
		more = p.more
	}
	if seen != c.holder.Len() {
		return verdict{errHistory}
	}
	c.looked, c.resumed = time.Now(), false
	return nil
}
