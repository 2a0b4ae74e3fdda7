//go:build review

// Command standin plays case 2: all core processes are killed at the same moment and come back within a second, while one small tenant
// asks for more than its limit. See claim.txt.
package main

import (
	"fmt"
	"net/http"
	"os"
	"sort"
	"sync"
	"time"

	"quincegap/review/lab"
)

const (
	sidecars = 48
	rate     = 4.0 // ratePerS of the tenant
	burst    = 4.0 // its burstSize
	usual    = rate / 1.6
	times    = 9 // the tenant sends this many times its usual
	hotTime  = 9 * time.Second
	killAt   = 2 * time.Second // after the tenant has begun
	downTime = 900 * time.Millisecond

	quotaWindow  = 5 * time.Second
	quotaOverage = 0.1
	quotaSlack   = 20.0
)

func main() { os.Exit(run()) }

func run() int {
	l, err := lab.New(os.Args[1])
	if err != nil {
		fmt.Println(err)
		return lab.NotRun
	}
	defer l.Close()
	endpoints, ok := start(l)
	if !ok {
		l.Note("the deployment did not start")
		return lab.NotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	sent := map[string]time.Time{}
	var mu sync.Mutex
	statuses := map[int]int{}
	var all sync.WaitGroup
	began := time.Now()
	l.Note("the tenant begins to send %d times its usual", times)
	if trouble {
		all.Go(func() {
			time.Sleep(killAt)
			for _, core := range l.Cores {
				core.Kill()
			}
			time.Sleep(downTime)
			for _, core := range l.Cores {
				if err := core.Start(); err != nil {
					l.Note("%v", err)
				}
			}
		})
	}
	perSecond := usual * times
	gap := time.Duration(float64(time.Second) / perSecond)
	for k := 0; time.Since(began) < hotTime; k++ { // the clients of all machines in turn
		m := l.Sidecars[k%len(l.Sidecars)]
		id := fmt.Sprintf("t-%d", k)
		all.Go(func() {
			now := time.Now()
			a := m.Send(lab.Request{ID: id, Method: http.MethodGet, Host: "read.example", Path: "/", Key: "key-small", TimeRemaining: 2500 * time.Millisecond})
			l.Note("client at %s: %s sent %.3f s after the beginning: %d %v after %v", m.Name, id, now.Sub(began).Seconds(), a.Status, a.Err, a.Took)
			mu.Lock()
			defer mu.Unlock()
			sent[id] = now
			statuses[a.Status]++
		})
		time.Sleep(gap)
	}
	all.Wait()
	l.Note("answers by status: %v", statuses)
	return judge(l, endpoints, sent, began)
}

// start starts the core machines and the others, and gives them a configuration with one small tenant and a large one.
func start(l *lab.Lab) ([]*lab.Endpoint, bool) {
	for zone := range 3 {
		l.AddCore(zone)
	}
	for i := range sidecars {
		l.AddSidecar(i%3, "tenant-portal")
	}
	if err := l.StartAll(); err != nil {
		l.Note("%v", err)
		return nil, false
	}
	route := lab.Route("r-read", "read.example", "idempotent", "tenant-portal", "2500ms", "600ms")
	config := map[string]any{"configVersion": "r1", "routeTable": []any{route}, "limitSet": lab.Limits(),
		"serviceTable": []any{lab.Service("tenant-portal")},
		"tenantTable": []any{
			map[string]any{"name": "small", "accessKeys": []string{"key-small"}, "priority": 1, "ratePerS": rate, "burstSize": burst},
			map[string]any{"name": "large", "accessKeys": []string{"key-large"}, "priority": 1, "ratePerS": 53, "burstSize": 53},
		}}
	if l.Replace("0", config, 10*time.Second) != http.StatusOK {
		return nil, false
	}
	var endpoints []*lab.Endpoint
	for i, m := range l.Sidecars {
		if !m.Ready(10 * time.Second) {
			return nil, false
		}
		e, err := m.NewEndpoint(fmt.Sprintf("i-%d", i+1), 6, func(*http.Request, []byte) (int, []byte) {
			time.Sleep(40 * time.Millisecond)
			return http.StatusOK, []byte("statement")
		})
		if err != nil {
			l.Note("%v", err)
			return nil, false
		}
		endpoints = append(endpoints, e)
	}
	time.Sleep(12 * time.Second) // longer than catchUp and contact
	return endpoints, true
}

// judge counts the tenant's requests that were sent and have run in each window, and compares them with what the rule allows.
func judge(l *lab.Lab, endpoints []*lab.Endpoint, sent map[string]time.Time, began time.Time) int {
	var ran []time.Time
	for id, at := range sent {
		for _, e := range endpoints {
			if e.Runs(id) > 0 {
				ran = append(ran, at)
				break
			}
		}
	}
	sort.Slice(ran, func(i, j int) bool { return ran[i].Before(ran[j]) })
	most, at := 0, 0.0
	for i := range ran {
		n := 0
		for n+i < len(ran) && ran[i+n].Sub(ran[i]) < quotaWindow {
			n++
		}
		if n > most {
			most, at = n, ran[i].Sub(began).Seconds()
		}
	}
	allowed := (rate*quotaWindow.Seconds()+burst)*(1+quotaOverage) + quotaSlack
	l.Note("of %d requests %d have run; in the 5 s from %.3f s on %d, allowed are %.1f", len(sent), len(ran), at, most, allowed)
	if float64(most) > allowed {
		l.Note("BROKEN: the tenant's limit was exceeded")
		return lab.Broken
	}
	return lab.Held
}
