package flowrig

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// Class is a class of calls in a balancer's settings.
type Class struct {
	Name      string
	Semantics string // safe, keyed or unsafe
	Deadline  time.Duration
}

// Setup is what a balancer is told.
type Setup struct {
	Nodes    []string // addresses
	Classes  []Class
	MemoryMB int
	Sockets  int
	Attempts int
	Copies   bool   // second copies are allowed
	Settings string // the operators' settings file; empty: none

	ConnectTimeout time.Duration // of connections to app nodes; zero: DefaultConnectTimeout

	Discovery string // its address; empty: nowhere, so that the known list is all
}

// DefaultConnectTimeout is how long a balancer's attempt to connect lasts where a Setup says nothing.
const DefaultConnectTimeout = 5 * time.Second

// Bulk is a class for measurements: long enough for any of them.
var Bulk = Class{Name: "bulk", Semantics: "safe", Deadline: 2 * time.Minute}

// Config is the configuration file of a balancer that listens there.
func (s Setup) Config(listen string) string {
	type object = map[string]any
	var members, classes []object
	for i, addr := range s.Nodes {
		members = append(members, object{"id": "s-" + strconv.Itoa(i+1), "host_port": addr, "locality": "a",
			"phase": "Ready", "size": 1})
	}
	for _, c := range s.Classes {
		classes = append(classes, object{"name": c.Name, "semantics": c.Semantics, "window_ms": 60000,
			"aim_ms": c.Deadline.Milliseconds() / 2, "deadline_ms": c.Deadline.Milliseconds(), "importance": 1})
	}
	connectTimeout := s.ConnectTimeout
	if connectTimeout == 0 {
		connectTimeout = DefaultConnectTimeout
	}
	discovery := s.Discovery
	if discovery == "" {
		discovery = "127.0.0.1:1"
	}
	text, _ := json.MarshalIndent(object{"name": "n1", "listen": listen, "discovery": discovery, "seed": "8c1f",
		"limits": object{"cores": 1, "memory_mb": s.MemoryMB, "sockets": s.Sockets},
		"known":  object{"revision": 1, "complete": true, "members": members},
		"settings": object{"balancers": 1, "zone": "a", "discovery": "ask", "weights": "off", "categories": classes,
			"limits": object{"cancel": true, "second_copies": s.Copies, "max_attempts": s.Attempts,
				"connect_timeout_ms": connectTimeout.Milliseconds(), "idle_close_ms": 60000, "retry_after": true, "max_retry_after_ms": 500},
			"rules": object{"ask_every_ms": 10000},
			"stats": object{"how": "inline", "columns": []string{"utilization", "backlog"}}}}, "", " ")
	return string(text)
}

// Process is a child process, ended by Stop.
type Process struct {
	Addr string // where it listens

	cmd    *exec.Cmd
	dir    string
	stderr *tail
	ended  chan struct{} // closed once it has; nil: Stop waits for it
}

// StartBalancer runs a balancer's program and returns once it is ready.
func StartBalancer(program string, s Setup) (*Process, error) {
	addr, err := FreeAddr()
	if err != nil {
		return nil, err
	}
	return StartConfigured(program, addr, []byte(s.Config(addr)), []byte(s.Settings), 10*time.Second)
}

// StartConfigured does the same with the text of a configuration file, which has it listen at addr, and of a settings file,
// if there is any.
func StartConfigured(program, addr string, config, settings []byte, patience time.Duration) (*Process, error) {
	dir, err := os.MkdirTemp("", "flowrig-")
	if err != nil {
		return nil, err
	}
	p := &Process{Addr: addr, cmd: exec.Command(program), dir: dir, stderr: new(tail)}
	p.cmd.Env = append(os.Environ(), "RELAY_CONFIG="+filepath.Join(dir, configFile), "GODEBUG=")
	if len(settings) > 0 {
		p.cmd.Env = append(p.cmd.Env, "RUDDER_SETTINGS="+filepath.Join(dir, settingsFile))
	}
	p.cmd.Stderr = p.stderr
	if err = p.Configure(config, settings); err == nil {
		err = p.cmd.Start()
	}
	if err != nil {
		os.RemoveAll(dir)
		return nil, err
	}
	p.ended = make(chan struct{})
	go func() {
		p.cmd.Wait()
		close(p.ended)
	}()
	if err = waitReady(addr, patience, p.ended); err != nil {
		p.Stop()
		return nil, fmt.Errorf("%s: %w: %s", program, err, p.stderr)
	}
	return p, nil
}

// The files that a balancer is started with, in its folder.
const (
	configFile   = "config.json"
	settingsFile = "settings.json"
)

// Configure writes the files anew, the second only where there is one; Reload has the balancer read them.
func (p *Process) Configure(config, settings []byte) error {
	err := os.WriteFile(filepath.Join(p.dir, configFile), config, 0o600)
	if err == nil && len(settings) > 0 {
		err = os.WriteFile(filepath.Join(p.dir, settingsFile), settings, 0o600)
	}
	return err
}

// Reload tells the process that its files have changed.
func (p *Process) Reload() error { return p.cmd.Process.Signal(syscall.SIGHUP) }

// WaitReady asks until the balancer there says that it can serve.
func WaitReady(addr string, patience time.Duration) error { return waitReady(addr, patience, nil) }

// waitReady does so until the process has ended, where somebody tells.
func waitReady(addr string, patience time.Duration, ended <-chan struct{}) error {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for until := time.Now().Add(patience); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		select {
		case <-ended:
			return errors.New("it has ended")
		default:
		}
		resp, err := client.Get("http://" + addr + "/health/ready")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
	}
	return errors.New("never ready")
}

// Stop asks the process to end, and kills it where it does not.
func (p *Process) Stop() {
	p.cmd.Process.Signal(syscall.SIGTERM)
	late := time.AfterFunc(5*time.Second, func() { p.cmd.Process.Kill() })
	if p.ended != nil {
		<-p.ended
	} else {
		p.cmd.Wait()
	}
	late.Stop()
	if p.dir != "" {
		os.RemoveAll(p.dir)
	}
}

// Log is the end of what the process said.
func (p *Process) Log() string { return p.stderr.String() }

// tail keeps the last of what is written to it.
type tail struct {
	mu   sync.Mutex
	text []byte
}

const tailed = 4 << 10

func (t *tail) Write(p []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.text = append(t.text, p...)
	if len(t.text) > 2*tailed {
		t.text = append([]byte(nil), t.text[len(t.text)-tailed:]...)
	}
	return len(p), nil
}

func (t *tail) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return string(bytes.TrimSpace(t.text))
}
