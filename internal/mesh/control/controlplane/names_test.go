package controlplane

import "testing"

// Names that stand on disk and in the operators' calls: their values are formats.
func TestNamesThatAreData(t *testing.T) {
	for got, want := range map[string]string{
		stateKey: "standing", voteKey: "vote", ownerKey: "owner",
		replacePattern: "POST /configuration/replace", retrievePattern: "GET /configuration/retrieve", baseVersionHeader: "Base-Version",
		retryAfterSeconds: "0.2",
		Unknown.String():  "unknown", Committed.String(): "applied", Conflict.String(): "conflict", Invalid.String(): "invalid",
	} {
		if got != want {
			t.Errorf("%q, want %q", got, want)
		}
	}
}
