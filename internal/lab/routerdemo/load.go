package routerdemo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"pewterrudder/internal/router/protocol"
)

// Counts are what the clients of the demo saw.
type Counts struct {
	Sent     int
	Answered int // whole streams
	Failed   int
	// LastError is why a request failed last.
	LastError error
	// ByInstance counts the answers by the signature of the instance that gave them.
	ByInstance map[string]int
}

// load is a client that asks the routers in turn.
type load struct {
	fronts []string
	client *http.Client
	under  sync.WaitGroup

	mutex  sync.Mutex
	counts Counts
}

func newLoad(fronts []string) *load {
	return &load{
		fronts: fronts,
		client: &http.Client{Timeout: requestTimeout},
		counts: Counts{ByInstance: map[string]int{}},
	}
}

const (
	requestTimeout = 5 * time.Second
	// prefixes is the number of prompt openings that the requests share.
	prefixes = 8
)

// run asks until the context ends, tells from time to time how it goes, and waits for what is under way.
func (l *load) run(ctx context.Context, out io.Writer) Counts {
	requests := time.NewTicker(requestEvery)
	defer requests.Stop()
	reports := time.NewTicker(reportEvery)
	defer reports.Stop()
	for number := 0; ; {
		select {
		case <-ctx.Done():
			l.under.Wait()
			return l.counts
		case <-requests.C:
			number++
			l.under.Go(func() { l.ask(number) })
		case <-reports.C:
			l.print(out)
		}
	}
}

// ask sends one request and reads its stream.
func (l *load) ask(number int) {
	signature, err := l.request(number)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.counts.Sent++
	if err != nil {
		l.counts.Failed++
		l.counts.LastError = err
		return
	}
	l.counts.Answered++
	l.counts.ByInstance[signature]++
}

func (l *load) request(number int) (signature string, err error) {
	url := "http://" + l.fronts[number%len(l.fronts)] + pathPrefix + "demo"
	request, err := http.NewRequest(http.MethodPost, url, strings.NewReader("a prompt"))
	if err != nil {
		return "", err
	}
	request.Host = hostName
	request.Header.Set(protocol.HeaderAPIKey, apiKey)
	request.Header.Set(protocol.HeaderRequestID, fmt.Sprintf("demo-%d", number))
	request.Header.Set(protocol.HeaderDeadlineMs, fmt.Sprint(requestTimeout.Milliseconds()))
	request.Header.Set(protocol.HeaderModel, modelName)
	request.Header.Set(protocol.HeaderTokenCount, "120,5")
	request.Header.Set(protocol.HeaderPrefixHash, fmt.Sprintf("%x:100,%x:20", 1+number%prefixes, prefixes+number))
	answer, err := l.client.Do(request)
	if err != nil {
		return "", err
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		return "", err
	}
	if answer.StatusCode != http.StatusOK || strings.Count(string(body), "data:") != tokens {
		return "", fmt.Errorf("status %d: %s", answer.StatusCode, body)
	}
	return answer.Header.Get(protocol.HeaderResponseSignature), nil
}

func (l *load) print(out io.Writer) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	fmt.Fprintf(out, "%d answered, %d failed; by instance: %v\n", l.counts.Answered, l.counts.Failed, l.counts.ByInstance)
}
