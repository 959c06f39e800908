package kv

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"iter"
	"maps"
	"net/http"
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
		if !c.known {
			c.snapshot()
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

// fetch reads one page from a key on, at a revision, 0 for the present.
func (c *Client) fetch(ctx context.Context, at *endpoint, from string, revision int64) (page, error) {
	raw, err := c.read(ctx, at, c.question(from, revision))
	if err != nil {
		return page{}, err
	}
	return readPage(raw, from, c.end)
}

// snapshot reads all pages at the revision of the first and tells what they bring.
func (c *Client) snapshot() {
	c.reading++
	var first origin
	cuts := c.cuts
	var news []change
	var at *endpoint
	for from, more := c.prefix, true; more; {
		p, a, err := ask(c, func(ctx context.Context, at *endpoint) (page, error) { return c.fetch(ctx, at, from, first.revision) })
		if err == nil {
			a.cancel()
			at = a.at
		} else {
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
		for _, r := range p.records {
			was := c.view.keys[r.key]
			switch h := c.view.read(r); {
			case r.mod > first.revision:
				c.judge(errHistory) // not at the revision that was asked for
				return
			case !c.whole && was != nil && was.mod == h.mod && was.sum == h.sum:
				was.seen = c.reading
			case !c.whole && r.mod <= c.origin.revision:
				c.judge(errHistory) // we followed up to there, and it was never told
				return
			default:
				news = append(news, change{r.key, h})
			}
			from = r.key + "\x00"
		}
		more = p.more
	}
	whole := c.whole
	if cuts != c.cuts && !(whole && c.glance(at, first, whatOf(each(news))) == nil) {
		c.pause(&c.verdicts)
		return
	}
	c.origin, c.known, c.whole, c.looked, c.resumed = first, true, false, time.Now(), false
	if whole {
		c.view.refill(news)
		c.sink.Said(true, first.revision, c.view.whole())
		return
	}
	c.tell(c.view.turn(news, c.reading))
}

func each(news []change) iter.Seq2[string, *held] {
	return func(yield func(string, *held) bool) {
		for _, n := range news {
			if !yield(n.key, n.held) {
				return
			}
		}
	}
}

// tell changes, or that there are none.
func (c *Client) tell(entries []Entry) {
	if len(entries) == 0 {
		c.sink.Heard()
		return
	}
	c.sink.Said(false, c.origin.revision, entries)
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
	switch {
	case err != nil:
	case m.canceled:
		err = refusal(m)
	case !m.created:
		err = errors.New("watch: not created")
	case m.origin.cluster != since.cluster, m.origin.term != since.term, m.origin.revision < since.revision:
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
	if c.resumed && !c.same(s) {
		return
	}
	c.sink.Heard()
	for {
		if since := time.Since(c.looked); !c.partial && (c.resumed && since >= looksApart || since >= lookEvery) {
			c.looked = time.Now() // also where it fails: the next look is soon enough
			if v := (verdict{}); errors.As(c.look(s.at), &v) {
				c.judge(v)
				return
			}
		}
		m, err := c.next(s)
		switch {
		case c.ctx.Err() != nil:
			return
		case err != nil && errors.Is(context.Cause(s.ctx), errSilent):
			c.failures, c.verdicts = 0, 0
			return // asked for anew, without a word
		case err != nil:
			c.broke(s.at, err)
			return
		}
		s.quiet.Reset(silence)
		if m.canceled {
			if err := refusal(m); m.compacted {
				c.judge(err)
			} else {
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
		c.sink.Heard()
		return
	}
	var out []Entry
	for _, r := range m.events {
		switch {
		case r.mod <= c.origin.revision: // told before
		case r.deleted:
			out = c.view.drop(r.key, out)
		default:
			out = c.view.put(r.key, c.view.read(r), out)
		}
	}
	last := m.events[len(m.events)-1].mod
	if m.fragment {
		last-- // more of this revision may come
	}
	c.origin.revision, c.partial = max(c.origin.revision, last), m.fragment
	c.tell(out)
}

// same asks, after a break and before an event is believed, whether the store still is the one that we followed: one
// that has lost its data and was written to since may be past our revision, and of the same term. A list of one page is
// looked at whole. Of a longer one the number of keys and those written last are, at our revision; what that misses (as
// many keys deleted, but other ones) is found by the look that follows within looksApart.
func (c *Client) same(s *stream) bool {
	err := error(nil)
	if len(c.view.keys) <= c.page {
		err = c.look(s.at)
	} else {
		err = c.glance(s.at, c.origin, whatOf(maps.All(c.view.keys)))
	}
	if err == nil {
		return true
	}
	if v := (verdict{}); errors.As(err, &v) {
		c.judge(v)
	} else if c.ctx.Err() == nil {
		c.broke(s.at, err)
	}
	return false
}

// gist of a list: what glance compares.
type gist struct {
	keys   int
	newest int64 // the last revision that wrote any of them
	at     map[string]*held
}

func whatOf(all iter.Seq2[string, *held]) (g gist) {
	for k, h := range all {
		g.keys++
		if h.mod > g.newest {
			g.newest, g.at = h.mod, map[string]*held{}
		}
		if h.mod == g.newest {
			g.at[k] = h
		}
	}
	return g
}

// glance compares the number of keys, and those of the last revision that wrote any, with the store at a revision.
func (c *Client) glance(at *endpoint, of origin, want gist) error {
	q := c.question(c.prefix, of.revision)
	q.Newer = strconv.FormatInt(want.newest, 10)
	ctx, cancel := context.WithTimeout(c.ctx, eagerWait)
	defer cancel()
	raw, err := c.read(ctx, at, q)
	if err != nil {
		return err
	}
	p, count, err := readPart(raw, c.prefix, c.end)
	if err != nil {
		return err
	}
	if p.origin.cluster != of.cluster || p.origin.term != of.term || count != int64(want.keys) || !p.more && len(p.records) != len(want.at) {
		return verdict{errHistory}
	}
	for _, r := range p.records {
		if h := want.at[r.key]; h == nil || h.mod != r.mod || h.sum != sumOf(r.value) {
			return verdict{errHistory}
		}
	}
	return nil
}

// look holds the view against all keys at its own revision. A difference is a verdict.
func (c *Client) look(at *endpoint) error {
	seen := 0
	for from, more := c.prefix, true; more; {
		ctx, cancel := context.WithTimeout(c.ctx, eagerWait)
		p, err := c.fetch(ctx, at, from, c.origin.revision)
		cancel()
		if err != nil {
			return err
		}
		if p.origin.cluster != c.origin.cluster {
			return verdict{errHistory}
		}
		for _, r := range p.records {
			if h := c.view.keys[r.key]; h == nil || h.mod != r.mod || h.sum != sumOf(r.value) {
				return verdict{errHistory}
			}
			seen++
			from = r.key + "\x00"
		}
		more = p.more
	}
	if seen != len(c.view.keys) {
		return verdict{errHistory}
	}
	c.looked, c.resumed = time.Now(), false
	return nil
}
