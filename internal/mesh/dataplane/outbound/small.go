package outbound

import (
	"math/rand/v2"
	"strconv"
	"strings"
)

func itoa(n uint64) string { return strconv.FormatUint(n, 36) }

func (d *Proxy) random() float64 { return rand.Float64() }

func splitComma(s string) (out []string) {
	for _, x := range strings.Split(s, ",") {
		if x = strings.TrimSpace(x); x != "" {
			out = append(out, x)
		}
	}
	return out
}
