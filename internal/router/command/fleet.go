package command

import (
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"
)

const (
	// callTimeout bounds one call to one router.
	callTimeout = 2 * time.Second
	// callTimeoutPerMegabyte is added to callTimeout for each MiB of the request body.
	callTimeoutPerMegabyte = time.Second
	// minRetryDelay is the delay after the first round of calls to all routers. It doubles after each round.
	minRetryDelay = 200 * time.Millisecond
	// maxRetryDelay is the maximum delay between rounds.
	maxRetryDelay = 2 * time.Second
	// maxRedirects is the number of redirects that a call follows.
	maxRedirects = 2
	// maxResponseBytes is the maximum number of bytes that are read of a response.
	maxResponseBytes = 64 << 20
)

// fleetClient calls the control interface of a list of routers. It tries them in turn until one gives a clear answer.
type fleetClient struct {
	addresses    []string
	client       *http.Client
	retryTimeout time.Duration // no new round starts after this time; 0 means a single round
	now          func() time.Time
	sleep        func(time.Duration)
}

// newFleetClient returns a client for a comma-separated list of router addresses.
func newFleetClient(list string, retryTimeout time.Duration) (*fleetClient, error) {
	addresses, err := splitAddresses(list)
	if err != nil {
		return nil, err
	}
	client := &http.Client{CheckRedirect: limitRedirects}
	return &fleetClient{addresses: addresses, client: client, retryTimeout: retryTimeout, now: time.Now, sleep: time.Sleep}, nil
}

// splitAddresses splits a comma-separated list of addresses and checks that each has a port.
func splitAddresses(list string) ([]string, error) {
	addresses := strings.Split(list, ",")
	for i, address := range addresses {
		addresses[i] = strings.TrimSpace(address)
		if _, _, err := net.SplitHostPort(addresses[i]); err != nil {
			return nil, &usageError{errors.Wrap(err, "--control")}
		}
	}
	return addresses, nil
}

// limitRedirects fails a call that is redirected more than maxRedirects times.
func limitRedirects(_ *http.Request, via []*http.Request) error {
	if len(via) > maxRedirects {
		return errors.Errorf("more than %d redirects", maxRedirects)
	}
	return nil
}

// call repeats a call until a router gives a clear answer or retryTimeout has passed.
func (f *fleetClient) call(c call) ([]byte, error) {
	start := f.now()
	delay := minRetryDelay
	for {
		response, err := f.callEach(c)
		var unclear *unclearError
		if !errors.As(err, &unclear) || f.now().Sub(start)+delay >= f.retryTimeout {
			return response, err
		}
		f.sleep(delay)
		delay = min(2*delay, maxRetryDelay)
	}
}

// callEach calls each router once, until one gives a clear answer.
func (f *fleetClient) callEach(c call) (response []byte, err error) {
	for _, address := range f.addresses {
		response, err = f.callOne(address, c)
		var unclear *unclearError
		if !errors.As(err, &unclear) {
			return response, err
		}
	}
	return nil, err
}
