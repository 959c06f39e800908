package eureka

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Self is the balancer's own instance.
type Self struct {
	App, ID  string
	Host, IP string
	Port     int
	VIP      string // else the app's name
	Metadata map[string]string
	Renew    time.Duration // between renewals of the lease
	Lease    time.Duration // without a renewal, until the registry may drop it
}

const (
	// defaultRenew and defaultLease are the published client's; the server's self-preservation counts on them.
	defaultRenew = 30 * time.Second
	defaultLease = 90 * time.Second
	// selfPatience bounds one call that shows the balancer. It may wait: no client's call depends on it.
	selfPatience = 4 * time.Second
	selfPause    = time.Second // after a failure; up to eight times that
	// leavePatience bounds the leaving at the end, over all addresses: the lease runs out without it as well.
	leavePatience = 2 * time.Second
)

func (s *Self) key() string { return strings.ToUpper(s.App) + "/" + s.ID }

func (s *Self) check() error {
	switch {
	case s.App == "" || strings.ContainsAny(s.App, "/ "):
		return fmt.Errorf("self.app: %q is no name", s.App)
	case s.ID == "" || strings.ContainsAny(s.ID, "/ "):
		return fmt.Errorf("self.id: %q is no id", s.ID)
	case s.Port < 1 || s.Port > 65535:
		return fmt.Errorf("self.port: %d is out of range", s.Port)
	case cmp.Or(s.Host, s.IP) == "":
		return errors.New("self.host: neither host nor ip is given")
	case s.Renew < 0 || s.Lease < 0 || s.Lease > 0 && s.Lease < 2*cmp.Or(s.Renew, defaultRenew):
		return errors.New("self.lease: it must be twice renew at the least")
	}
	return nil
}

// Status of the balancer itself.
type Status = status

// What the balancer may show.
const (
	Starting     Status = starting
	Serving      Status = up
	OutOfService Status = outOfService // while it drains
)

// Show tells neighbours the balancer's status; it begins as Starting. The latest counts, and it returns at once.
func (c *Client) Show(s Status) {
	if c.self != nil {
		c.self.show(s)
	}
}

// presence shows the balancer: one call at a time.
type presence struct {
	c     *Client
	self  Self
	rnd   *rand.Rand
	wake  chan struct{}
	mu    sync.Mutex
	wants status

	shown   status
	there   bool // the registry knows of it, as far as we know
	dirty   int64
	address int
}

func newPresence(c *Client, self *Self) *presence {
	p := &presence{c: c, self: *self, rnd: rand.New(rand.NewPCG(c.set.Seed, 0x5e1f)), wake: make(chan struct{}, 1), wants: starting}
	p.self.Renew = cmp.Or(p.self.Renew, defaultRenew)
	p.self.Lease = cmp.Or(p.self.Lease, max(defaultLease, 3*p.self.Renew))
	p.self.VIP = cmp.Or(p.self.VIP, strings.ToLower(p.self.App))
	p.self.Host = cmp.Or(p.self.Host, p.self.IP)
	p.self.IP = cmp.Or(p.self.IP, p.self.Host)
	return p
}

func (p *presence) show(s status) {
	p.mu.Lock()
	p.wants = s
	p.mu.Unlock()
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

func (p *presence) wanted() status {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.wants
}

func (p *presence) run() {
	defer p.leave()
	timer := time.NewTimer(0)
	defer timer.Stop()
	failed := 0
	for {
		select {
		case <-p.c.ctx.Done():
			return
		case <-p.wake:
			if p.there && p.wanted() == p.shown {
				continue
			}
		case <-timer.C:
		}
		ctx, cancel := context.WithTimeout(p.c.ctx, selfPatience)
		err := p.turn(ctx)
		cancel()
		pause := p.self.Renew
		if err != nil {
			if p.c.ctx.Err() != nil {
				return
			}
			failed++
			if failed == 1 {
				p.c.note("%s: showing the balancer: %v", p.c.redacted[p.address], err)
			}
			p.address = (p.address + 1) % len(p.c.set.Addresses)
			pause = min(selfPause<<min(failed-1, 3), p.self.Renew)
		} else {
			failed = 0
		}
		timer.Reset(time.Duration(float64(pause) * (0.9 + 0.2*p.rnd.Float64())))
	}
}

// turn renews the lease; where the registry does not know us, or knows another status, it registers. A status is shown
// by registering anew, as the published client does: PUT .../status is an operator's override, and outlives the process.
func (p *presence) turn(ctx context.Context) error {
	wants := p.wanted()
	if p.there && wants == p.shown {
		q := url.Values{"status": {statusNames[wants]}, "lastDirtyTimestamp": {strconv.FormatInt(p.dirty, 10)}}
		code, err := p.call(ctx, http.MethodPut, p.path()+"?"+q.Encode(), nil)
		if err != nil {
			return err
		}
		switch {
		case code == http.StatusNotFound:
			p.there = false // it has lost its memory, or our lease ran out
		case code/100 == 2:
			return nil
		default:
			return refused{code: code}
		}
	}
	dirty := max(time.Now().UnixMilli(), p.dirty+1)
	body, err := p.body(wants, dirty)
	if err != nil {
		return err
	}
	code, err := p.call(ctx, http.MethodPost, "/apps/"+url.PathEscape(strings.ToUpper(p.self.App)), body)
	if err != nil {
		return err
	}
	if code/100 != 2 {
		return refused{code: code}
	}
	p.there, p.shown, p.dirty = true, wants, dirty
	return nil
}

func (p *presence) path() string {
	return "/apps/" + url.PathEscape(strings.ToUpper(p.self.App)) + "/" + url.PathEscape(p.self.ID)
}

// leave takes the balancer out of the registry, at the address that knows it and, if that fails, at the others.
func (p *presence) leave() {
	if p.dirty == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), leavePatience)
	defer cancel()
	n := len(p.c.set.Addresses)
	for range n {
		one, end := context.WithTimeout(ctx, leavePatience/time.Duration(n))
		code, err := p.call(one, http.MethodDelete, p.path(), nil)
		end()
		if err == nil && (code/100 == 2 || code == http.StatusNotFound) {
			return
		}
		p.address = (p.address + 1) % n
	}
	p.c.note("the balancer could not leave: its lease runs out in %v", p.self.Lease)
}

func (p *presence) call(ctx context.Context, method, path string, body []byte) (int, error) {
	req, err := http.NewRequestWithContext(ctx, method, p.c.set.Addresses[p.address]+path, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Accept", "application/json")
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := p.c.client.Do(req)
	if err != nil {
		return 0, plain(err)
	}
	defer resp.Body.Close()
	io.CopyN(io.Discard, resp.Body, 64<<10)
	return resp.StatusCode, nil
}

func (p *presence) body(s status, dirty int64) ([]byte, error) {
	port := func(n int, on bool) map[string]any {
		return map[string]any{"$": n, "@enabled": strconv.FormatBool(on)}
	}
	at := "http://" + p.self.Host + ":" + strconv.Itoa(p.self.Port) + "/"
	meta := p.self.Metadata
	if meta == nil {
		meta = map[string]string{}
	}
	return json.Marshal(map[string]any{"instance": map[string]any{
		"instanceId": p.self.ID, "app": strings.ToUpper(p.self.App), "hostName": p.self.Host, "ipAddr": p.self.IP,
		"vipAddress": p.self.VIP, "secureVipAddress": p.self.VIP, "status": statusNames[s], "overriddenStatus": "UNKNOWN",
		"port": port(p.self.Port, true), "securePort": port(443, false), "countryId": 1,
		"homePageUrl": at, "statusPageUrl": at + "health/ready", "healthCheckUrl": at + "health/ready",
		"dataCenterInfo": map[string]any{
			"@class": "com.netflix.appinfo.InstanceInfo$DefaultDataCenterInfo", "name": "MyOwn"},
		"leaseInfo": map[string]any{
			"renewalIntervalInSecs": seconds(p.self.Renew), "durationInSecs": seconds(p.self.Lease)},
		"metadata":             meta,
		"lastDirtyTimestamp":   strconv.FormatInt(dirty, 10),
		"lastUpdatedTimestamp": strconv.FormatInt(dirty, 10),
		"actionType":           "ADDED",
	}})
}

func seconds(d time.Duration) int { return max(1, int((d+time.Second-1)/time.Second)) }
