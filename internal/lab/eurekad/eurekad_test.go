package eurekad

import (
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"
)

func ask(r *Registry, method, path, body string, header ...string) *httptest.ResponseRecorder {
	req := httptest.NewRequest(method, "/eureka/v2"+path, strings.NewReader(body))
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	w := httptest.NewRecorder()
	r.ServeHTTP(w, req)
	return w
}

const (
	asJSON = `{"instance":{"instanceId":"i1","hostName":"h","app":"A","ipAddr":"10.0.0.1","status":"UP","port":{"$":"80",` +
		`"@enabled":"true"},"leaseInfo":{"durationInSecs":"30"},"metadata":{"zone":"z"},"lastDirtyTimestamp":"7"}}`
	asXML = `<instance><instanceId>i1</instanceId><hostName>h</hostName><app>a</app><ipAddr>10.0.0.1</ipAddr>` +
		`<status>UP</status><port enabled="true">80</port><leaseInfo><durationInSecs>30</durationInSecs></leaseInfo>` +
		`<metadata><zone>z</zone></metadata><lastDirtyTimestamp>7</lastDirtyTimestamp></instance>`
)

// The codes of the published server, and what its calls change.
func TestTheCallsOfTheInterface(t *testing.T) {
	for form, body := range map[string]string{"application/json": asJSON, "application/xml": asXML} {
		r := New(Options{})
		for _, step := range []struct {
			method, path, body string
			code               int
			status             string
		}{
			{"PUT", "/apps/A/i1", "", 404, ""},
			{"POST", "/apps/B", body, 400, ""},
			{"POST", "/apps/A", "{", 400, ""},
			{"POST", "/apps/A", body, 204, "UP"},
			{"PUT", "/apps/a/i1?status=UP", "", 200, "UP"},
			{"PUT", "/apps/A/i1/status?value=OUT_OF_SERVICE", "", 200, "OUT_OF_SERVICE"},
			{"POST", "/apps/A", body, 204, "OUT_OF_SERVICE"}, // an override outlives a registration
			{"PUT", "/apps/A/i1/status?value=NONE", "", 500, "OUT_OF_SERVICE"},
			{"DELETE", "/apps/A/i1/status?value=UP", "", 200, "UP"},
			{"PUT", "/apps/A/i1/metadata?zone=y", "", 200, "UP"},
			{"GET", "/apps/A/i1", "", 200, "UP"},
			{"GET", "/instances/i2", "", 404, "UP"},
			{"PATCH", "/apps/A/i1", "", 405, "UP"},
			{"DELETE", "/apps/A/i1", "", 200, ""},
			{"DELETE", "/apps/A/i1", "", 404, ""},
			{"GET", "/apps/A", "", 404, ""},
		} {
			w := ask(r, step.method, step.path, step.body, "Content-Type", form, "Accept", "application/json")
			status := ""
			for _, in := range r.Instances() {
				status = in.Status
				if in.App != "A" || in.Port != 80 || !in.Plain || in.Lease != 30 || in.Dirty != 7 || in.Metadata["zone"] == "" {
					t.Errorf("%s: %+v", form, in)
				}
			}
			if w.Code != step.code || status != step.status {
				t.Errorf("%s: %s %s: %d, then %q", form, step.method, step.path, w.Code, status)
			}
		}
	}
}

func told(t *testing.T, r *Registry, path string) (hash string, actions []string) {
	t.Helper()
	var body struct {
		Applications struct {
			Hash string `json:"apps__hashcode"`
			Apps []struct {
				Instances []struct {
					ID     string `json:"instanceId"`
					Status string `json:"status"`
					Action string `json:"actionType"`
				} `json:"instance"`
			} `json:"application"`
		} `json:"applications"`
	}
	if err := json.Unmarshal(ask(r, "GET", path, "", "Accept", "application/json").Body.Bytes(), &body); err != nil {
		t.Fatal(err)
	}
	for _, a := range body.Applications.Apps {
		for _, in := range a.Instances {
			actions = append(actions, in.ID+" "+in.Status+" "+in.Action)
		}
	}
	return body.Applications.Hash, actions
}

// Leases run out, deltas reach back for their time, and each fault shows in what is read.
func TestTimeAndFaults(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	r := New(Options{Clock: func() time.Time { return now }})
	check := func(path, want string) {
		t.Helper()
		hash, actions := told(t, r, path)
		if got := hash + ": " + strings.Join(actions, ", "); got != want {
			t.Errorf("%s: %q, want %q", path, got, want)
		}
	}
	r.Register(&Instance{ID: "i1", App: "A", Host: "h", Status: "UP", Lease: 90})
	r.Register(&Instance{ID: "i2", App: "A", Host: "h", Status: "DOWN", Lease: 30})
	check("/apps/", "DOWN_1_UP_1_: i1 UP ADDED, i2 DOWN ADDED")
	now = now.Add(40 * time.Second)
	r.Evict()
	check("/apps", "UP_1_: i1 UP ADDED")
	check("/apps/delta", "UP_1_: i1 UP ADDED, i2 DOWN DELETED")
	now = now.Add(150 * time.Second)
	check("/apps/delta", "UP_1_: i2 DOWN DELETED")
	r.Set(Lie)
	r.Evict()
	check("/apps", "UP_1_: i1 UP ADDED")
	r.Set(Empty)
	check("/apps", ": ")
	r.Set(WrongHash)
	check("/apps", "DOWN_7_UP_1_: i1 UP ADDED")
	r.Set(StuckDeltas)
	r.Evict()
	check("/apps", ": ")
	check("/apps/delta", "UP_1_: i2 DOWN DELETED")
	r.Set(RepeatDeltas)
	r.Forget()
	check("/apps/delta", ": i1 UP DELETED, i2 DOWN DELETED")
	r.Set(NoDeltas)
	if w := ask(r, "GET", "/apps/delta", ""); w.Code != http.StatusForbidden {
		t.Errorf("%d", w.Code)
	}
	if w := ask(r, "POST", "/lab/fault?name=refuse", ""); w.Code != 200 || ask(r, "GET", "/apps", "").Code != 503 {
		t.Error("no fault was set from outside")
	}
}

// Clients that others wrote, against the stand-in and beside ours. It needs packages from outside, so it runs in CI and
// where it is asked for.
func TestOtherPeoplesClients(t *testing.T) {
	if os.Getenv("CI") == "" && os.Getenv("RUDDER_INTEROP") == "" {
		t.Skip("it installs packages: RUDDER_INTEROP=1 has it run, or scripts/eureka-interop.sh")
	}
	cmd := exec.Command("bash", "../../../scripts/eureka-interop.sh")
	out, err := cmd.CombinedOutput()
	var exit *exec.ExitError
	switch {
	case errors.As(err, &exit) && exit.ExitCode() == 77:
		t.Skipf("a client was not to be had:\n%s", out)
	case err != nil:
		t.Fatalf("%v\n%s", err, out)
	case strings.Count(string(out), "all 8 checks held") != 3:
		t.Fatalf("fewer checks than there are:\n%s", out)
	}
}
