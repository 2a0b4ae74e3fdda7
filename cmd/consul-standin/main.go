// Command consul-standin is a stand-in for a Consul agent, for trying quincegap with Consul as the source of its endpoints when no Consul
// is available. It serves the instances of one service on loopback and reads commands from standard input.
package main

import (
	"bufio"
	"errors"
	"flag"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strings"
	"time"

	"quincegap/internal/standin/consul"
)

// help lists the commands that standard input takes.
const help = `commands, one per line:
  add ID HOST:PORT       register an instance, passing
  remove ID              deregister it
  status ID STATUS       passing, warning or critical
  fault NAME             none, hang, refuse, empty, half, noleader, noindex, 429, 500, 403, reset, cut
  quit
`

// errUnknownFault is the error for a fault command whose name is not in faults.
var errUnknownFault = errors.New("unknown fault name")

func main() {
	listen := flag.String("listen", "127.0.0.1:8500", "loopback address to serve on")
	flag.Parse()
	if !strings.HasPrefix(*listen, "127.") && !strings.HasPrefix(*listen, "[::1]") {
		fmt.Fprintln(os.Stderr, "consul-standin: -listen must be a loopback address")
		os.Exit(2)
	}
	server, err := consul.Start(*listen)
	if err != nil {
		fmt.Fprintln(os.Stderr, "consul-standin:", err)
		os.Exit(1)
	}
	defer server.Close()
	fmt.Printf("Consul stand-in listening on %s\n%s", server.Address(), help)
	runCommands(server, bufio.NewScanner(os.Stdin))
}

// runCommands runs the commands of the input until quit or the end of the input.
func runCommands(server *consul.Server, lines *bufio.Scanner) {
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) == 1 && fields[0] == "quit" {
			return
		}
		if err := runCommand(server, fields); err != nil {
			fmt.Println(err)
		}
	}
	if err := lines.Err(); err != nil {
		fmt.Fprintln(os.Stderr, "consul-standin: standard input:", err)
	}
}

// faults has the fault for each name that the fault command takes.
var faults = map[string]consul.Fault{
	"none":     {},
	"hang":     {Hang: true},
	"refuse":   {Refuse: true},
	"empty":    {Empty: true},
	"half":     {FirstHalf: true},
	"noleader": {NoLeader: true},
	"noindex":  {NoIndex: true},
	"429":      {Status: http.StatusTooManyRequests},
	"500":      {Status: http.StatusInternalServerError},
	"403":      {Status: http.StatusForbidden},
	"reset":    {Reset: true},
	"cut":      {Truncate: true},
}

// runCommand runs the command whose fields are given; an empty line has none and does nothing. It fails if the command or its fault
// is unknown, or if its arguments are invalid.
func runCommand(server *consul.Server, fields []string) error {
	switch {
	case len(fields) == 0:
	case fields[0] == "add" && len(fields) == 3 && strings.Contains(fields[2], ":"):
		server.Update(func(all []consul.Instance) []consul.Instance {
			return append(all, consul.Instance{Node: "node", ID: fields[1], PassingWeight: 1, WarningWeight: 1}.WithAddress(fields[2]))
		})
	case fields[0] == "remove" && len(fields) == 2:
		server.Update(func(all []consul.Instance) []consul.Instance {
			return slices.DeleteFunc(all, func(instance consul.Instance) bool { return instance.ID == fields[1] })
		})
	case fields[0] == "status" && len(fields) == 3:
		server.SetStatus(fields[1], fields[2])
	case fields[0] == "fault" && len(fields) == 2:
		fault, ok := faults[fields[1]]
		if !ok {
			return errUnknownFault
		}
		server.SetFault(fault)
	default:
		return fmt.Errorf("unknown command or invalid arguments at %s\n%s", time.Now().Format(time.TimeOnly), help)
	}
	return nil
}
