package admin

import (
	"net"
	"strings"

	"quincegap/internal/config/schema"
)

// unixPrefix is the prefix of the address of a Unix socket.
const unixPrefix = "unix:"

// maxSocketPath bounds the path of a Unix socket, in bytes; the operating system's bound is 108.
const maxSocketPath = 100

// Settings is the table [admin] of a settings file.
type Settings struct{ Listen string } // address to listen on: unix:PATH, or host:port on loopback; empty disables the server

// Table is the table [admin] of a settings file.
var Table = schema.NewTable("admin", "A read-only view for people; it is off unless it is set.",
	schema.String("admin_listen", func(s *Settings) *string { return &s.Listen },
		schema.StringOptions{
			Example: "unix:/run/quincegap/front.sock",
			Type:    "address",
			Bounds:  "unix:PATH, or host:port on loopback",
			Fault:   badAddress,
		}, schema.AtStart,
		"Where quincegapctl members asks. A Unix socket is open to this user and group only; on loopback everybody on the machine can read it."),
)

// badAddress returns why an address is not permitted, for example because other machines could reach it; empty if it is permitted.
func badAddress(text string) string {
	if path, ok := strings.CutPrefix(text, unixPrefix); ok {
		if path == "" || len(path) > maxSocketPath {
			return "names no path of a socket, or one of over 100 characters"
		}
		return ""
	}
	host, port, err := net.SplitHostPort(text)
	ip := net.ParseIP(host)
	switch {
	case err != nil || port == "" || strings.Trim(port, "0123456789") != "":
		return "is neither unix:PATH nor host:port"
	case ip == nil || !ip.IsLoopback():
		return "is not on loopback; others could read it"
	}
	return ""
}

// splitAddress converts an address into the network and the address that package net expects.
func splitAddress(address string) (network, target string) {
	if path, ok := strings.CutPrefix(address, unixPrefix); ok {
		return "unix", path
	}
	return "tcp", address
}
