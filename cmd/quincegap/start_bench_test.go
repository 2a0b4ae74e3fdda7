package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// BenchmarkStart starts the program with a platform's configuration, with a settings file, and with both. It reports the time until the
// program is ready and the memory that it then uses. Run it with a built program:
//
//	go build -o bin/ ./cmd/quincegap && QUINCEGAP=$PWD/bin/quincegap go test ./cmd/quincegap -run '^$' -bench Start -benchtime 20x
func BenchmarkStart(b *testing.B) {
	program := os.Getenv("QUINCEGAP")
	if program == "" {
		b.Skip("QUINCEGAP names no program")
	}
	discovery := startSite(b, 3)
	dir := b.TempDir()
	platform := filepath.Join(dir, "config.json")
	file := filepath.Join(dir, "sidecar.toml")
	overlay := filepath.Join(dir, "overlay.toml")
	address := freePort(b)
	writeFile(b, platform, fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"a1",
		"limits":{"cores":1,"memory_mb":192,"sockets":1024},
		"settings":{"allowed":{"connectTimeout":2000000},"discovery":"push","instances":1,"services":[{"name":"book-trip","aim":1000000,
		"deadline":6000000,"effect":"idempotency_key","keyScope":"all","window":10000000,"gain":1}],
		"tiers":["front"],"zones":["z"],"models":["m"]}}`, address, discovery.Address()))
	writeFile(b, file, strings.Replace(fmt.Sprintf(sidecarFile, discovery.Address()), "127.0.0.1:0", address, 1))
	writeFile(b, overlay, "[callers]\nmax_body = \"32KiB\"\n")
	for _, testCase := range []struct {
		name string
		args []string
		env  string
	}{
		{"platform", nil, "BALANCER_CONFIG=" + platform},
		{"platform+file", []string{"-config", overlay}, "BALANCER_CONFIG=" + platform},
		{"file", []string{"-config", file}, "BALANCER_CONFIG="},
	} {
		b.Run(testCase.name, func(b *testing.B) {
			var rss, peak float64
			for range b.N {
				cmd := command(program, testCase.args...)
				cmd.Env = append(os.Environ(), testCase.env)
				if err := cmd.Start(); err != nil {
					b.Fatal(err)
				}
				client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
				awaitReady(b, client, "http://"+address, 200*time.Microsecond)
				b.StopTimer()
				status := processStatus(b, cmd.Process.Pid)
				rss += kilobytes(status, "VmRSS:")
				peak += kilobytes(status, "VmHWM:")
				killNow(cmd)
				b.StartTimer()
			}
			b.ReportMetric(rss/float64(b.N)/1024, "MiB-rss")
			b.ReportMetric(peak/float64(b.N)/1024, "MiB-peak")
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N)/1000, "ms/start")
		})
	}
}
