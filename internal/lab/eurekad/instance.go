package eurekad

import (
	"cmp"
	"encoding/json"
	"encoding/xml"
	"errors"
	"fmt"
	"io"
	"slices"
	"sort"
	"strconv"
	"strings"
)

// Instance is one as it was registered, and what the registry adds.
type Instance struct {
	ID, App, Host, IP     string
	VIP, SecureVIP        string
	Status, Overridden    string
	Port, SecurePort      int
	Plain, Secure         bool
	Home, Page, Health    string
	Renew, Lease          int // s
	Metadata              map[string]string
	DataCentre            string
	Amazon                map[string]string
	Updated, Dirty        int64 // Unix ms; Updated is the registry's, Dirty the instance's own
	Registered, LastRenew int64
	UpSince               int64
	Action                string
}

func (in *Instance) name() string { return cmp.Or(in.ID, in.Amazon["instance-id"], in.Host) }

// readJSON takes what clients send: numbers and truths also as text, a port also without its object.
func readJSON(r io.Reader) (*Instance, error) {
	var body struct {
		Instance map[string]any `json:"instance"`
	}
	if err := json.NewDecoder(r).Decode(&body); err != nil {
		return nil, err
	}
	if body.Instance == nil {
		return nil, errors.New("no instance")
	}
	in := &Instance{Metadata: map[string]string{}}
	for key, v := range body.Instance {
		switch key {
		case "port":
			in.Port, in.Plain = portOf(v)
		case "securePort":
			in.SecurePort, in.Secure = portOf(v)
		case "metadata":
			in.Metadata = texts(v)
		case "dataCenterInfo":
			if m, ok := v.(map[string]any); ok {
				in.DataCentre = text(m["name"])
				in.Amazon = texts(m["metadata"])
			}
		case "leaseInfo":
			if m, ok := v.(map[string]any); ok {
				in.Renew, in.Lease = whole(m["renewalIntervalInSecs"]), whole(m["durationInSecs"])
			}
		default:
			in.set(key, text(v))
		}
	}
	return in.complete()
}

func (in *Instance) set(key, v string) {
	switch key {
	case "instanceId":
		in.ID = v
	case "app":
		in.App = strings.ToUpper(v)
	case "hostName":
		in.Host = v
	case "ipAddr":
		in.IP = v
	case "vipAddress":
		in.VIP = v
	case "secureVipAddress":
		in.SecureVIP = v
	case "status":
		in.Status = v
	case "overriddenstatus", "overriddenStatus":
		in.Overridden = v
	case "homePageUrl":
		in.Home = v
	case "statusPageUrl":
		in.Page = v
	case "healthCheckUrl":
		in.Health = v
	case "lastDirtyTimestamp":
		in.Dirty, _ = strconv.ParseInt(v, 10, 64)
	}
}

func (in *Instance) complete() (*Instance, error) {
	in.Status = strings.ToUpper(cmp.Or(in.Status, "UP"))
	if !slices.Contains(statuses, in.Status) {
		in.Status = "UNKNOWN"
	}
	in.DataCentre = cmp.Or(in.DataCentre, "MyOwn")
	in.Renew, in.Lease = cmp.Or(in.Renew, 30), cmp.Or(in.Lease, 90)
	switch {
	case in.name() == "":
		return nil, errors.New("missing instanceId or hostName")
	case in.Host == "":
		return nil, errors.New("missing hostName")
	case in.IP == "":
		return nil, errors.New("missing ipAddr") // as the published server has it
	case in.App == "":
		return nil, errors.New("missing app")
	}
	return in, nil
}

var statuses = []string{"DOWN", "OUT_OF_SERVICE", "STARTING", "UNKNOWN", "UP"}

func text(v any) string {
	switch v := v.(type) {
	case string:
		return v
	case float64:
		return strconv.FormatFloat(v, 'f', -1, 64)
	case bool:
		return strconv.FormatBool(v)
	}
	return ""
}

func whole(v any) int {
	n, _ := strconv.Atoi(text(v))
	return n
}

func texts(v any) map[string]string {
	out := map[string]string{}
	if m, ok := v.(map[string]any); ok {
		for k, v := range m {
			if k != "@class" {
				out[k] = text(v)
			}
		}
	}
	return out
}

func portOf(v any) (int, bool) {
	if m, ok := v.(map[string]any); ok {
		return whole(m["$"]), cmp.Or(text(m["@enabled"]), "true") == "true"
	}
	return whole(v), true
}

// readXML takes the same as XML.
func readXML(r io.Reader) (*Instance, error) {
	type port struct {
		Enabled string `xml:"enabled,attr"`
		Number  string `xml:",chardata"`
	}
	type field struct {
		XMLName xml.Name
		Text    string `xml:",chardata"`
	}
	type fields struct {
		All []field `xml:",any"`
	}
	var body struct {
		XMLName    xml.Name `xml:"instance"`
		Port       port     `xml:"port"`
		SecurePort port     `xml:"securePort"`
		Metadata   fields   `xml:"metadata"`
		Centre     struct {
			Name     string `xml:"name"`
			Metadata fields `xml:"metadata"`
		} `xml:"dataCenterInfo"`
		Lease struct {
			Renew int `xml:"renewalIntervalInSecs"`
			Lasts int `xml:"durationInSecs"`
		} `xml:"leaseInfo"`
		All []field `xml:",any"`
	}
	if err := xml.NewDecoder(r).Decode(&body); err != nil {
		return nil, err
	}
	of := func(f fields) map[string]string {
		out := map[string]string{}
		for _, f := range f.All {
			out[f.XMLName.Local] = strings.TrimSpace(f.Text)
		}
		return out
	}
	in := &Instance{Metadata: of(body.Metadata), DataCentre: body.Centre.Name, Amazon: of(body.Centre.Metadata),
		Renew: body.Lease.Renew, Lease: body.Lease.Lasts}
	in.Port, in.Plain = portOf(strings.TrimSpace(body.Port.Number))
	in.Plain = body.Port.Enabled != "false" && in.Port != 0
	in.SecurePort, in.Secure = portOf(strings.TrimSpace(body.SecurePort.Number))
	in.Secure = body.SecurePort.Enabled == "true"
	for _, f := range body.All {
		in.set(f.XMLName.Local, strings.TrimSpace(f.Text))
	}
	return in.complete()
}

// list is what an answer holds.
type list struct {
	apps []appList
	hash string
}

type appList struct {
	name      string
	instances []*Instance
}

// writeJSON writes as the published server does: today's form, or the older one that lets a list of one stand without
// its brackets and has every number as text.
type jsonForm struct{ older bool }

func (f jsonForm) number(n int64) any {
	if f.older {
		return strconv.FormatInt(n, 10)
	}
	return n
}

func (f jsonForm) some(all []any) any {
	if f.older && len(all) == 1 {
		return all[0]
	}
	return all
}

func (f jsonForm) instance(in *Instance) any {
	port := func(n int, on bool) any {
		return map[string]any{"$": f.number(int64(n)), "@enabled": strconv.FormatBool(on)}
	}
	meta := map[string]any{}
	for k, v := range in.Metadata {
		meta[k] = v
	}
	if len(meta) == 0 {
		meta["@class"] = "java.util.Collections$EmptyMap"
	}
	centre := map[string]any{"@class": "com.netflix.appinfo.InstanceInfo$DefaultDataCenterInfo", "name": in.DataCentre}
	if len(in.Amazon) > 0 {
		centre = map[string]any{"@class": "com.netflix.appinfo.AmazonInfo", "name": in.DataCentre, "metadata": in.Amazon}
	}
	out := map[string]any{
		"hostName": in.Host, "app": in.App, "ipAddr": in.IP, "status": in.Status,
		"overriddenStatus": cmp.Or(in.Overridden, "UNKNOWN"),
		"port":             port(in.Port, in.Plain), "securePort": port(in.SecurePort, in.Secure), "countryId": f.number(1),
		"dataCenterInfo": centre,
		"leaseInfo": map[string]any{"renewalIntervalInSecs": f.number(int64(in.Renew)),
			"durationInSecs": f.number(int64(in.Lease)), "registrationTimestamp": f.number(in.Registered),
			"lastRenewalTimestamp": f.number(in.LastRenew), "evictionTimestamp": f.number(0),
			"serviceUpTimestamp": f.number(in.UpSince)},
		"metadata": meta, "homePageUrl": in.Home, "statusPageUrl": in.Page, "healthCheckUrl": in.Health,
		"vipAddress": in.VIP, "secureVipAddress": in.SecureVIP, "isCoordinatingDiscoveryServer": "false",
		"lastUpdatedTimestamp": strconv.FormatInt(in.Updated, 10),
		"lastDirtyTimestamp":   strconv.FormatInt(in.Dirty, 10), "actionType": in.Action,
	}
	if in.ID != "" {
		out["instanceId"] = in.ID
	}
	return out
}

func (f jsonForm) app(a appList) any {
	var all []any
	for _, in := range a.instances {
		all = append(all, f.instance(in))
	}
	return map[string]any{"name": a.name, "instance": f.some(all)}
}

func (f jsonForm) list(l list) any {
	apps := []any{}
	for _, a := range l.apps {
		apps = append(apps, f.app(a))
	}
	body := map[string]any{"versions__delta": "1", "apps__hashcode": l.hash}
	if len(apps) > 0 || !f.older {
		body["application"] = f.some(apps)
	}
	return map[string]any{"applications": body}
}

// xmlText makes one element.
type xmlText struct{ strings.Builder }

func (x *xmlText) leaf(name, text string) {
	x.WriteString("<" + name + ">")
	xml.EscapeText(x, []byte(text))
	x.WriteString("</" + name + ">")
}

func (x *xmlText) texts(attribute string, m map[string]string) {
	x.WriteString("<metadata" + attribute + ">")
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	for _, k := range keys {
		x.leaf(k, m[k])
	}
	x.WriteString("</metadata>")
}

func (x *xmlText) instance(in *Instance) {
	n := func(v int64) string { return strconv.FormatInt(v, 10) }
	x.WriteString("<instance>")
	if in.ID != "" {
		x.leaf("instanceId", in.ID)
	}
	x.leaf("hostName", in.Host)
	x.leaf("app", in.App)
	x.leaf("ipAddr", in.IP)
	x.leaf("status", in.Status)
	x.leaf("overriddenstatus", cmp.Or(in.Overridden, "UNKNOWN"))
	fmt.Fprintf(x, `<port enabled="%v">%d</port><securePort enabled="%v">%d</securePort>`, in.Plain, in.Port, in.Secure,
		in.SecurePort)
	x.leaf("countryId", "1")
	class := "com.netflix.appinfo.InstanceInfo$DefaultDataCenterInfo"
	if len(in.Amazon) > 0 {
		class = "com.netflix.appinfo.AmazonInfo"
	}
	x.WriteString(`<dataCenterInfo class="` + class + `">`)
	x.leaf("name", in.DataCentre)
	if len(in.Amazon) > 0 {
		x.texts("", in.Amazon)
	}
	x.WriteString("</dataCenterInfo><leaseInfo>")
	x.leaf("renewalIntervalInSecs", n(int64(in.Renew)))
	x.leaf("durationInSecs", n(int64(in.Lease)))
	x.leaf("registrationTimestamp", n(in.Registered))
	x.leaf("lastRenewalTimestamp", n(in.LastRenew))
	x.leaf("evictionTimestamp", "0")
	x.leaf("serviceUpTimestamp", n(in.UpSince))
	x.WriteString("</leaseInfo>")
	attribute := ""
	if len(in.Metadata) == 0 {
		attribute = ` class="java.util.Collections$EmptyMap"`
	}
	x.texts(attribute, in.Metadata)
	x.leaf("homePageUrl", in.Home)
	x.leaf("statusPageUrl", in.Page)
	x.leaf("healthCheckUrl", in.Health)
	x.leaf("vipAddress", in.VIP)
	x.leaf("secureVipAddress", in.SecureVIP)
	x.leaf("isCoordinatingDiscoveryServer", "false")
	x.leaf("lastUpdatedTimestamp", n(in.Updated))
	x.leaf("lastDirtyTimestamp", n(in.Dirty))
	x.leaf("actionType", in.Action)
	x.WriteString("</instance>")
}

func (x *xmlText) app(a appList) {
	x.WriteString("<application>")
	x.leaf("name", a.name)
	for _, in := range a.instances {
		x.instance(in)
	}
	x.WriteString("</application>")
}

func (x *xmlText) list(l list) {
	x.WriteString("<applications>")
	x.leaf("versions__delta", "1")
	x.leaf("apps__hashcode", l.hash)
	for _, a := range l.apps {
		x.app(a)
	}
	x.WriteString("</applications>")
}
