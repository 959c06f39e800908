// Package node assembles a router: it starts and connects the components, reports readiness, and shuts down in order.
package node

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"pewterrudder/internal/router/attempt"
	"pewterrudder/internal/router/casregister"
	"pewterrudder/internal/router/cluster"
	"pewterrudder/internal/router/configstore"
	"pewterrudder/internal/router/controlapi"
	"pewterrudder/internal/router/document"
	"pewterrudder/internal/router/front"
	"pewterrudder/internal/router/instances"
	"pewterrudder/internal/router/loadreports"
	"pewterrudder/internal/router/membership"
	"pewterrudder/internal/router/prefixagreement"
	"pewterrudder/internal/router/protocol"
	"pewterrudder/internal/router/recordstore"
	"pewterrudder/internal/router/registry"
	"pewterrudder/internal/router/routing"
	"pewterrudder/internal/router/selection"
	"pewterrudder/internal/router/settings"
	"pewterrudder/internal/router/shares"
	"pewterrudder/internal/router/softstate"
	"pewterrudder/internal/router/steadyclock"
	"pewterrudder/internal/router/transport"
)

// Kinds of messages between routers, in addition to those of package cluster.
const (
	messageRegister transport.Kind = 32 + iota
	messageLoads
	messageShares
	messagePrefixes
	messageSightings
)

// Kinds of soft-state records that the cluster replicates.
const (
	recordInstance softstate.Kind = 16 + iota
	recordConfiguration
)

// Node is one router process.
type Node struct {
	settings atomic.Pointer[settings.Settings]
	log      logrus.FieldLogger

	dial      transport.DialFunc // nil: plain TCP
	transport *transport.Transport
	cluster   *cluster.Cluster
	store     *configstore.Store
	registry  *registry.Registry
	// departures keeps the departures of instances on disk. It is nil on a router without a data directory.
	departures *recordstore.Store
	selector   *selection.Selector
	sightings  *blockSightings // nil: sightings are not exchanged
	attempts   *attempt.Pool
	shares     *shares.Shares
	keyLease   *keyLease // nil: a router accepts a revoked key until it learns of the revocation
	discovery  fleetDiscovery
	front      *front.Server
	table      atomic.Pointer[routing.Table]
	document   atomic.Pointer[document.Configuration]

	prefixes  *prefixagreement.Agreement // nil: disabled
	readiness readiness
	servers   []*http.Server
	startedAt time.Time
	clock     *steadyclock.Clock // measures leases and other durations that must not be exceeded
	cancel    context.CancelFunc
	// background tracks the goroutines that Stop waits for.
	background sync.WaitGroup
}

// messageCaller sends requests of one message kind over the transport.
type messageCaller struct {
	transport *transport.Transport
	kind      transport.Kind
}

// Call sends a request to the router at the address and waits for the answer.
func (c messageCaller) Call(ctx context.Context, address string, request []byte) ([]byte, error) {
	return c.transport.Call(ctx, address, c.kind, request)
}

// transportAddress returns the transport address of the router with the given control address. All routers use the same
// transport port.
func transportAddress(control string, port int) (string, error) {
	host, _, err := net.SplitHostPort(control)
	if err != nil {
		return "", errors.Wrap(err, "parse control address of seed")
	}
	return net.JoinHostPort(host, strconv.Itoa(port)), nil
}

// seedAddresses lists the transport addresses of the seeds. It skips seeds that are not host:port.
func seedAddresses(s *settings.Settings) []string {
	var addresses []string
	for _, seed := range s.Seeds {
		if address, err := transportAddress(seed, s.PortRange[0]); err == nil {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// Option customizes a Node before it starts.
type Option func(*Node)

// WithDial sets the function that opens connections to other routers. The default is plain TCP.
func WithDial(dial transport.DialFunc) Option { return func(n *Node) { n.dial = dial } }

// Start starts a router. Its listeners are open when Start returns; it becomes ready once it has a configuration and
// has waited for instances.
func Start(s *settings.Settings, log logrus.FieldLogger, options ...Option) (*Node, error) {
	n := &Node{log: log, startedAt: time.Now(), clock: steadyclock.New()}
	for _, option := range options {
		option(n)
	}
	n.readiness.becameReady = make(chan struct{})
	n.settings.Store(s)
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	steps := []func(context.Context, *settings.Settings) error{
		n.startTransport,
		n.startStore,
		n.startCluster,
		n.startSelection,
		n.startKeyLease,
		n.startShares,
		n.startPrefixes,
		n.joinCluster,
		n.startFront,
		n.startControl,
		n.startIsolationGuard,
		n.startReadiness,
		n.startSummary,
	}
	for _, step := range steps {
		if err := step(ctx, s); err != nil {
			cancel()
			return nil, err
		}
	}
	return n, nil
}

// startTransport opens the listener for other routers.
func (n *Node) startTransport(_ context.Context, s *settings.Settings) error {
	address := net.JoinHostPort(s.IP, strconv.Itoa(s.PortRange[0]))
	listener, err := transport.Listen(transport.Options{Address: address, Log: n.log, Dial: n.dial})
	if err != nil {
		return err
	}
	n.transport = listener
	return nil
}

// startStore opens this router's replica of the configuration register.
func (n *Node) startStore(_ context.Context, s *settings.Settings) error {
	options := configstore.Options{
		Node:      s.Node,
		Directory: s.DataDir,
		Bootstrap: s.Bootstrap,
		Seeds:     seedAddresses(s),
		Tolerate:  s.Tolerate.Machines,
		Caller:    messageCaller{n.transport, messageRegister},
		Log:       n.log,
	}
	if s.ServesTo(settings.ServesControl) {
		options.Self = &casregister.Acceptor{Address: n.transport.Address(), Volatile: !s.IsAcceptor()}
	}
	store, err := configstore.Open(options)
	if err != nil {
		return err
	}
	n.store = store
	n.transport.Handle(messageRegister, store.HandleRequest)
	return nil
}

// startCluster creates the cluster membership. It does not contact other routers yet; see joinCluster.
func (n *Node) startCluster(_ context.Context, s *settings.Settings) error {
	self := membership.Member{
		Node:           s.Node,
		Address:        n.transport.Address(),
		ControlAddress: s.Listen.Control,
		Zone:           s.Zone,
		Region:         s.Region,
		AcceptorID:     string(n.store.Identity()),

		AcceptorVolatile: !s.IsAcceptor(),
	}
	options := cluster.Options{
		Self:       self,
		Seeds:      seedAddresses(s),
		FirstStart: s.Bootstrap,
		Transport:  n.transport,
		Log:        n.log,
	}
	if n.departures = n.newDepartureStore(s); n.departures != nil {
		options.Persist = n.departures.Persist
	}
	n.cluster = cluster.New(options)
	return nil
}

// view returns the current membership view.
func (n *Node) view() *membership.View { return n.cluster.View() }

// joinCluster creates the instance registry, subscribes to shared records, and joins the other routers.
func (n *Node) joinCluster(ctx context.Context, s *settings.Settings) error {
	n.registry = registry.New(registry.Options{
		Node:      s.Node,
		Kind:      recordInstance,
		Heartbeat: settings.Milliseconds(s.HeartbeatMs),
		Publisher: n.cluster,
		Log:       n.log,
		Confirm:   quorumConfirmer{sets: n.store, replicas: n.cluster}.confirm,
		OnChange:  n.onInstancesChanged,
	})
	n.cluster.Watch(recordInstance, n.registry.HandleRecord)
	if n.departures != nil {
		n.cluster.Watch(recordInstance, n.departures.Add)
	}
	n.cluster.Watch(recordConfiguration, func(record softstate.Record) { n.store.Learn(record.Payload) })
	n.cluster.OnView(n.onMembershipChange)
	n.store.OnChosen(n.onConfigurationChosen)
	n.cluster.Start()
	n.startDepartures(ctx, s)
	go n.registry.Run(ctx)
	go n.refreshAcceptors(ctx)
	return nil
}

// startSelection creates the instance selector and the exchanges of load reports and sightings that feed it.
func (n *Node) startSelection(ctx context.Context, s *settings.Settings) error {
	n.attempts = attempt.NewPool(attempt.Options{})
	broadcaster := loadreports.NewBroadcaster(loadreports.Options{
		Node:      s.Node,
		Kind:      messageLoads,
		Messenger: n.transport,
		View:      n.view,
		OnReport:  func(id string, report *protocol.Report) { n.selector.RecordRemoteReport(id, report) },
		Log:       n.log,
	})
	n.sightings = n.newSightings(s)
	n.selector = selection.New(selection.Options{
		Zone:            s.Zone,
		Log:             n.log,
		Poll:            n.fetchReport,
		Assigned:        loadreports.NewAssignment(n.view).IsOwner,
		BroadcastReport: broadcaster.Broadcast,
		Sightings:       n.sightings.selectionOptions(),
		Routers:         n.routerCount,
	})
	n.transport.HandleInline(messageLoads, broadcaster.Handle)
	n.startSightings(ctx, s)
	go n.selector.Run(ctx)
	return nil
}

// startControl serves the control API for operators and instances.
func (n *Node) startControl(_ context.Context, s *settings.Settings) error {
	if s.Listen.Control == "" {
		return nil
	}
	api := controlapi.New(controlapi.Options{
		Register:  n.store,
		Instances: n.registry,
		Inspector: inspector{n},
		BeatURL:   "",
		Prefixes:  n.prefixStatus,
		Log:       n.log,
	})
	return n.startHTTPServer(s.Listen.Control, api.Handler())
}

// startHTTPServer starts an HTTP server for the control or the readiness interface.
func (n *Node) startHTTPServer(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: httpReadTimeout,
		ReadTimeout:       httpReadTimeout,
		IdleTimeout:       httpIdleTimeout,
	}
	n.servers = append(n.servers, server)
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			n.log.WithError(err).Error("HTTP server failed")
		}
	}()
	return nil
}

const (
	httpReadTimeout = 5 * time.Second
	httpIdleTimeout = 30 * time.Second
)

// routerCount returns the number of live routers, including this one.
func (n *Node) routerCount() int { return max(1, len(n.view().Live())) }

// onInstancesChanged passes a new instance snapshot to the selector.
func (n *Node) onInstancesChanged(snapshot *instances.Snapshot) {
	n.selector.SetInstances(snapshot)
}

// Settings returns the settings in force.
func (n *Node) Settings() *settings.Settings { return n.settings.Load() }
