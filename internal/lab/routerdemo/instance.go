package routerdemo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"

	"pewterrudder/internal/router/periodic"
	"pewterrudder/internal/router/protocol"
)

const (
	heartbeatEvery  = time.Second
	firstTokenAfter = 20 * time.Millisecond
	tokenEvery      = 50 * time.Millisecond
	tokens          = 5
	slots           = 8
)

// instance stands in for a model instance: it announces itself, tells its load and streams a few made-up tokens.
type instance struct {
	id       string
	address  string
	zone     string
	running  atomic.Int64
	served   atomic.Int64
	sequence atomic.Int64
}

// startInstance serves at a free port of the address until the context ends.
func startInstance(ctx context.Context, id, ip, zone string) (*instance, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	i := &instance{id: id, address: listener.Addr().String(), zone: zone}
	router := mux.NewRouter()
	router.HandleFunc(protocol.PathReport, i.report).Methods(http.MethodGet)
	router.HandleFunc(healthPath, i.health).Methods(http.MethodGet)
	router.PathPrefix("/").HandlerFunc(i.generate).Methods(http.MethodPost)
	server := &http.Server{Handler: router, ReadHeaderTimeout: time.Second}
	context.AfterFunc(ctx, func() { server.Close() })
	go server.Serve(listener)
	return i, nil
}

// announce sends heartbeats to one router after the other.
func (i *instance) announce(ctx context.Context, routers []string) {
	client := &http.Client{Timeout: time.Second}
	next := 0
	beat := func() {
		body, err := json.Marshal(protocol.Heartbeat{
			Backend: backendName, Address: i.address, Zone: i.zone, Generation: "demo", Slots: slots,
			State: protocol.StateReady, Models: []protocol.Model{{Name: modelName}}, Seq: i.sequence.Add(1),
		})
		if err != nil {
			return
		}
		url := "http://" + routers[next%len(routers)] + "/v1/instances/" + i.id + "/heartbeat"
		next++
		if answer, err := client.Post(url, protocol.ContentTypeJSON, bytes.NewReader(body)); err == nil {
			answer.Body.Close()
		}
	}
	beat()
	periodic.Run(ctx, heartbeatEvery, beat)
}

func (i *instance) report(w http.ResponseWriter, _ *http.Request) {
	running := int(i.running.Load())
	w.Header().Set("Content-Type", protocol.ContentTypeJSON)
	_ = json.NewEncoder(w).Encode(protocol.Report{Running: running, KVTotal: kvCapacity, Models: []protocol.Model{{Name: modelName}}})
}

func (i *instance) health(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(protocol.HeaderInstanceID, i.id)
	w.WriteHeader(http.StatusOK)
}

// generate streams the answer to a prompt.
func (i *instance) generate(w http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get(protocol.HeaderExpectInstance); expected != "" && expected != i.id {
		w.Header().Set(protocol.HeaderNotExecuted, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	running := i.running.Add(1)
	defer i.running.Add(-1)
	header := w.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set(protocol.HeaderRequestID, r.Header.Get(protocol.HeaderRequestID))
	header.Set(protocol.HeaderResponseSignature, "demo."+i.id)
	header.Set(protocol.HeaderLoad, fmt.Sprintf("%d,0,%d", running, slots))
	if !pause(r.Context(), firstTokenAfter) {
		return
	}
	for token := 1; token <= tokens; token++ {
		fmt.Fprintf(w, "id: %d\ndata: token %d of %s\n\n", token, token, i.id)
		w.(http.Flusher).Flush()
		if token < tokens && !pause(r.Context(), tokenEvery) {
			return
		}
	}
	i.served.Add(1)
}

// pause waits and tells whether the context still stands.
func pause(ctx context.Context, span time.Duration) bool {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
