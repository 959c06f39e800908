// Package node puts a router together: it starts the parts, connects them, says when the router is ready, and ends them in order.
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
	"pewterrudder/internal/router/registry"
	"pewterrudder/internal/router/routing"
	"pewterrudder/internal/router/selection"
	"pewterrudder/internal/router/settings"
	"pewterrudder/internal/router/shares"
	"pewterrudder/internal/router/softstate"
	"pewterrudder/internal/router/steadyclock"
	"pewterrudder/internal/router/transport"
)

// Messages between routers beside the cluster's own.
const (
	messageRegister transport.Kind = 32 + iota
	messageLoads
	messageShares
	messagePrefixes
	messageSightings
)

// Kinds of records that the cluster spreads.
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
	selector  *selection.Selector
	sightings *blockSightings // nil: nothing is told
	attempts  *attempt.Pool
	shares    *shares.Shares
	keys      *keyLease // nil: keys that were taken away may be used for as long as a router does not hear of it
	fleet     fleetKnowledge
	front     *front.Server
	table     atomic.Pointer[routing.Table]
	document  atomic.Pointer[document.Configuration]

	prefixes  *prefixagreement.Agreement // nil: switched off
	readiness readiness
	servers   []*http.Server
	started   time.Time
	clock     *steadyclock.Clock // counts what must end in time
	cancel    context.CancelFunc
	// background counts the goroutines that Stop waits for.
	background sync.WaitGroup
}

// caller adapts the transport to the parts that call other routers with one kind of message.
type caller struct {
	transport *transport.Transport
	kind      transport.Kind
}

// Call sends a request to the router at the address and waits for the answer.
func (c caller) Call(ctx context.Context, address string, request []byte) ([]byte, error) {
	return c.transport.Call(ctx, address, c.kind, request)
}

// transportAddress is where the router with the given control address listens for other routers: ports are alike everywhere.
func transportAddress(control string, port int) (string, error) {
	host, _, err := net.SplitHostPort(control)
	if err != nil {
		return "", errors.Wrap(err, "seed")
	}
	return net.JoinHostPort(host, strconv.Itoa(port)), nil
}

// seedAddresses lists the transport addresses of the seeds.
func seedAddresses(s *settings.Settings) []string {
	var addresses []string
	for _, seed := range s.Seeds {
		if address, err := transportAddress(seed, s.PortRange[0]); err == nil {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// Option changes how a router is put together.
type Option func(*Node)

// WithDial has the router open its connections to other routers by a function of the caller's.
func WithDial(dial transport.DialFunc) Option { return func(n *Node) { n.dial = dial } }

// Start brings a router up. It serves when Start returns, and is ready as soon as it knows enough.
func Start(s *settings.Settings, log logrus.FieldLogger, options ...Option) (*Node, error) {
	n := &Node{log: log, started: time.Now(), clock: steadyclock.New()}
	for _, option := range options {
		option(n)
	}
	n.readiness.started = make(chan struct{})
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

// startTransport listens for other routers.
func (n *Node) startTransport(_ context.Context, s *settings.Settings) error {
	address := net.JoinHostPort(s.IP, strconv.Itoa(s.PortRange[0]))
	listener, err := transport.Listen(transport.Options{Address: address, Log: n.log, Dial: n.dial})
	if err != nil {
		return err
	}
	n.transport = listener
	return nil
}

// startStore opens this router's part of the configuration register.
func (n *Node) startStore(_ context.Context, s *settings.Settings) error {
	options := configstore.Options{
		Node:      s.Node,
		Directory: s.DataDir,
		Bootstrap: s.Bootstrap,
		Initial:   seedAddresses(s),
		Tolerate:  s.Tolerate.Machines,
		Caller:    caller{n.transport, messageRegister},
		Log:       n.log,
	}
	if s.ServesTo(settings.ServesControl) {
		options.Self = &casregister.Acceptor{Address: n.transport.Address(), Volatile: !s.Acceptor()}
	}
	store, err := configstore.Open(options)
	if err != nil {
		return err
	}
	n.store = store
	n.transport.Handle(messageRegister, store.HandleRequest)
	return nil
}

// startCluster prepares to meet the other routers.
func (n *Node) startCluster(_ context.Context, s *settings.Settings) error {
	self := membership.Member{
		Node:           s.Node,
		Address:        n.transport.Address(),
		ControlAddress: s.Listen.Control,
		Zone:           s.Zone,
		Region:         s.Region,
		AcceptorID:     string(n.store.Identity()),

		AcceptorVolatile: !s.Acceptor(),
	}
	n.cluster = cluster.New(cluster.Options{
		Self:       self,
		Seeds:      seedAddresses(s),
		FirstStart: s.Bootstrap,
		Transport:  n.transport,
		Log:        n.log,
	})
	return nil
}

// view is what is known of the other routers.
func (n *Node) view() *membership.View { return n.cluster.View() }

// joinCluster meets the other routers and takes part in what they share.
func (n *Node) joinCluster(ctx context.Context, s *settings.Settings) error {
	n.registry = registry.New(registry.Options{
		Node:      s.Node,
		Kind:      recordInstance,
		Heartbeat: settings.Milliseconds(s.HeartbeatMs),
		Publisher: n.cluster,
		Log:       n.log,
		Confirm:   confirmer{sets: n.store, records: n.cluster}.confirm,
		Changed:   n.instancesChanged,
	})
	n.cluster.Watch(recordInstance, n.registry.Hear)
	n.cluster.Watch(recordConfiguration, func(record softstate.Record) { n.store.Learn(record.Payload) })
	n.cluster.OnView(n.viewChanged)
	n.store.OnChosen(n.configurationChosen)
	n.cluster.Start()
	go n.registry.Run(ctx)
	go n.watchAcceptors(ctx)
	return nil
}

// startSelection prepares the choice of instances.
func (n *Node) startSelection(ctx context.Context, s *settings.Settings) error {
	n.attempts = attempt.NewPool(attempt.Options{})
	sharer := loadreports.NewSharer(loadreports.Options{
		Node:      s.Node,
		Kind:      messageLoads,
		Messenger: n.transport,
		View:      n.view,
		Take:      func(id string, report *protocol.Report) { n.selector.TakeReport(id, report) },
		Log:       n.log,
	})
	n.sightings = n.newSightings(s)
	n.selector = selection.New(selection.Options{
		Zone:      s.Zone,
		Log:       n.log,
		Poll:      n.poll,
		Assigned:  loadreports.NewAssignment(n.view).Mine,
		Share:     sharer.Share,
		Sightings: n.sightings.options(),
		Routers:   n.routers,
	})
	n.transport.HandleInline(messageLoads, sharer.Handle)
	n.startSightings(ctx, s)
	go n.selector.Run(ctx)
	return nil
}

// startControl serves the operator's and the instances' calls.
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
	return n.serve(s.Listen.Control, api.Handler())
}

// serve starts an HTTP server for one of the small interfaces.
func (n *Node) serve(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: interfaceReadTimeout,
		ReadTimeout:       interfaceReadTimeout,
		IdleTimeout:       interfaceIdleTimeout,
	}
	n.servers = append(n.servers, server)
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			n.log.WithError(err).Error("an interface ended")
		}
	}()
	return nil
}

const (
	interfaceReadTimeout = 5 * time.Second
	interfaceIdleTimeout = 30 * time.Second
)

// routers counts the routers that are alive, this one included.
func (n *Node) routers() int { return max(1, len(n.view().Live())) }

// instancesChanged hands a new view of the instances to whoever picks among them.
func (n *Node) instancesChanged(snapshot *instances.Snapshot) {
	n.selector.SetInstances(snapshot)
}

// Settings returns the settings in force.
func (n *Node) Settings() *settings.Settings { return n.settings.Load() }
