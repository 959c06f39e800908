package sockets

import (
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

// tcpStates names the states of the kernel's table of TCP sockets (proc(5), /proc/net/tcp) that a leak may be in.
var tcpStates = map[string]string{"01": "established", "02": "opening", "04": "ending", "05": "ending", "08": "ended by the other side", "0A": "listening"}

// describeSockets lists the process's sockets, so that one too many can be told: a line of the kernel's table each, or the bare
// name of one that is not in it.
func (p *process) describeSockets() []string {
	rows := tcpRows(p.cmd.Process.Pid)
	var lines []string
	names, err := p.socketNames()
	if err != nil {
		return []string{err.Error()}
	}
	for _, name := range names {
		row, isTCP := rows[name]
		if !isTCP {
			row = "no TCP socket"
		}
		lines = append(lines, row)
	}
	return lines
}

// socketNames are the process's sockets as the kernel names them, such as "socket:[123]".
func (p *process) socketNames() ([]string, error) {
	dir := filepath.Join("/proc", strconv.Itoa(p.cmd.Process.Pid), "fd")
	files, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, file := range files {
		if to, err := os.Readlink(filepath.Join(dir, file.Name())); err == nil && strings.HasPrefix(to, "socket:") {
			names = append(names, to)
		}
	}
	return names, nil
}

// tcpRows describes the TCP sockets of a process's network by their names.
func tcpRows(pid int) map[string]string {
	const (
		localField = 1 + iota
		remoteField
		stateField
		inodeField = 9
	)
	raw, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "net", "tcp"))
	if err != nil {
		return nil
	}
	rows := map[string]string{}
	for _, line := range strings.Split(string(raw), "\n")[1:] {
		fields := strings.Fields(line)
		if len(fields) <= inodeField {
			continue
		}
		state := tcpStates[fields[stateField]]
		if state == "" {
			state = "state " + fields[stateField]
		}
		name := "socket:[" + fields[inodeField] + "]"
		rows[name] = fmt.Sprintf("%s to %s, %s", tableAddress(fields[localField]), tableAddress(fields[remoteField]), state)
	}
	return rows
}

// tableAddress reads an address of the kernel's table: the bytes of the IPv4 address in the machine's order, and the port.
func tableAddress(text string) netip.AddrPort {
	address, port, _ := strings.Cut(text, ":")
	number, err := strconv.ParseUint(port, 16, 16)
	if err != nil {
		return netip.AddrPort{}
	}
	raw, err := hex.DecodeString(address)
	if err != nil || len(raw) != 4 {
		return netip.AddrPort{}
	}
	var ordered [4]byte
	binary.NativeEndian.PutUint32(ordered[:], binary.BigEndian.Uint32(raw))
	return netip.AddrPortFrom(netip.AddrFrom4(ordered), uint16(number))
}
