package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
)

// With a settings file alone, without a platform, the program serves and sends its token to discovery.
func TestProductFileAlone(t *testing.T) {
	discovery := startSite(t, 2)
	discovery.Token = "t0ken"
	token := filepath.Join(t.TempDir(), "token")
	writeFile(t, token, "t0ken\n")
	text := fmt.Sprintf(sidecarFile, discovery.Address())
	p := launch(t, strings.Replace(text, "[discovery]", fmt.Sprintf("[discovery]\ntoken_file = %q", token), 1))
	if status, err := p.book(http.DefaultClient, "trip"); err != nil || status != http.StatusOK {
		t.Errorf("status %d, %v", status, err)
	}
	p.signal(syscall.SIGTERM)
	if log := p.awaitLog("stopping"); strings.Contains(log, "t0ken") {
		t.Error("the token is in the log")
	}
	for range p.log {
	}
	if err := p.cmd.Wait(); err != nil {
		t.Errorf("after SIGTERM: %v", err)
	}
}

// A file that cannot be used ends the program with the messages of quincegapctl check, before it listens.
func TestBadFileEndsTheProgram(t *testing.T) {
	file := filepath.Join(t.TempDir(), "sidecar.toml")
	writeFile(t, file, "[sidecar]\nlisten = \"127.0.0.1\"\n[limts]\n")
	for args, want := range map[string][]string{
		"-config " + file: {
			file + `:2:10: sidecar.listen: "127.0.0.1" has no port`,
			file + `:3:2: unknown table "limts"; did you mean "limits"?`,
		},
		"-config /nowhere":           {"/nowhere: cannot be read: no such file or directory"},
		"-config " + file + " extra": {`unknown argument "extra"`},
		"-confg " + file:             {"flag provided but not defined"},
	} {
		cmd := ownProgram("", strings.Fields(args)...)
		out, err := cmd.CombinedOutput()
		if err == nil {
			t.Errorf("%s: it started", args)
		}
		for _, w := range want {
			if !strings.Contains(string(out), w) {
				t.Errorf("%s: got\n%s\nwant %s", args, out, w)
			}
		}
	}
}

// Beside a platform's configuration the settings file need not repeat what that has, and the platform takes precedence.
func TestProductFileUnderAPlatform(t *testing.T) {
	discovery := startSite(t, 1)
	platform := filepath.Join(t.TempDir(), "config.json")
	text := fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","discovery":%q,"seed":"a1",
		"limits":{"cores":1,"memory_mb":64,"sockets":256},
		"settings":{"allowed":{"connectTimeout":2000000},"discovery":"push","instances":1,"services":[{"name":"book-trip","aim":1000000,
		"deadline":6000000,"effect":"idempotency_key","keyScope":"all","window":10000000,"gain":1}],
		"tiers":["front"],"zones":["z"],"models":["m"]}}`, discovery.Address())
	writeFile(t, platform, text)
	p := launch(t, "[callers]\nmax_body = \"1KiB\"\n[limits]\nsockets = 99\n", "BALANCER_CONFIG="+platform)
	if !strings.Contains(p.startLog, p.file+":4: limits.sockets is not used") {
		t.Errorf("it logged\n%s", p.startLog)
	}
	p.writeFile("[callers]\nmax_body = \"1KiB\"\n[limits]\nsockets = 98\n") // a setting that is not used may change
	p.signal(syscall.SIGHUP)
	p.awaitLog("reload: discovery is " + discovery.Address())
	if status, err := p.book(http.DefaultClient, strings.Repeat("x", 1025)); err != nil || status != http.StatusRequestEntityTooLarge {
		t.Errorf("status %d, %v", status, err)
	}
	if status, err := p.book(http.DefaultClient, "trip"); err != nil || status != http.StatusOK {
		t.Errorf("status %d, %v", status, err)
	}
}

// Under load, SIGHUP with each kind of broken file, and with files that change what must not change, loses no request and changes nothing.
// A good file then takes effect at once.
func TestReloadUnderLoad(t *testing.T) {
	broken, err := filepath.Glob(filepath.Join("..", "..", "internal", "tool", "testdata", "mistakes", "*.toml"))
	if err != nil || len(broken) < 80 {
		t.Fatalf("%d broken files, %v", len(broken), err)
	}
	discovery := startSite(t, 3)
	good := fmt.Sprintf(sidecarFile, discovery.Address())
	sidecar := launch(t, good)

	var served atomic.Int64
	stop := sidecar.startCallers(4, &served)
	checkRejected := func(what string, wants ...string) {
		t.Helper()
		sidecar.signal(syscall.SIGHUP)
		log := sidecar.awaitLog("the old configuration stays")
		for _, want := range wants {
			if !strings.Contains(log, want) {
				t.Errorf("%s: logged\n%s\nwant %q", what, log, want)
			}
		}
	}
	for _, path := range broken {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		sidecar.writeFile(string(text))
		checkRejected(path, sidecar.file+":")
	}
	if err := os.Remove(sidecar.file); err != nil {
		t.Fatal(err)
	}
	checkRejected("no file", "no such file")
	sidecar.writeFile(good + "[limits]\nsockets = 999\n[callers]\nmax_body = \"2KiB\"\n")
	checkRejected("sockets", fmt.Sprintf("%s:20:1: limits.sockets has changed, which takes effect at a start only", sidecar.file))
	sidecar.writeFile(strings.Replace(good, "[class.find-trip]\naim = \"2s\"\ndeadline = \"6s\"\neffect = \"safe\"\n", "", 1))
	checkRejected("a class removed", "class.find-trip.aim has changed")

	// None of these took effect: a body of 3 KiB is still accepted.
	if status, err := sidecar.book(http.DefaultClient, strings.Repeat("x", 3<<10)); err != nil || status != http.StatusOK {
		t.Errorf("status %d, %v", status, err)
	}
	// A good file takes effect completely: the bound, and another discovery.
	other := startSite(t, 2)
	sidecar.writeFile(strings.Replace(good, discovery.Address(), other.Address(), 1) + "[callers]\nmax_body = \"2KiB\"\n")
	sidecar.signal(syscall.SIGHUP)
	sidecar.awaitLog("reload: discovery is " + other.Address())
	if status, err := sidecar.book(http.DefaultClient, strings.Repeat("x", 3<<10)); err != nil || status != http.StatusRequestEntityTooLarge {
		t.Errorf("status %d, %v", status, err)
	}
	awaitMore(t, &served, 50)
	stop()
	if served.Load() == 0 {
		t.Error("nothing was served")
	}
}

// If the address to listen on is in use the program ends, and names it.
func TestListenerTaken(t *testing.T) {
	taken, err := listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer closeNow(taken)
	discovery := startSite(t, 1)
	file := filepath.Join(t.TempDir(), "sidecar.toml")
	text := strings.Replace(fmt.Sprintf(sidecarFile, discovery.Address()), "127.0.0.1:0", taken.Addr().String(), 1)
	writeFile(t, file, text)
	cmd := ownProgram("", "-config", file)
	if out, err := cmd.CombinedOutput(); err == nil || !strings.Contains(string(out), taken.Addr().String()) {
		t.Errorf("%v: %s", err, out)
	}
}
