package flowrig

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"os/exec"
	"runtime"
	"runtime/debug"
	"strings"
)

// RunNode is a process of its own that serves a stock at so many addresses, until its standard input ends.
func RunNode(addresses int) error {
	stock, addrs := new(Stock), []string(nil)
	for range addresses {
		n, err := NewNode(stock.Serve)
		if err != nil {
			return err
		}
		addrs = append(addrs, n.Addr())
	}
	fmt.Println(strings.Join(addrs, ","))
	waitInput()
	return nil
}

// RunPlain is a process of its own that is the plainest proxy of the standard library, until its standard input ends.
// What is not left at its default is given to it, not taken: as many kept connections as it can use, where the
// default of two would have it dial, and the collector's goal that the balancer has.
func RunPlain(to string) error {
	runtime.GOMAXPROCS(1) // as the balancer
	debug.SetGCPercent(400)
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: to})
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.MaxIdleConnsPerHost, transport.MaxIdleConns, transport.Proxy = 1024, 1024, nil
	proxy.Transport = transport
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	go http.Serve(ln, proxy)
	fmt.Println(ln.Addr())
	waitInput()
	return nil
}

// waitInput ends with the process that holds the other end of standard input, however that one ends.
func waitInput() {
	for s := bufio.NewScanner(os.Stdin); s.Scan(); {
	}
}

// StartRole runs this very program under other arguments; the child writes its address on its first line.
func StartRole(args ...string) (*Process, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	p := &Process{cmd: exec.Command(self, args...), stderr: new(tail)}
	p.cmd.Stderr = p.stderr
	if _, err = p.cmd.StdinPipe(); err != nil { // kept open by us until the end
		return nil, err
	}
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	line, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		p.Stop()
		return nil, fmt.Errorf("%s: %w: %s", strings.Join(args, " "), err, p.stderr)
	}
	p.Addr = strings.TrimSpace(line)
	return p, nil
}
