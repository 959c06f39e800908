package kv

import (
	"os/exec"
	"strings"
	"testing"
)

// What the laboratory needs must not reach the program: it would more than double it.
func TestTheDaemonLinksNoGRPC(t *testing.T) {
	t.Parallel()
	deps := func(of string) string {
		out, err := exec.Command("go", "list", "-deps", of).Output()
		if err != nil {
			t.Fatal(err)
		}
		return string(out)
	}
	unwanted := func(all string) (found []string) {
		for _, p := range strings.Fields(all) {
			for _, start := range []string{"google.golang.org/", "go.etcd.io/etcd", "go.uber.org/", "pewterrudder/internal/lab"} {
				if strings.HasPrefix(p, start) {
					found = append(found, p)
				}
			}
		}
		return found
	}
	if found := unwanted(deps("pewterrudder/cmd/pewterrudder") + deps("pewterrudder/internal/registry/kv")); found != nil {
		t.Errorf("%q", found)
	}
	if unwanted(deps("pewterrudder/internal/lab/kvd")) == nil {
		t.Error("the stand-in speaks gRPC, and this test does not see it")
	}
}
