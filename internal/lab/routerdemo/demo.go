// Package routerdemo shows a small router fleet on loopback: three routers, stand-ins for model instances and for the operator, and mild
// load. Everything runs in one process, on the code that is in service.
package routerdemo

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"pewterrudder/internal/router/node"
	"pewterrudder/internal/router/protocol"
	"pewterrudder/internal/router/settings"
)

const (
	routerCount   = 3
	instanceCount = 4
	requestEvery  = 50 * time.Millisecond
	reportEvery   = 2 * time.Second
	frontPort     = "7202"
	readyPort     = "7203"
	controlPort   = "7205"
)

// Options of the demo.
type Options struct {
	// Folder keeps the routers' disks; a temporary one if left out.
	Folder string
	// For ends the demo after a while; zero: it ends with its context.
	For time.Duration
	Out io.Writer
}

// Run shows the fleet until the context ends, and returns what its clients saw.
func Run(ctx context.Context, options Options) (Counts, error) {
	if options.For > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, options.For)
		defer cancel()
	}
	folder, cleanUp, err := folderOf(options.Folder)
	if err != nil {
		return Counts{}, err
	}
	defer cleanUp()
	all := fleetSettings(folder)
	for _, s := range all {
		router, err := node.Start(s, quietLog())
		if err != nil {
			return Counts{}, errors.Wrapf(err, "router %s", s.Node)
		}
		defer router.Stop()
	}
	serving, stopServing := context.WithCancel(context.WithoutCancel(ctx)) // until the last request is answered
	defer stopServing()
	if err := startInstances(serving, all); err != nil {
		return Counts{}, err
	}
	if err := configure(ctx, controlsOf(all)); err != nil {
		return Counts{}, err
	}
	if err := awaitReady(ctx, all); err != nil {
		return Counts{}, err
	}
	describe(options.Out, all)
	load := newLoad(frontsOf(all))
	return load.run(ctx, options.Out), nil
}

func folderOf(folder string) (path string, cleanUp func(), err error) {
	if folder != "" {
		return folder, func() {}, nil
	}
	path, err = os.MkdirTemp("", "router-demo-")
	return path, func() { os.RemoveAll(path) }, errors.Wrap(err, "folder of the routers' disks")
}

// fleetSettings are those of a new fleet whose routers all hold the configuration, at addresses that nobody else is likely to use.
func fleetSettings(folder string) []*settings.Settings {
	network := fmt.Sprintf("127.%d.%d.", 1+rand.IntN(250), rand.IntN(250))
	var seeds []string
	for i := range routerCount {
		seeds = append(seeds, net.JoinHostPort(fmt.Sprint(network, 1+i), controlPort))
	}
	var all []*settings.Settings
	for i := range routerCount {
		name, ip := fmt.Sprint("router-", 1+i), fmt.Sprint(network, 1+i)
		all = append(all, &settings.Settings{
			Node: name, IP: ip, Zone: zoneOf(i), Region: "here",
			Serves: []string{settings.ServesEdge, settings.ServesControl}, PortRange: []int{7100, 7110},
			Seeds: seeds, Bootstrap: true, CountsForQuorum: true, DataDir: filepath.Join(folder, name),
			HeartbeatMs: int(heartbeatEvery.Milliseconds()),
			Bounds:      settings.Bounds{AgainS: 5},
			Tolerate:    settings.Tolerate{Machines: routerCount / 2},
			Listen: settings.Listen{
				Front:   net.JoinHostPort(ip, frontPort),
				Ready:   net.JoinHostPort(ip, readyPort),
				Control: net.JoinHostPort(ip, controlPort),
			},
		})
	}
	return all
}

// zoneOf spreads routers and instances over two zones.
func zoneOf(index int) string { return fmt.Sprint("zone-", 1+index%2) }

func quietLog() *logrus.Logger {
	log := logrus.New()
	log.SetLevel(logrus.ErrorLevel)
	return log
}

func startInstances(ctx context.Context, all []*settings.Settings) error {
	for i := range instanceCount {
		started, err := startInstance(ctx, fmt.Sprint("instance-", 1+i), all[0].IP, zoneOf(i))
		if err != nil {
			return errors.Wrap(err, "instance")
		}
		go started.announce(ctx, controlsOf(all))
	}
	return nil
}

// awaitReady returns once all routers take clients.
func awaitReady(ctx context.Context, all []*settings.Settings) error {
	for _, s := range all {
		for !isReady(s) {
			if !pause(ctx, orderEvery) {
				return errors.Errorf("router %s does not become ready", s.Node)
			}
		}
	}
	return nil
}

func isReady(s *settings.Settings) bool {
	answer, err := http.Get("http://" + s.Listen.Ready + protocol.PathReady)
	if err != nil {
		return false
	}
	answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

func controlsOf(all []*settings.Settings) (addresses []string) {
	for _, s := range all {
		addresses = append(addresses, s.Listen.Control)
	}
	return addresses
}

func frontsOf(all []*settings.Settings) (addresses []string) {
	for _, s := range all {
		addresses = append(addresses, s.Listen.Front)
	}
	return addresses
}

// describe prints lines that work against the fleet from another terminal.
func describe(out io.Writer, all []*settings.Settings) {
	front, control := all[0].Listen.Front, all[0].Listen.Control
	fmt.Fprintf(out, "%d routers and %d instances. From another terminal:\n\n", routerCount, instanceCount)
	fmt.Fprintf(out, "  curl -N -H 'Host: %s' -H 'Api-Key: %s' -H 'X-Pewterrudder-Request-Id: by-hand-1' -H 'X-Pewterrudder-Deadline-Ms: 15000' \\\n"+
		"    -d 'a prompt' http://%s%shello\n", hostName, apiKey, front, pathPrefix)
	fmt.Fprintf(out, "  bin/pewterrudder status --control %s\n", control)
	fmt.Fprintf(out, "  bin/pewterrudder instances --control %s\n\n", control)
}
