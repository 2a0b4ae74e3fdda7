package appfile

import "strings"

// The bounds of names, in bytes.
const (
	maxHostNameBytes  = 253 // RFC 1123, section 2.1
	maxHostLabelBytes = 63
	maxNameBytes      = 128
	maxSeedDigits     = 16
)

// HostNameFault returns why a text is not a host name in lower case (RFC 1123, section 2.1), or "" if it is one.
func HostNameFault(s string) string {
	if len(s) > maxHostNameBytes {
		return "is longer than the 253 characters of a host name"
	}
	for label := range strings.SplitSeq(s, ".") {
		if label == "" || len(label) > maxHostLabelBytes || strings.HasPrefix(label, "-") || strings.HasSuffix(label, "-") ||
			strings.Trim(label, "abcdefghijklmnopqrstuvwxyz0123456789-") != "" {
			return "is no host name in small letters, like slot-keeper.example.org"
		}
	}
	return ""
}

// nameFault returns why a text is not a valid name of a class, call, host, instance or tenant, or "" if it is one.
func nameFault(s string) string {
	if len(s) > maxNameBytes || strings.Trim(s, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789_.-") != "" || s == "" {
		return "is no name of up to 128 letters, digits, dots, - and _"
	}
	return ""
}

// seedFault returns why a text is not a seed for random numbers, or "" if it is one.
func seedFault(s string) string {
	if len(s) > maxSeedDigits || strings.Trim(s, "0123456789abcdefABCDEF") != "" {
		return "is no hexadecimal number of up to 16 digits"
	}
	return ""
}
