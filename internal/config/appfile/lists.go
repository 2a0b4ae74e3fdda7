package appfile

import (
	"fmt"
	"net"
	"strings"
)

// SplitList splits a value at commas, trims white space around the parts and omits empty ones.
func SplitList(text string) (all []string) {
	for part := range strings.SplitSeq(text, ",") {
		if part = strings.TrimSpace(part); part != "" {
			all = append(all, part)
		}
	}
	return all
}

// AddressListFault returns a check of a comma-separated list of one to maxAddresses addresses in the form host:port. The check returns what
// is wrong with a text, or "".
func AddressListFault(maxAddresses int) func(text string) string {
	return func(text string) string {
		all := SplitList(text)
		if len(all) == 0 || len(all) > maxAddresses {
			return fmt.Sprintf("is not a list of 1 to %d addresses", maxAddresses)
		}
		for _, a := range all {
			if host, port, err := net.SplitHostPort(a); err != nil || host == "" || strings.Trim(port, "0123456789") != "" || port == "" {
				return "is not a comma-separated list of host:port"
			}
		}
		return ""
	}
}

// ServiceNameFault returns why a text cannot be the name of a service in Consul, or "" if it can.
func ServiceNameFault(text string) string {
	if strings.ContainsAny(text, "/?#% \"`\\") || len(text) > maxNameBytes {
		return "is not a valid service name"
	}
	return ""
}
