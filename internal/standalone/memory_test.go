package standalone

import (
	"errors"
	"net/http"
	"testing"
	"time"

	"quincegap/internal/balancer"
	"quincegap/internal/files/store"
	"quincegap/internal/modules/idempotency"
	"quincegap/internal/network/exchange"
)

// While the disk fails, requests of a class that must be recorded are rejected, but never one that may have run: a rejection would
// promise that it has not.
func TestFailingDiskRejectsNothingThatMayHaveRun(t *testing.T) {
	s, err := store.Open(store.Dir(t.TempDir()), store.Options{})
	if err != nil {
		t.Fatal(err)
	}
	defer closeQuietly(s)
	pay := balancer.Class{Name: "pay", Idempotency: balancer.NonIdempotent, Deadline: time.Minute}
	mem := &memory{
		table: idempotency.NewTable(10), store: s, servesUnrecorded: []bool{false}, classes: []balancer.Class{pay}, zones: nameIndex{},
		diskTriedAt: time.Hour,
	}
	requestOf := func(id string) *request {
		return &request{Request: balancer.Request{ID: balancer.RequestID(id)}, Inbound: exchange.Inbound{Header: http.Header{}}}
	}
	id, _ := mem.entryID(requestOf("ran"))
	if err := mem.table.Restore(id, idempotency.Entry{SentAt: time.Hour, Retention: time.Hour}); err != nil {
		t.Fatal(err)
	}
	if mem.mustReject(time.Hour, requestOf("new")) {
		t.Error("a new request was rejected while the disk works")
	}
	mem.reportWrite(errors.New("no space left"))
	if !mem.mustReject(time.Hour, requestOf("new")) {
		t.Error("a request that cannot be recorded was admitted")
	}
	if r := requestOf("ran"); mem.mustReject(time.Hour, r) || !r.Prior.MayHaveRun {
		t.Errorf("a request that may have run was rejected, or not recognised: prior attempt %+v", r.Prior)
	}
}
