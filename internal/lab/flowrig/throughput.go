package flowrig

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// ThroughputRow compares the balancer with the plain proxy at one size of answers.
type ThroughputRow struct {
	Bytes     int      `json:"bytes"`
	Calls     int      `json:"calls"` // of a round
	Rounds    int      `json:"rounds"`
	Balancer  Spread   `json:"balancer_mb_s"`
	Plain     Spread   `json:"plain_mb_s"`
	Speed     Spread   `json:"speed_ratio"` // balancer over plain, by round
	SpeedMean Interval `json:"speed_ratio_mean"`
	BalCPU    Spread   `json:"balancer_cpu_ms_per_mb"`
	PlainCPU  Spread   `json:"plain_cpu_ms_per_mb"`
	CPU       Spread   `json:"cpu_ratio"`
	CPUMean   Interval `json:"cpu_ratio_mean"`
}

// Throughput is the table.
type Throughput struct {
	Program string          `json:"program"`
	Conns   int             `json:"conns"`
	Rows    []ThroughputRow `json:"rows"`
}

// MeasureThroughput fetches answers of each size over kept connections from one app node, in its own process, by turns
// through the balancer and through the plain proxy, about so many bytes a round. MB are 10^6 bytes.
func MeasureThroughput(program string, sizes []int, conns, rounds, bytes int, progress io.Writer) (*Throughput, error) {
	node, err := StartRole("flow", "node", "--addresses", "4")
	if err != nil {
		return nil, err
	}
	defer node.Stop()
	plain, err := StartRole("flow", "plain", "--to", strings.Split(node.Addr, ",")[0])
	if err != nil {
		return nil, err
	}
	defer plain.Stop()
	balancer, err := StartBalancer(program, Setup{Nodes: strings.Split(node.Addr, ","), Classes: []Class{Bulk}, MemoryMB: 192,
		Sockets: 1024, Attempts: 2})
	if err != nil {
		return nil, err
	}
	defer balancer.Stop()
	t, stock := &Throughput{Program: program, Conns: conns}, new(Stock)
	if err := Settle(balancer.Addr, stock); err != nil {
		return nil, err
	}
	for _, size := range sizes {
		row := ThroughputRow{Bytes: size, Calls: max(conns, bytes/size), Rounds: rounds}
		speed, cpu := [2][]float64{}, [2][]float64{}
		for round := -1; round < rounds; round++ { // the first warms up and is not counted
			for turn := range 2 {
				which := (round + 1 + turn) % 2 // neither side is always the second
				p := []*Process{balancer, plain}[which]
				mb, ms, err := transfer(p, Load{Addr: p.Addr, Conns: conns, Calls: row.Calls, Bytes: size, Stock: stock,
					Check: round < 0})
				if err != nil {
					return t, fmt.Errorf("%d bytes, %s: %w: %s", size, []string{"balancer", "plain"}[which], err, p.Log())
				}
				if round >= 0 {
					speed[which], cpu[which] = append(speed[which], mb), append(cpu[which], ms)
				}
			}
		}
		row.Balancer, row.Plain, row.Speed = spread(speed[0]), spread(speed[1]), spread(over(speed[0], speed[1]))
		row.BalCPU, row.PlainCPU, row.CPU = spread(cpu[0]), spread(cpu[1]), spread(over(cpu[0], cpu[1]))
		row.SpeedMean, row.CPUMean = pairedRatio(speed[0], speed[1]), pairedRatio(cpu[0], cpu[1])
		t.Rows = append(t.Rows, row)
		fmt.Fprintf(progress, "%d KiB: %.2f times the plain proxy's speed\n", size>>10, row.Speed.Median)
	}
	return t, nil
}

// transfer runs a load and gives MB a second and CPU milliseconds for each MB.
func transfer(p *Process, l Load) (mbPerS, msPerMB float64, err error) {
	before, err := p.CPU()
	if err != nil {
		return 0, 0, err
	}
	took, err := l.Run()
	if err != nil {
		return 0, 0, err
	}
	after, err := p.CPU()
	mb := float64(l.Calls) * float64(l.Bytes) / 1e6
	return mb / took.Seconds(), (after - before).Seconds() * 1e3 / mb, err
}

func over(a, b []float64) []float64 {
	ratios := make([]float64, len(a))
	for i := range a {
		ratios[i] = a[i] / b[i]
	}
	return ratios
}

// Table writes the rows for people.
func (t *Throughput) Table(w io.Writer) {
	fmt.Fprintf(w, "balancer %s against httputil.ReverseProxy, GOMAXPROCS=1 each, %d kept connections\n", t.Program, t.Conns)
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(tw, "answer KiB\trounds\tcalls\tMB/s\tplain MB/s\tratio (min-max)\tmean, 95 %\tCPU ms/MB\tplain\tratio (min-max)\tmean, 95 %\t")
	for _, r := range t.Rows {
		fmt.Fprintf(tw, "%d\t%d\t%d\t%.0f\t%.0f\t%.3f (%.3f-%.3f)\t%.3f (%.3f-%.3f)\t%.3f\t%.3f\t%.3f (%.3f-%.3f)\t%.3f (%.3f-%.3f)\t\n",
			r.Bytes>>10, r.Rounds, r.Calls, r.Balancer.Median, r.Plain.Median, r.Speed.Median, r.Speed.Min, r.Speed.Max,
			r.SpeedMean.Ratio, r.SpeedMean.Low, r.SpeedMean.High, r.BalCPU.Median, r.PlainCPU.Median,
			r.CPU.Median, r.CPU.Min, r.CPU.Max, r.CPUMean.Ratio, r.CPUMean.Low, r.CPUMean.High)
	}
	tw.Flush()
}
