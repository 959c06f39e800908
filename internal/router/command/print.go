package command

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"pewterrudder/internal/router/status"
)

// mebibyte is the unit of printed sizes.
const mebibyte = 1 << 20

// newTable returns a writer that aligns tab-separated columns.
func newTable(out io.Writer) *tabwriter.Writer { return tabwriter.NewWriter(out, 0, 0, 2, ' ', 0) }

// printStatus prints the status of a router in human-readable form.
func printStatus(out io.Writer, s status.Status) error {
	table := newTable(out)
	row := func(name, format string, values ...any) {
		fmt.Fprintf(table, "%s\t%s\n", name, fmt.Sprintf(format, values...))
	}
	row("node", "%s in %s", s.Node, s.Zone)
	row("version", "%s", s.Version)
	row("up", "%s", formatSeconds(s.UptimeS))
	row("ready", "%s", describeReadiness(s))
	row("configuration", "generation %d, revision %d", s.Configuration.Generation, s.Configuration.Revision)
	row("register", "%s", describeRegister(&s.Register))
	row("shares", "%s", describeShares(&s.Shares))
	row("members", "%d live, %d failed", s.Members.Live, s.Members.Failed)
	row("instances", "%d ready, %d draining", s.Instances.Ready, s.Instances.Draining)
	row("answers", "%d succeeded, %d 4xx, %d 5xx, %d broken off, %d clients gone", s.Requests.Succeeded, s.Requests.ClientErrors,
		s.Requests.ServerErrors, s.Requests.AbortedResponses, s.Requests.ClientDisconnects)
	row("attempts", "%d never sent, %d rejected, %d may have run", s.Requests.NeverSent, s.Requests.Rejected, s.Requests.MayHaveRun)
	row("held", "%d connections of clients, %d bytes of bodies", s.Requests.Connections, s.Requests.BodyBytes)
	row("memory", "%s", describeMemory(s.Memory))
	for _, share := range s.Shares.Tenants {
		row("tenant", "%s", describeTenant(share))
	}
	for _, code := range s.Codes {
		row("result", "%d %s: %d", code.Code, code.Name, code.Count)
	}
	fmt.Fprintln(table)
	return table.Flush()
}

// formatSeconds formats a number of seconds as a duration, rounded to the second.
func formatSeconds(s float64) string {
	return time.Duration(s * float64(time.Second)).Round(time.Second).String()
}

func describeReadiness(s status.Status) string {
	if s.Ready {
		return "yes"
	}
	return "no: " + s.Reason
}

func describeRegister(r *status.Register) string {
	if len(r.Voters) == 0 {
		return "no acceptor set known; own replica: " + string(r.Replica)
	}
	text := fmt.Sprintf("epoch %d, %s, acceptors %s", r.Epoch, describeQuorum(r.Quorum), describeAcceptors(r.Voters))
	if len(r.Previous) > 0 {
		text += ", changing from " + describeAcceptors(r.Previous)
	}
	return text + "; own replica: " + string(r.Replica)
}

func describeShares(s *status.Shares) string {
	switch {
	case s.IsCoordinator:
		return fmt.Sprintf("divided here, term %d", s.Term)
	case s.Coordinator == "":
		return "NO COORDINATOR KNOWN"
	case s.SilentS < 0:
		return "divided by " + s.Coordinator + ", not heard yet"
	default:
		return fmt.Sprintf("divided by %s, term %d, heard %.1f s ago", s.Coordinator, s.Term, s.SilentS)
	}
}

func describeTenant(share status.TenantShare) string {
	text := fmt.Sprintf("%s: %.0f of its quota here, %.1f a second by itself, limit %.0f a second", share.Tenant, share.Balance, share.StandingPerS, share.PerS)
	if share.AtLimit {
		text += ", AT ITS LIMIT"
	}
	return text
}

func describeQuorum(quorum bool) string {
	if quorum {
		return "quorum"
	}
	return "NO QUORUM"
}

func describeAcceptors(acceptors []status.Acceptor) string {
	list := make([]string, len(acceptors))
	for i, acceptor := range acceptors {
		list[i] = acceptor.Address
		if acceptor.Volatile {
			list[i] += " (in memory)"
		}
		if !acceptor.Live {
			list[i] += " (failed)"
		}
	}
	return strings.Join(list, " ")
}

func describeMemory(m status.Memory) string {
	text := fmt.Sprintf("%d MiB, of it heap %d MiB", m.Total/mebibyte, m.Heap/mebibyte)
	if m.Limit > 0 {
		text += fmt.Sprintf(", limit %d MiB", m.Limit/mebibyte)
	}
	return text + fmt.Sprintf("; %d goroutines", m.Goroutines)
}

// printMembers prints the routers as a table.
func printMembers(out io.Writer, members []status.Member) error {
	table := newTable(out)
	fmt.Fprintln(table, "node\tstatus\tzone\tregion\tcontrol\taddress\tacceptor\tsilent")
	for _, m := range members {
		columns := []string{m.Node, m.Status, m.Zone, m.Region, m.Control, m.Address, dashIfEmpty(m.Acceptor), formatSilence(m.SilentS)}
		fmt.Fprintln(table, strings.Join(columns, "\t"))
	}
	fmt.Fprintln(table)
	return table.Flush()
}

// printInstances prints the model instances as a table.
func printInstances(out io.Writer, instances []status.Instance) error {
	table := newTable(out)
	fmt.Fprintln(table, "id\tbackend\tstate\tslots\tzone\taddress\tgeneration\tseq\tholder")
	for _, i := range instances {
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%s\t%s\t%s\t%d\t%s\n",
			i.ID, i.Backend, i.State, i.Slots, i.Zone, i.Address, dashIfEmpty(i.Generation), i.Seq, i.Holder)
	}
	fmt.Fprintln(table)
	return table.Flush()
}

func dashIfEmpty(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

func formatSilence(s float64) string {
	if s == 0 {
		return "-"
	}
	return formatSeconds(s)
}
