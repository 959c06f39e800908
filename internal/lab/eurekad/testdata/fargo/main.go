// Command fargo drives the stand-in registry with github.com/hudl/fargo, a published client that others wrote, in XML and
// in JSON, and has our client read what that has registered. It is built by scripts/eureka-interop.sh in a module of its
// own. Usage: fargo URL RUDDERLAB.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"time"

	"github.com/hudl/fargo"
	"github.com/op/go-logging"
)

type entry struct {
	Address, Zone string
	Weight        float64
	State         int
}

func main() {
	logging.SetLevel(logging.ERROR, "fargo")
	checks := 0
	for _, asJSON := range []bool{false, true} {
		if err := drive(os.Args[1], os.Args[2], asJSON, &checks); err != nil {
			fmt.Fprintf(os.Stderr, "FAILED after %d checks: %v\n", checks, err)
			os.Exit(1)
		}
	}
	fmt.Printf("all %d checks held\n", checks)
}

func drive(url, rudderlab string, asJSON bool, checks *int) error {
	form := map[bool]string{false: "XML", true: "JSON"}[asJSON]
	held := func(what string) {
		*checks++
		fmt.Printf("ok %d %s (%s)\n", *checks, what, form)
	}
	read := func(is func(map[string]entry) bool) error {
		var list map[string]entry
		for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
			cmd := exec.Command(rudderlab, "eurekad", "read", "--address", url, "--app", "fargo-nodes", "--until", "1")
			cmd.Stderr = os.Stderr
			out, err := cmd.Output()
			if err != nil {
				return err
			}
			list = nil
			if err := json.Unmarshal(out, &list); err != nil {
				return err
			}
			if is(list) {
				return nil
			}
		}
		return fmt.Errorf("our client reads %+v", list)
	}
	conn := fargo.NewConn(url)
	conn.UseJson = asJSON
	in := &fargo.Instance{InstanceId: "fargo-1", HostName: "fargo1.example", App: "FARGO-NODES", IPAddr: "10.3.0.1",
		VipAddress: "fargo", SecureVipAddress: "fargo", Status: fargo.UP, Port: 7101, PortEnabled: true,
		DataCenterInfo: fargo.DataCenterInfo{Name: fargo.MyOwn},
		LeaseInfo:      fargo.LeaseInfo{RenewalIntervalInSecs: 30, DurationInSecs: 90},
		UniqueID:       func(i fargo.Instance) string { return i.InstanceId }}
	in.SetMetadataString("zone", "c")
	in.SetMetadataString("weight", "1.5")
	if err := conn.RegisterInstance(in); err != nil {
		return fmt.Errorf("register: %w", err)
	}
	err := read(func(l map[string]entry) bool {
		return l["fargo-1"] == entry{Address: "10.3.0.1:7101", Zone: "c", Weight: 1.5}
	})
	if err != nil {
		return err
	}
	held("our client reads what theirs registered")
	if err := conn.HeartBeatInstance(in); err != nil {
		return fmt.Errorf("renew: %w", err)
	}
	apps, err := conn.GetApps()
	if err != nil {
		return fmt.Errorf("read: %w", err)
	}
	if a := apps["FARGO-NODES"]; a == nil || len(a.Instances) != 1 || a.Instances[0].Port != 7101 {
		return fmt.Errorf("theirs reads %+v", apps)
	}
	held("theirs renews, and reads all applications")
	if err := conn.AddMetadataString(in, "zone", "d"); err != nil {
		return fmt.Errorf("metadata: %w", err)
	}
	if err := conn.UpdateInstanceStatus(in, fargo.OUTOFSERVICE); err != nil {
		return fmt.Errorf("status: %w", err)
	}
	if err := read(func(l map[string]entry) bool { return l["fargo-1"].State == 1 && l["fargo-1"].Zone == "d" }); err != nil {
		return err
	}
	held("our client sees the new zone and that it is out of service")
	if err := conn.DeregisterInstance(in); err != nil {
		return fmt.Errorf("leave: %w", err)
	}
	if out, err := exec.Command(rudderlab, "eurekad", "read", "--address", url, "--app", "fargo-nodes", "--until", "0").
		CombinedOutput(); err != nil {
		return fmt.Errorf("%w: %s", err, out)
	}
	held("it has left")
	return nil
}
