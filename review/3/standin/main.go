//go:build review

// Command standin plays case 3: clients that upload large documents, within the configured bound, to the services of other machines. The
// platform kills a process that goes over its machine's memory, and starts it again. See claim.txt.
package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"

	"quincegap/review/lab"
)

const (
	uploadTime = 50 * time.Second
	deadline   = 20 * time.Second
	restart    = time.Second // from a process's end to its next start
	faultEnds  = 3           // ends of a process by themselves that are a fault, on a tenth of the machines, two at least
	faultCount = 2
)

func main() { os.Exit(run()) }

// ends counts how often the platform has killed the process of each machine.
type ends struct {
	mu    sync.Mutex
	count map[string]int
	peak  map[string]int // most memory seen, in MB
}

func run() int {
	l, err := lab.New(os.Args[1])
	if err != nil {
		fmt.Println(err)
		return lab.NotRun
	}
	defer l.Close()
	if !start(l) {
		l.Note("the deployment did not start")
		return lab.NotRun
	}
	seen := &ends{count: map[string]int{}, peak: map[string]int{}}
	stop := make(chan struct{})
	var platform sync.WaitGroup
	for _, m := range l.Sidecars {
		platform.Go(func() { watch(l, m, seen, stop) })
	}
	sizes := []int{62 << 20, 22 << 20}
	if os.Getenv("TROUBLE") == "0" {
		sizes = []int{1 << 20, 1 << 20}
	}
	upload(l, sizes)
	close(stop)
	platform.Wait()
	often := 0
	for _, m := range l.Sidecars {
		l.Note("%s: ended %d times, %d MB at most, %d allowed", m.Name, seen.count[m.Name], seen.peak[m.Name], l.MemoryMB)
		if seen.count[m.Name] >= faultEnds {
			often++
		}
	}
	if often >= faultCount {
		l.Note("BROKEN: on %d of %d machines the process has ended %d times or more", often, len(l.Sidecars), faultEnds)
		return lab.Broken
	}
	return lab.Held
}

// start starts three core machines and four others.
func start(l *lab.Lab) bool {
	for zone := range 3 {
		l.AddCore(zone)
	}
	for i := range 4 {
		l.AddSidecar(i%3, []string{"works-desk", "inspection-vault"}[i%2])
	}
	if err := l.StartAll(); err != nil {
		l.Note("%v", err)
		return false
	}
	config := map[string]any{"configVersion": "r1", "limitSet": lab.Limits(),
		"serviceTable": []any{lab.Service("works-desk"), lab.Service("inspection-vault")},
		"routeTable": []any{lab.Route("r-desk", "desk.example", "non_idempotent", "works-desk", "20000ms", "10000ms"),
			lab.Route("r-vault", "vault.example", "non_idempotent", "inspection-vault", "20000ms", "10000ms")}}
	if l.Replace("0", config, 10*time.Second) != http.StatusOK {
		return false
	}
	for i, m := range l.Sidecars {
		if !m.Ready(10 * time.Second) {
			return false
		}
		if _, err := m.NewEndpoint(fmt.Sprintf("i-%d", i+1), 6, func(*http.Request, []byte) (int, []byte) {
			time.Sleep(40 * time.Millisecond)
			return http.StatusOK, []byte("kept")
		}); err != nil {
			l.Note("%v", err)
			return false
		}
	}
	time.Sleep(3 * time.Second)
	return true
}

// watch does the platform's part: it kills the process of a machine when that goes over the machine's memory, and starts it again. Only
// anonymous memory is counted, not the pages of the program's file.
func watch(l *lab.Lab, m *lab.Machine, seen *ends, stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(5 * time.Millisecond):
		}
		mb := m.MemoryMB()
		seen.mu.Lock()
		seen.peak[m.Name] = max(seen.peak[m.Name], mb)
		seen.mu.Unlock()
		if mb <= l.MemoryMB {
			continue
		}
		l.Note("platform: %s uses %d MB, %d are allowed", m.Name, mb, l.MemoryMB)
		m.Kill()
		seen.mu.Lock()
		seen.count[m.Name]++
		seen.mu.Unlock()
		time.Sleep(restart)
		if err := m.Start(); err != nil {
			l.Note("%v", err)
		}
	}
}

// upload has two clients at each machine upload documents of the given sizes to the other service, each one after the other.
func upload(l *lab.Lab, sizes []int) {
	end := time.Now().Add(uploadTime)
	var all sync.WaitGroup
	for i, m := range l.Sidecars {
		for j, size := range sizes {
			all.Go(func() {
				body := make([]byte, size)
				for k := 0; time.Now().Before(end); k++ {
					a := m.Send(lab.Request{ID: fmt.Sprintf("up-%d-%d-%d", i, j, k), Method: http.MethodPost, Host: []string{"vault.example", "desk.example"}[i%2],
						Path: "/documents", Body: body, TimeRemaining: deadline})
					l.Note("client at %s: document %d-%d-%d of %d MB: %d %v after %v", m.Name, i, j, k, size>>20, a.Status, a.Err, a.Took)
					time.Sleep(time.Second)
				}
			})
		}
	}
	all.Wait()
}
