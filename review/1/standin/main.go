//go:build review

// Command standin plays case 1: clients that leave early while their uploads are on their way between two sidecars, and after that
// ordinary changes of a large configuration. See claim.txt.
package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"time"

	"quincegap/review/lab"
)

const (
	configApply = 2500 * time.Millisecond
	aim         = 800 * time.Millisecond
	uploadBytes = 4 << 20
	uploadTime  = 20 * time.Second
	clients     = 2    // at each sidecar
	giveUpShare = 0.35 // share of the tries whose client leaves within half the aim
	newRoutes   = 350
	changes     = 6
)

func main() { os.Exit(run()) }

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
	trouble := os.Getenv("TROUBLE") != "0"
	upload(l, trouble)
	time.Sleep(4 * time.Second) // longer than contact: nothing is under way any more
	checkUploads(l)
	return change(l)
}

// start starts three core machines and twelve others, as on the site lomond-gate.
func start(l *lab.Lab) bool {
	for zone := range 3 {
		l.AddCore(zone)
	}
	services := []string{"tenant-portal", "works-desk", "inspection-vault", "tenant-portal"}
	for i := range 12 {
		l.AddSidecar(i%3, services[i/3])
	}
	if err := l.StartAll(); err != nil {
		l.Note("%v", err)
		return false
	}
	if l.Replace("0", config(1, "tenant-portal", 0), 10*time.Second) != http.StatusOK {
		return false
	}
	for i, m := range l.Sidecars {
		if !m.Ready(10 * time.Second) {
			return false
		}
		if _, err := m.NewEndpoint(fmt.Sprintf("i-%d", i+1), 6, func(*http.Request, []byte) (int, []byte) {
			time.Sleep(40 * time.Millisecond)
			return http.StatusOK, []byte(m.Service)
		}); err != nil {
			l.Note("%v", err)
			return false
		}
	}
	time.Sleep(3 * time.Second) // traffic starts some seconds after the machines
	return true
}

// config returns a configuration: the read route goes to a service, and there are further routes.
func config(version int, readService string, routes int) map[string]any {
	table := []any{
		lab.Route("r-read", "read.example", "idempotent", readService, "2500ms", "600ms"),
		lab.Route("r-upload", "upload.example", "non_idempotent", "works-desk", "3000ms", "800ms"),
	}
	for i := range routes {
		table = append(table, lab.Route(fmt.Sprintf("r-more%d", i), fmt.Sprintf("more%d.example", i), "idempotent", "tenant-portal", "2500ms", "600ms"))
	}
	return map[string]any{"configVersion": fmt.Sprintf("r%d", version), "routeTable": table, "limitSet": lab.Limits(),
		"serviceTable": []any{lab.Service("tenant-portal"), lab.Service("works-desk"), lab.Service("inspection-vault")}}
}

// upload has the clients of all sidecars send documents. With the trouble, a share of the clients leaves within half the aim.
func upload(l *lab.Lab, trouble bool) {
	body := make([]byte, uploadBytes)
	end := time.Now().Add(uploadTime)
	var all sync.WaitGroup
	for i := range clients * len(l.Sidecars) {
		m := l.Sidecars[i%len(l.Sidecars)]
		all.Go(func() {
			for k := 0; time.Now().Before(end); k++ {
				r := lab.Request{ID: fmt.Sprintf("up-%d-%d", i, k), Method: http.MethodPost, Host: "upload.example", Path: "/documents",
					Body: body, TimeRemaining: 3 * time.Second}
				if trouble && rand.Float64() < giveUpShare {
					r.LeaveAfter = time.Duration(rand.Float64() * float64(aim/2))
				}
				a := m.Send(r)
				l.Note("client at %s: %s, leaves after %v: %d %v after %v", m.Name, r.ID, r.LeaveAfter, a.Status, a.Err, a.Took)
				time.Sleep(400 * time.Millisecond)
			}
		})
	}
	all.Wait()
}

// checkUploads records how a document of 100 KB fares at each sidecar; it is not judged.
func checkUploads(l *lab.Lab) {
	var all sync.WaitGroup
	for i, m := range l.Sidecars {
		all.Go(func() {
			a := m.Send(lab.Request{ID: fmt.Sprintf("later-%d", i), Method: http.MethodPost, Host: "upload.example", Path: "/documents",
				Body: make([]byte, 100<<10), TimeRemaining: 3 * time.Second})
			l.Note("client at %s: a later document of 100 KB: %d %v after %v", m.Name, a.Status, a.Err, a.Took)
		})
	}
	all.Wait()
}

// change has the operator move the read route to and fro, and sends requests on it at each sidecar, later than configApply after each
// acknowledgement. The rule is broken if the service that only an older version names runs one.
func change(l *lab.Lab) int {
	result := lab.Held
	services := []string{"tenant-portal", "inspection-vault"}
	for k := range changes {
		version := k + 2
		now := services[(k+1)%2]
		status := l.Replace(fmt.Sprintf("r%d", version-1), config(version, now, newRoutes), 10*time.Second)
		if status != http.StatusOK {
			l.Note("the configuration was not acknowledged")
			return lab.NotRun
		}
		acknowledged := time.Now()
		time.Sleep(configApply + 100*time.Millisecond)
		var mu sync.Mutex
		var all sync.WaitGroup
		late := 0
		for i, m := range l.Sidecars {
			all.Go(func() {
				for n := range 4 {
					sent := time.Since(acknowledged)
					a := m.Send(lab.Request{ID: fmt.Sprintf("read-%d-%d-%d", version, i, n), Method: http.MethodGet, Host: "read.example", Path: "/",
						TimeRemaining: 2500 * time.Millisecond})
					if a.Status == http.StatusOK && string(a.Body) != now {
						l.Note("BROKEN: r%d sends this route to %s; a request sent %v after its acknowledgement at %s was run by %s", version, now,
							sent, m.Name, a.Body)
						mu.Lock()
						late++
						mu.Unlock()
					}
					time.Sleep(200 * time.Millisecond)
				}
			})
		}
		all.Wait()
		l.Note("r%d: %d requests were run by the old service", version, late)
		if late > 0 {
			result = lab.Broken
		}
		time.Sleep(time.Second)
	}
	return result
}
