package settings

import (
	"net"
	"net/netip"
	"time"

	"github.com/tidwall/gjson"
)

// Values of FieldError.Wanted.
const (
	wantedText     = "a text"
	wantedIP       = "an IP address like 10.0.0.4"
	wantedAddress  = "an address like 10.0.0.4:8080"
	wantedFlag     = "true or false"
	wantedNumber   = "a number that is not negative"
	wantedCount    = "a number from 0 to 2147483647"
	wantedDuration = "a time like 1500ms or 2.5s"
	wantedPorts    = "two ports, the first and the last"
)

// addInvalid records an error for the field at a path.
func (p *parser) addInvalid(path, wanted string) {
	p.invalid = append(p.invalid, FieldError{Path: path, Wanted: wanted, Found: p.root.Get(path).String()})
}

// text returns the string at a path, which may be missing; then it is empty.
func (p *parser) text(path string) string {
	value := p.root.Get(path)
	if value.Exists() && value.Type != gjson.String {
		p.addInvalid(path, wantedText)
	}
	return value.String()
}

// requiredText returns the string at a path, which must not be missing or empty.
func (p *parser) requiredText(path string) string {
	value := p.root.Get(path)
	if value.Type != gjson.String || value.String() == "" {
		p.addInvalid(path, wantedText)
	}
	return value.String()
}

// ipAddress returns the IP address at a path, which must not be missing.
func (p *parser) ipAddress(path string) string {
	value := p.root.Get(path)
	if _, err := netip.ParseAddr(value.String()); err != nil || value.Type != gjson.String {
		p.addInvalid(path, wantedIP)
	}
	return value.String()
}

// address returns the host:port at a path, which may be missing or empty.
func (p *parser) address(path string) string {
	address := p.text(path)
	if address == "" {
		return ""
	}
	if _, _, err := net.SplitHostPort(address); err != nil {
		p.addInvalid(path, wantedAddress)
	}
	return address
}

// flag returns the boolean at a path; false if it is missing.
func (p *parser) flag(path string) bool {
	value := p.root.Get(path)
	if value.Exists() && !value.IsBool() {
		p.addInvalid(path, wantedFlag)
	}
	return value.Bool()
}

// number returns the number at a path, which must not be negative; fallback if it is missing.
func (p *parser) number(path string, fallback float64) float64 {
	value := p.root.Get(path)
	if !value.Exists() {
		return fallback
	}
	if value.Type != gjson.Number || value.Float() < 0 {
		p.addInvalid(path, wantedNumber)
	}
	return value.Float()
}

// count returns the number at a path, without its fraction; it must be between 0 and maxCount. fallback is returned if it is missing.
func (p *parser) count(path string, fallback int) int {
	value := p.root.Get(path)
	if !value.Exists() {
		return fallback
	}
	if value.Type != gjson.Number || value.Float() < 0 || value.Float() > maxCount {
		p.addInvalid(path, wantedCount)
		return fallback
	}
	return int(value.Float())
}

// duration returns the duration at a path, which must not be negative; fallback if it is missing.
func (p *parser) duration(path string, fallback time.Duration) time.Duration {
	value := p.root.Get(path)
	if !value.Exists() {
		return fallback
	}
	d, err := time.ParseDuration(value.String())
	if err != nil || d < 0 {
		p.addInvalid(path, wantedDuration)
	}
	return d
}
