// Command consul-standin is a stand-in for a Consul agent, to try quincegap with Consul as its source without one. It serves the
// instances of one service on loopback and reads commands from standard input.
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

// help lists the commands.
const help = `orders, one a line:
  add ID HOST:PORT       register an instance, passing
  remove ID              deregister it
  status ID STATUS       passing, warning or critical
  fault NAME             none, hang, refuse, empty, half, noleader, noindex, 429, 500, 403, reset, cut
  quit
`

// errNoSuchFault is the error for a command with an unknown fault.
var errNoSuchFault = errors.New("no such fault")

func main() {
	listen := flag.String("listen", "127.0.0.1:8500", "loopback address to serve on")
	flag.Parse()
	if !strings.HasPrefix(*listen, "127.") && !strings.HasPrefix(*listen, "[::1]") {
		fmt.Fprintln(os.Stderr, "consul-standin: it serves on loopback only")
		os.Exit(2)
	}
	s, err := consul.Start(*listen)
	if err != nil {
		fmt.Fprintln(os.Stderr, "consul-standin:", err)
		os.Exit(1)
	}
	defer s.Close()
	fmt.Printf("a stand-in for Consul serves on %s\n%s", s.Address(), help)
	runCommands(s, bufio.NewScanner(os.Stdin))
}

// runCommands runs the commands of the input until quit or the end of the input.
func runCommands(s *consul.Server, lines *bufio.Scanner) {
	for lines.Scan() {
		words := strings.Fields(lines.Text())
		if len(words) == 1 && words[0] == "quit" {
			return
		}
		if err := runCommand(s, words); err != nil {
			fmt.Println(err)
		}
	}
	if err := lines.Err(); err != nil {
		fmt.Fprintln(os.Stderr, "consul-standin: standard input:", err)
	}
}

// faults maps the names of faults in commands.
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

// runCommand runs one command. An empty line is no command.
func runCommand(server *consul.Server, words []string) error {
	switch {
	case len(words) == 0:
	case words[0] == "add" && len(words) == 3 && strings.Contains(words[2], ":"):
		server.Update(func(all []consul.Instance) []consul.Instance {
			return append(all, consul.Instance{Node: "node", ID: words[1], PassingWeight: 1, WarningWeight: 1}.WithAddress(words[2]))
		})
	case words[0] == "remove" && len(words) == 2:
		server.Update(func(all []consul.Instance) []consul.Instance {
			return slices.DeleteFunc(all, func(i consul.Instance) bool { return i.ID == words[1] })
		})
	case words[0] == "status" && len(words) == 3:
		server.SetStatus(words[1], words[2])
	case words[0] == "fault" && len(words) == 2:
		fault, ok := faults[words[1]]
		if !ok {
			return errNoSuchFault
		}
		server.SetFault(fault)
	default:
		return fmt.Errorf("not understood at %s\n%s", time.Now().Format(time.TimeOnly), help)
	}
	return nil
}
