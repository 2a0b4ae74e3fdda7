package assembly

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// What clients send to a process that does not read took it over its machine's memory, and the platform killed it.
func TestUnreadBytesLeaveMemoryToTheProcess(t *testing.T) {
	const clients = 200 // to each port, before the process is frozen, and as many after that
	mesh := newMesh(t, 15)
	mesh.waitFirstConfiguration("", "k1")
	mesh.waitServed("access-0", "/read/x")
	machine := mesh.machines["access-0"]
	ports := []string{"8100", "8105", "8106", "7640"}
	accepted := mesh.dialAll(machine, ports, clients)
	for _, conn := range accepted {
		_, err := fmt.Fprintf(conn, "POST /book/x HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 90000\r\n")
		mesh.Assert(err, qt.IsNil)
	}
	mesh.waitFor("the process has read from all connections", func() bool { return unreadBytes(mesh.C, machine.ip) == 0 })
	mesh.Assert(machine.cmd.Process.Signal(syscall.SIGSTOP), qt.IsNil)
	waiting := mesh.dialAll(machine, ports, clients)
	for _, conn := range append(accepted, waiting...) {
		go sendUntilClosed(conn)
	}
	most := int64(0)
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		most = max(most, unreadBytes(mesh.C, machine.ip))
	}
	mesh.Assert(machine.cmd.Process.Signal(syscall.SIGCONT), qt.IsNil)
	const machineBytes = 280 << 20
	mesh.Check(float64(most) <= (1-heapFraction)*machineBytes, qt.IsTrue, qt.Commentf("%d MB are unread", most>>20))
	for _, conn := range append(accepted, waiting...) {
		_ = conn.Close() // the process may have closed it
	}
	mesh.waitServed("access-0", "/read/x")
}

// dialAll opens a number of connections to each port of a machine. Those that the machine does not take within a second are left out.
func (t *testMesh) dialAll(machine *testMachine, ports []string, count int) (connections []net.Conn) {
	results := make(chan net.Conn)
	dialer := net.Dialer{Timeout: time.Second}
	for _, port := range ports {
		for range count {
			go func() {
				conn, err := dialer.DialContext(t.Context(), "tcp4", net.JoinHostPort(machine.ip, port))
				if err != nil {
					conn = nil
				}
				results <- conn
			}()
		}
	}
	for range len(ports) * count {
		if conn := <-results; conn != nil {
			connections = append(connections, conn)
		}
	}
	return connections
}

// sendUntilClosed sends zeros until the connection is closed.
func sendUntilClosed(conn net.Conn) {
	zeros := make([]byte, 64<<10)
	for {
		if _, err := conn.Write(zeros); err != nil {
			return
		}
	}
}

// unreadBytes returns the number of bytes that have arrived at the connections of an IPv4 address and were not read yet, also at those
// that were not accepted yet, according to proc_net_tcp(5).
func unreadBytes(c *qt.C, ip string) (total int64) {
	const listening = "0A"
	prefix := fmt.Sprintf("%08X:", binary.LittleEndian.Uint32(net.ParseIP(ip).To4()))
	file, err := os.Open("/proc/net/tcp")
	c.Assert(err, qt.IsNil)
	defer file.Close() //nolint:errcheck // it was only read
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		fields := strings.Fields(lines.Text()) // number, local and remote address, state, queues
		if !strings.HasPrefix(fields[1], prefix) || fields[3] == listening {
			continue
		}
		_, unread, _ := strings.Cut(fields[4], ":")
		n, err := strconv.ParseInt(unread, 16, 64)
		c.Assert(err, qt.IsNil)
		total += n
	}
	return total
}
