package fleet

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"pewterrudder/internal/config"
	"pewterrudder/internal/fleet/peers"
)

// Cost is what one idle process takes that hears so many others.
type Cost struct {
	Peers   int     `json:"peers"` // below 0: it has no address for them, and no socket
	CPU     float64 `json:"cpu_ms_per_s"`
	Peak    int     `json:"peak_kb"`
	Own     int     `json:"anonymous_kb"`
	Threads int     `json:"threads"`
	Files   int     `json:"descriptors"`
	Packets float64 `json:"packets_per_s"` // that it sends
	Bytes   float64 `json:"bytes_per_s"`
	Views   float64 `json:"views_bytes_per_s"` // of whole views, which go in streams
}

// idleSettings are those of a process that nobody calls.
const idleSettings = `{"name": "idle", "listen": %q, "discovery": "127.0.0.1:9", "control": %q, "seed": "1", "limits": {"memory_mb": 64, "sockets": 384},
	"settings": {"balancers": 100, "zone": "a", "discovery": "ask", "weights": "off", "worth_by": "work", "stats": {"how": "off"}, "prices": {}, "tenants": [],
	"categories": [{"name": "look", "semantics": "safe", "dedup_scope": "all", "window_ms": 0, "aim_ms": 100, "deadline_ms": 500, "importance": 1}],
	"limits": {"max_attempts": 3, "connect_timeout_ms": 75, "idle_close_ms": 60000, "streams_per_conn": 1},
	"rules": {"grace_ms": 58, "drain_grace_ms": 2000, "ask_every_ms": 10000, "cold_from": 0.2, "cold_ms": 20000, "overload_factor": 3, "fall_ms": 2000}}}`

// MeasurePeers runs one process among so many members, which live in the lab, and measures it for a while once it knows them all.
func MeasurePeers(ctx context.Context, program string, n int, during time.Duration) (c Cost, err error) {
	c.Peers = n
	dir, err := os.MkdirTemp("", "rudderlab-cost-")
	if err != nil {
		return c, err
	}
	defer os.RemoveAll(dir)
	ports := make([]string, 2) // clients' and control
	for i := range ports {
		lis, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return c, err
		}
		ports[i] = lis.Addr().String()
		lis.Close()
	}
	key := base64.StdEncoding.EncodeToString([]byte("of the lab alone"))
	member := func(i int) string { return fmt.Sprintf("127.108.%d.%d:%d", byte(os.Getpid()), 1+i%250, 20000+i) }
	set := config.Peers{Site: "cost", Keys: []string{key}, Seeds: []string{member(1)}, Least: 0.25, Most: 4}
	sections := map[string]any{}
	if n >= 0 {
		set.Address = member(0)
		sections["peers"] = set
	}
	text, _ := json.Marshal(sections)
	conf, settings := filepath.Join(dir, "config.json"), filepath.Join(dir, "settings.json")
	if err := errors.Join(os.WriteFile(conf, fmt.Appendf(nil, idleSettings, ports[0], ports[1]), 0o600), os.WriteFile(settings, text, 0o600)); err != nil {
		return c, err
	}
	crowd, err := gather(ctx, n, member, set)
	defer crowd.close()
	if err != nil {
		return c, err
	}
	cmd := exec.CommandContext(ctx, program)
	cmd.Env = append(os.Environ(), "RELAY_CONFIG="+conf, config.SettingsVariable+"="+settings, "TMPDIR="+dir)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return c, err
	}
	defer func() { cmd.Process.Kill(); cmd.Wait() }()
	for until := time.Now().Add(time.Minute); ; time.Sleep(100 * time.Millisecond) {
		f, err := figuresAt(ctx, ports[1])
		if err == nil && f.Peers.Live >= n {
			break
		}
		if time.Now().After(until) || ctx.Err() != nil {
			return c, fmt.Errorf("it knows %d of %d members: %v", f.Peers.Live, n, err)
		}
	}
	crowd.heard(member(0))
	time.Sleep(2 * time.Second) // what is left of the joins
	if n > 0 {
		during = max(during, 2*peers.ExchangePause(n+1)) // so that whole views are among what is measured
	}
	before, err := figuresAt(ctx, ports[1])
	if err != nil {
		return c, err
	}
	used, began := cpuOf(cmd.Process.Pid), time.Now()
	time.Sleep(during)
	took := time.Since(began).Seconds()
	c.CPU = 1000 * (cpuOf(cmd.Process.Pid) - used) / took
	after, err := figuresAt(ctx, ports[1])
	for i := 0; err != nil && i < 5; i++ { // it closes on callers who come when it has no core
		time.Sleep(time.Second)
		after, err = figuresAt(ctx, ports[1])
	}
	if err != nil {
		return c, fmt.Errorf("its figures at the end: %w", err)
	}
	c.Packets, c.Bytes = float64(after.Counts.Packets-before.Counts.Packets)/took, float64(after.Counts.Bytes-before.Counts.Bytes)/took
	c.Views = float64(after.Counts.Views-before.Counts.Views) / took
	proc := filepath.Join("/proc", strconv.Itoa(cmd.Process.Pid))
	status, err := os.ReadFile(filepath.Join(proc, "status"))
	if err != nil {
		return c, err
	}
	for _, line := range strings.Split(string(status), "\n") {
		for name, to := range map[string]*int{"VmHWM:": &c.Peak, "RssAnon:": &c.Own, "Threads:": &c.Threads} {
			if rest, ok := strings.CutPrefix(line, name); ok {
				fmt.Sscan(rest, to)
			}
		}
	}
	files, err := os.ReadDir(filepath.Join(proc, "fd"))
	c.Files = len(files)
	return c, err
}

// figures are those of the second address that count here.
type figures struct {
	Peers  struct{ Live int } `json:"peers"`
	Counts struct {
		Packets, Bytes uint64
		Views          uint64 `json:"views_bytes"`
	} `json:"peers_counts"`
}

func figuresAt(ctx context.Context, at string) (f figures, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+at+"/v1/metrics", nil)
	if err != nil {
		return f, err
	}
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return f, err
	}
	defer resp.Body.Close()
	return f, json.NewDecoder(resp.Body).Decode(&f)
}

// cpuOf is the processor time that a process has had, in seconds, off its threads' own clocks.
func cpuOf(pid int) (s float64) {
	stats, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	for _, path := range stats {
		raw, _ := os.ReadFile(path)
		var ns float64
		if n, _ := fmt.Sscan(string(raw), &ns); n == 1 {
			s += ns / 1e9
		}
	}
	return s
}
