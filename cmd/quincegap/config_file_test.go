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

// With a settings file and without a platform's configuration, the program serves and sends its token to the discovery service. It does not
// log the token.
func TestSettingsFileAlone(t *testing.T) {
	discovery := startSite(t, 2)
	discovery.Token = "t0ken"
	token := filepath.Join(t.TempDir(), "token")
	writeFile(t, token, "t0ken\n")
	text := fmt.Sprintf(sidecarFile, discovery.Address())
	sidecar := launch(t, strings.Replace(text, "[discovery]", fmt.Sprintf("[discovery]\ntoken_file = %q", token), 1))
	if status, err := sidecar.book(http.DefaultClient, "trip"); err != nil || status != http.StatusOK {
		t.Errorf("a booking: got status %d, error %v, want status 200", status, err)
	}
	sidecar.signal(syscall.SIGTERM)
	if log := sidecar.awaitLog("stopping"); strings.Contains(log, "t0ken") {
		t.Error("the program logged its token")
	}
	for range sidecar.log {
	}
	if err := sidecar.cmd.Wait(); err != nil {
		t.Errorf("after SIGTERM the program ended with %v, want status 0", err)
	}
}

// If the settings file cannot be used, the program prints the messages of quincegapctl check and exits with an error before it listens.
func TestBadFileEndsTheProgram(t *testing.T) {
	file := filepath.Join(t.TempDir(), "sidecar.toml")
	writeFile(t, file, "[sidecar]\nlisten = \"127.0.0.1\"\n[limts]\n")
	for args, messages := range map[string][]string{
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
			t.Errorf("arguments %s: the program ended without an error", args)
		}
		for _, message := range messages {
			if !strings.Contains(string(out), message) {
				t.Errorf("arguments %s: got output\n%s\nwant it to contain %s", args, out, message)
			}
		}
	}
}

// A settings file that is used with a platform's configuration need not repeat the settings there. The platform's settings have precedence.
func TestSettingsFileWithAPlatform(t *testing.T) {
	discovery := startSite(t, 1)
	platform := filepath.Join(t.TempDir(), "config.json")
	text := fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","discovery":%q,"seed":"a1",
		"limits":{"cores":1,"memory_mb":64,"sockets":256},
		"settings":{"allowed":{"connectTimeout":2000000},"discovery":"push","instances":1,"services":[{"name":"book-trip","aim":1000000,
		"deadline":6000000,"effect":"idempotency_key","keyScope":"all","window":10000000,"gain":1}],
		"tiers":["front"],"zones":["z"],"models":["m"]}}`, discovery.Address())
	writeFile(t, platform, text)
	sidecar := launch(t, "[callers]\nmax_body = \"1KiB\"\n[limits]\nsockets = 99\n", "BALANCER_CONFIG="+platform)
	if !strings.Contains(sidecar.startLog, sidecar.file+":4: limits.sockets is not used") {
		t.Errorf("the start logged\n%s\nwant a line that limits.sockets of the settings file is not used", sidecar.startLog)
	}
	sidecar.writeFile("[callers]\nmax_body = \"1KiB\"\n[limits]\nsockets = 98\n") // a change of a setting that is not used is accepted
	sidecar.signal(syscall.SIGHUP)
	sidecar.awaitLog("reload: discovery is " + discovery.Address())
	if status, err := sidecar.book(http.DefaultClient, strings.Repeat("x", 1025)); err != nil || status != http.StatusRequestEntityTooLarge {
		t.Errorf("a body of 1,025 bytes: got status %d, error %v, want status 413", status, err)
	}
	if status, err := sidecar.book(http.DefaultClient, "trip"); err != nil || status != http.StatusOK {
		t.Errorf("a booking: got status %d, error %v, want status 200", status, err)
	}
}

// Under load the program gets SIGHUP with each kind of broken settings file, and with files that change settings which must not change. It
// loses no request and keeps its settings. A valid file then takes effect at once.
func TestReloadUnderLoad(t *testing.T) {
	broken, err := filepath.Glob(filepath.Join("..", "..", "internal", "tool", "testdata", "mistakes", "*.toml"))
	if err != nil || len(broken) < 80 {
		t.Fatalf("broken settings files: found %d, error %v, want at least 80", len(broken), err)
	}
	discovery := startSite(t, 3)
	good := fmt.Sprintf(sidecarFile, discovery.Address())
	sidecar := launch(t, good)

	var served atomic.Int64
	stop := sidecar.startCallers(4, &served)
	checkRejected := func(what string, messages ...string) {
		t.Helper()
		sidecar.signal(syscall.SIGHUP)
		log := sidecar.awaitLog("the previous configuration remains in effect")
		for _, message := range messages {
			if !strings.Contains(log, message) {
				t.Errorf("reload of %s: logged\n%s\nwant it to contain %q", what, log, message)
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
	checkRejected("sockets", fmt.Sprintf("%s:20:1: limits.sockets has changed; the change requires a restart", sidecar.file))
	sidecar.writeFile(strings.Replace(good, "[class.find-trip]\naim = \"2s\"\ndeadline = \"6s\"\neffect = \"safe\"\n", "", 1))
	checkRejected("a class removed", "class.find-trip.aim has changed")

	// No setting of these files was applied: a body of 3 KiB is still accepted.
	if status, err := sidecar.book(http.DefaultClient, strings.Repeat("x", 3<<10)); err != nil || status != http.StatusOK {
		t.Errorf("a body of 3 KiB with the old settings: got status %d, error %v, want status 200", status, err)
	}
	// A valid file is applied completely: the limit of bodies, and another discovery service.
	other := startSite(t, 2)
	sidecar.writeFile(strings.Replace(good, discovery.Address(), other.Address(), 1) + "[callers]\nmax_body = \"2KiB\"\n")
	sidecar.signal(syscall.SIGHUP)
	sidecar.awaitLog("reload: discovery is " + other.Address())
	if status, err := sidecar.book(http.DefaultClient, strings.Repeat("x", 3<<10)); err != nil || status != http.StatusRequestEntityTooLarge {
		t.Errorf("a body of 3 KiB with the new settings: got status %d, error %v, want status 413", status, err)
	}
	awaitMore(t, &served, 50)
	stop()
	if served.Load() == 0 {
		t.Error("no booking was served")
	}
}

// If the address on which to listen is in use, the program exits with an error that names the address.
func TestListenAddressInUse(t *testing.T) {
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
		t.Errorf("listening on %s, which is in use: got error %v and output %s, want an error and the address", taken.Addr(), err, out)
	}
}
