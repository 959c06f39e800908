package node

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"pewterrudder/internal/router/protocol"
	"pewterrudder/internal/router/settings"
)

// Environment variables that make the test binary run as a router process.
const (
	processSettings  = "ROUTER_TEST_SETTINGS"
	processPartition = "ROUTER_TEST_PARTITION"
)

func TestMain(m *testing.M) {
	if path := os.Getenv(processSettings); path != "" {
		if err := runProcess(path, os.Getenv(processPartition)); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

// runProcess runs a router until SIGTERM.
func runProcess(path, partitionFile string) error {
	loaded, err := settings.Load(path)
	if err != nil {
		return err
	}
	terminated := make(chan os.Signal, 1)
	signal.Notify(terminated, syscall.SIGTERM)
	log := logrus.New()
	log.SetOutput(os.Stderr)
	running, err := Start(loaded, log, WithDial(watchPartition(loaded.IP, partitionFile).dial))
	if err != nil {
		return err
	}
	<-terminated
	running.Stop()
	return nil
}

// processFleet is a fleet of router processes on loopback addresses.
type processFleet struct {
	t             *testing.T
	partitionFile string
	routers       []*process
	// instances is the number of instances announced so far.
	instances int
}

// process is a machine of the fleet and, while it runs, its router process.
type process struct {
	fleet    *processFleet
	settings *settings.Settings
	command  *exec.Cmd
}

// startProcesses starts a fleet in which the first machines, as many as disks says, have a data directory.
func startProcesses(t *testing.T, count, disks int, changes ...func(*settings.Settings)) *processFleet {
	t.Helper()
	folder := t.TempDir()
	fleet := &processFleet{t: t, partitionFile: filepath.Join(folder, "partition")}
	network := randomLoopbackPrefix()
	var seeds []string
	for i := range 3 {
		seeds = append(seeds, fmt.Sprintf("%s%d:7205", network, 1+i))
	}
	for i := range count {
		directory := ""
		if i < disks {
			directory = filepath.Join(folder, fmt.Sprint("disk-", i))
		}
		s := routerSettings(fmt.Sprint("router-", 1+i), fmt.Sprintf("%s%d", network, 1+i), seeds, directory)
		s.CountsForQuorum = i < disks
		s.Tolerate.Machines = max(0, disks-1) / 2
		s.HeartbeatMs = 1000
		for _, change := range changes {
			change(s)
		}
		fleet.routers = append(fleet.routers, &process{fleet: fleet, settings: s})
	}
	t.Cleanup(func() { fleet.kill(fleet.routers...) })
	for _, router := range fleet.routers {
		router.start()
	}
	return fleet
}

// start starts the machine's process with its current settings.
func (router *process) start() {
	t := router.fleet.t
	t.Helper()
	if router.settings.DataDir != "" {
		assert.NilError(t, os.MkdirAll(router.settings.DataDir, 0o700))
	}
	text, err := toml.Marshal(router.settings)
	assert.NilError(t, err)
	path := filepath.Join(filepath.Dir(router.fleet.partitionFile), router.settings.Node+".toml")
	assert.NilError(t, os.WriteFile(path, text, 0o600))
	router.command = exec.Command(os.Args[0])
	router.command.Env = append(os.Environ(), processSettings+"="+path, processPartition+"="+router.fleet.partitionFile)
	router.command.Stderr = io.Discard
	assert.NilError(t, router.command.Start())
}

// kill ends processes with SIGKILL.
func (fleet *processFleet) kill(routers ...*process) {
	for _, router := range routers {
		if router.command != nil {
			_ = router.command.Process.Kill()
		}
	}
	for _, router := range routers {
		if router.command != nil {
			_ = router.command.Wait()
			router.command = nil
		}
		router.settings.Bootstrap = false
	}
}

// wipeDisk removes the machine's data directory.
func (router *process) wipeDisk() {
	assert.NilError(router.fleet.t, os.RemoveAll(router.settings.DataDir))
}

// setPartition splits the fleet into groups of machines that reach only each other. Machines in no group reach each
// other. No groups at all end the partition.
func (fleet *processFleet) setPartition(groups ...[]*process) {
	var lists [][]string
	for _, group := range groups {
		var list []string
		for _, router := range group {
			list = append(list, router.settings.IP)
		}
		lists = append(lists, list)
	}
	assert.NilError(fleet.t, writePartition(fleet.partitionFile, lists...))
}

// awaitPartition waits until all processes have applied the partition, and until the given routers no longer answer.
// The second condition alone is not enough, since routers may also fail to answer on an overloaded machine.
func (fleet *processFleet) awaitPartition(routers ...*process) {
	fleet.t.Helper()
	wanted, err := os.ReadFile(fleet.partitionFile)
	assert.NilError(fleet.t, err)
	for _, router := range fleet.routers {
		fleet.waitFor("the partition to be applied at "+router.settings.Node, func() bool {
			applied, _ := os.ReadFile(appliedPath(fleet.partitionFile, router.settings.IP))
			return bytes.Equal(applied, wanted)
		})
	}
	for _, router := range routers {
		fleet.waitFor("no more answers from "+router.settings.Node, func() bool {
			status, _ := router.read()
			return isUnavailable(status)
		})
	}
}

// operatorClient is an HTTP client with a short timeout.
var operatorClient = http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// send makes a control call of an operator or an instance. The status is zero without an answer.
func (router *process) send(method, path string, base int, body string) (int, string) {
	call, err := http.NewRequest(method, "http://"+router.settings.Listen.Control+path, strings.NewReader(body))
	assert.NilError(router.fleet.t, err)
	call.Header.Set(protocol.HeaderBaseRevision, fmt.Sprint(base))
	answer, err := operatorClient.Do(call)
	if err != nil {
		return 0, ""
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		return 0, ""
	}
	return answer.StatusCode, string(text)
}

func configurationOf(generation int) string {
	return strings.Replace(poolConfiguration, `"generation":7`, fmt.Sprintf(`"generation":%d`, generation), 1)
}

// put sends a configuration change once and returns the HTTP status.
func (router *process) put(base, generation int) int {
	status, _ := router.send(http.MethodPost, protocol.PathConfigPut, base, configurationOf(generation))
	return status
}

// mustPut sends a configuration change until it is acknowledged.
func (router *process) mustPut(base, generation int) {
	t := router.fleet.t
	t.Helper()
	router.mustPutBody(base, configurationOf(generation))
}

// mustPutBody sends a complete configuration until it is acknowledged.
func (router *process) mustPutBody(base int, body string) {
	router.fleet.t.Helper()
	router.fleet.waitFor(fmt.Sprintf("the acknowledgement of a change on %d", base), func() bool {
		status, _ := router.send(http.MethodPost, protocol.PathConfigPut, base, body)
		return status == http.StatusOK
	})
}

// read requests the configuration once.
func (router *process) read() (status, generation int) {
	status, text := router.send(http.MethodGet, protocol.PathConfigGet, 0, "")
	if status == http.StatusOK {
		_, err := fmt.Sscanf(text[strings.Index(text, `"generation":`):], `"generation":%d`, &generation)
		assert.NilError(router.fleet.t, err)
	}
	return status, generation
}

// mustReadAny requests the configuration until one is returned, and returns its generation.
func (router *process) mustReadAny() int {
	router.fleet.t.Helper()
	generation := 0
	router.fleet.waitFor("the configuration at "+router.settings.Node, func() bool {
		status, found := router.read()
		generation = found
		return status == http.StatusOK
	})
	return generation
}

// mustRead requests the configuration until one is returned, and checks its generation.
func (router *process) mustRead(generation int) {
	router.fleet.t.Helper()
	assert.Equal(router.fleet.t, router.mustReadAny(), generation, router.settings.Node)
}

func (fleet *processFleet) waitFor(what string, isSo func() bool) {
	fleet.t.Helper()
	poll.WaitOn(fleet.t, func(poll.LogT) poll.Result {
		if !isSo() {
			return poll.Continue("waiting for %s", what)
		}
		return poll.Success()
	}, poll.WithTimeout(waitTimeout), poll.WithDelay(50*time.Millisecond))
}
