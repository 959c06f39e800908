package mixedbuilds

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pewterrudder/internal/lab/flowrig"
)

// shortFolder is a folder whose path leaves room for a socket's name.
func shortFolder(t *testing.T) string {
	t.Helper()
	folder, err := os.MkdirTemp("", "mixed")
	assert.NilError(t, err)
	t.Cleanup(func() { os.RemoveAll(folder) })
	return folder
}

// startBalancer runs a balancer over two app servers with a settings file.
func startBalancer(t *testing.T, program, settings string) *flowrig.Process {
	t.Helper()
	p, err := flowrig.StartBalancer(program, flowrig.Setup{
		Nodes: []string{appServer(t), appServer(t)}, Classes: []flowrig.Class{flowrig.Bulk}, MemoryMB: 64, Sockets: 256,
		Attempts: 3, Settings: settings,
	})
	assert.NilError(t, err)
	t.Cleanup(func() { p.Stop() })
	return p
}

func appServer(t *testing.T) string {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "answer") }))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// tool runs rudderctl of a build at the socket in a state folder.
func tool(t *testing.T, b build, folder string, arguments ...string) string {
	t.Helper()
	out, err := exec.Command(b.program("rudderctl"), append([]string{"--socket", filepath.Join(folder, "control.sock")}, arguments...)...).CombinedOutput()
	assert.NilError(t, err, "rudderctl %v: %s", arguments, out)
	return string(out)
}

// withoutMoment removes the line that tells when an export was made.
func withoutMoment(export string) string {
	return regexp.MustCompile(`(?m)^  "at": .*$`).ReplaceAllString(export, "")
}

// A state folder with operators' edits goes from one build to the other and back, and rudderctl of each serves the box of both.
func TestBoxAndToolOfTwoBuilds(t *testing.T) {
	earlier, current := builds(t)
	folder := shortFolder(t)
	settings := fmt.Sprintf(`{"box": {"state": %q}}`, folder)
	other := map[build]build{earlier: current, current: earlier}
	records := 0
	for _, b := range []build{earlier, current, earlier, current} {
		p := startBalancer(t, b.program("pewterrudder"), settings)
		for _, from := range []build{b, other[b]} {
			command := "drain"
			if records%2 == 1 {
				command = "restore"
			}
			tool(t, from, folder, command, "s-1")
			records++
			var history []struct {
				Revision uint64 `json:"revision"`
			}
			text := tool(t, from, folder, "history", "--json")
			assert.NilError(t, json.Unmarshal([]byte(text), &history), text)
			assert.Equal(t, len(history), records, text)
			assert.Equal(t, history[records-1].Revision, uint64(records), text)
		}
		assert.Equal(t, tool(t, b, folder, "history"), tool(t, other[b], folder, "history"))
		assert.Equal(t, tool(t, b, folder, "nodes", "--json"), tool(t, other[b], folder, "nodes", "--json"))
		export := tool(t, b, folder, "export")
		assert.Equal(t, withoutMoment(export), withoutMoment(tool(t, other[b], folder, "export")))
		file := filepath.Join(folder, "export.json")
		assert.NilError(t, os.WriteFile(file, []byte(export), 0o600))
		tool(t, other[b], folder, "import", file)
		p.Stop()
	}
}

// freePort is a loopback address that nobody listens on now.
func freePort(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	return l.Addr().String()
}

// Four balancers with peers, two of each build, hear of each other, and rudderctl of each build tells so.
func TestPeersOfTwoBuilds(t *testing.T) {
	earlier, current := builds(t)
	const key = "AAECAwQFBgcICQoLDA0ODxAREhMUFRYXGBkaGxwdHh8="
	addresses := []string{freePort(t), freePort(t), freePort(t), freePort(t)}
	var folders []string
	for i, b := range []build{earlier, current, earlier, current} {
		folder := shortFolder(t)
		settings := fmt.Sprintf(`{"box": {"state": %q}, "peers": {"address": %q, "site": "mixed", "seeds": [%q, %q], "keys": [%q]}}`,
			folder, addresses[i], addresses[0], addresses[1], key)
		listen := freePort(t)
		config := flowrig.Setup{Nodes: []string{appServer(t)}, Classes: []flowrig.Class{flowrig.Bulk}, MemoryMB: 64, Sockets: 256, Attempts: 3}.Config(listen)
		config = strings.Replace(config, `"name": "n1"`, fmt.Sprintf(`"name": "balancer-%d"`, i), 1)
		p, err := flowrig.StartConfigured(b.program("pewterrudder-peers"), listen, []byte(config), []byte(settings), 10*time.Second)
		assert.NilError(t, err)
		t.Cleanup(func() { p.Stop() })
		folders = append(folders, folder)
	}
	for _, folder := range folders {
		for _, from := range []build{earlier, current} {
			waitFor(t, "three live peers", func() bool {
				var told struct {
					Peers []struct {
						Name string `json:"name"`
						Live bool   `json:"live"`
					} `json:"peers"`
					Counts struct {
						Unread int `json:"unread"`
					} `json:"counts"`
				}
				text := tool(t, from, folder, "--json", "peers")
				assert.NilError(t, json.Unmarshal([]byte(text), &told), text)
				assert.Equal(t, told.Counts.Unread, 0, text)
				names := map[string]bool{}
				for _, peer := range told.Peers {
					if peer.Live {
						names[peer.Name] = true
					}
				}
				return len(names) == 3
			})
		}
	}
}
