package hollow

import (
	"errors"
	"fmt"
	"iter"
	"strconv"
	"strings"
	"time"

	"pewterrudder/internal/catalog"
	"pewterrudder/internal/config"
	"pewterrudder/internal/registry/kv"
	"pewterrudder/internal/tenants"
)

// Settings says what is played of entries of the catalog: all followers at once, each with the real follower of a
// key-value store and the real catalog and table of tenants. That calls go by what is in force is the reducer's, which
// these have not.
type Settings struct {
	Followers int           `json:"followers"`
	Whole     int           `json:"followers_of_whole_entries"`
	Entries   Entries       `json:"whole_entries"`
	Part      Entries       `json:"entries_of_the_rest"`
	Steady    time.Duration `json:"steady_ns"`
	Changes   int           `json:"changes"`
	Most      time.Duration `json:"most_ns"`
}

// follower is one balancer's entries. Its catalog is the goroutine's that follows the store.
type follower struct {
	index  int
	prefix string
	on     *board
	client *kv.Client
	held   *catalog.Catalog
}

func (f *follower) Len() int { return f.held.Len() }

func (f *follower) At(key string) (int64, uint32, bool) {
	return f.held.At(strings.TrimPrefix(key, f.prefix))
}

func (f *follower) Keys() iter.Seq[string] {
	return func(yield func(string) bool) {
		for key := range f.held.Keys() {
			if !yield(f.prefix + key) {
				return
			}
		}
	}
}

func (f *follower) Begin() {}

// Apply puts records in force. The board hears by which revision of its entry the route r0 is then followed.
func (f *follower) Apply(whole bool, revision int64, records []kv.Record) {
	out := make([]catalog.Record, 0, len(records))
	for _, r := range records {
		out = append(out, catalog.Record{Key: strings.TrimPrefix(r.Key, f.prefix), Value: r.Value, Revision: r.Revision, Deleted: r.Deleted})
	}
	f.held.Apply(whole, revision, out)
	if revision == 0 {
		return // more of a reading follows
	}
	if claim := f.held.View().Match(host(0), path(0), "GET", "look"); claim != nil {
		f.on.reach(f.index, claim.Revision)
	}
}

func (f *follower) Heard() {}

func (f *follower) Broke(error) {
	f.on.mu.Lock()
	defer f.on.mu.Unlock()
	f.on.ends++
}

// PlaySettings plays the start, the steady state and changes of one route's entry.
func PlaySettings(plan Settings, say speaker, progress func(string)) (*Result, error) {
	if plan.Whole > plan.Followers || plan.Followers < 1 || plan.Changes < 1 {
		return nil, errors.New("hollow: followers, some of them with whole entries, and a change are needed")
	}
	at, err := say("address")
	if err != nil {
		return nil, err
	}
	c := &crowd{say: say, on: newBoard(plan.Followers), result: &Result{Form: "settings", Settings: &plan}}
	c.plan.Balancers, c.plan.Most = plan.Followers, plan.Most
	var all []*follower
	defer func() {
		for _, f := range all {
			f.client.Close()
		}
	}()
	begin := func(i int) error {
		f := &follower{index: i, prefix: partPrefix, on: c.on, held: catalog.New([]string{"look", "order"}, new(tenants.Table))}
		if i < plan.Whole {
			f.prefix = wholePrefix
		}
		if _, err := f.held.Files([]config.Pool{{Name: "all"}}, nil); err != nil {
			return err
		}
		client, err := kv.Follow(kv.Settings{Endpoints: []string{at}, Prefix: f.prefix, Seed: uint64(i + 1)}, f, f)
		if err != nil {
			return err
		}
		f.client = client
		all = append(all, f)
		return nil
	}
	progress("all start")
	revision := int64(1)
	err = c.scene("all start and read their entries", upTo(0, plan.Followers), 1, 0, func() (time.Time, error) {
		at := time.Now()
		for i := range plan.Followers {
			if err := begin(i); err != nil {
				return at, err
			}
		}
		return at, nil
	}, func() int64 { return revision })
	if err != nil {
		return nil, err
	}
	progress("steady, nothing changes")
	if err := c.steady(plan.Steady); err != nil {
		return nil, err
	}
	progress("changes")
	err = c.scene(fmt.Sprintf("%d changes of one route's entry", plan.Changes), upTo(0, plan.Followers), plan.Changes, 1, func() (time.Time, error) {
		at := time.Now()
		answer, err := say("change")
		if err == nil {
			revision, err = strconv.ParseInt(answer, 10, 64)
		}
		return at, err
	}, func() int64 { return revision })
	if err != nil {
		return nil, err
	}
	c.result.finish()
	return c.result, nil
}
