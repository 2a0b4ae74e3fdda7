package controlplane

import "testing"

// Names that are stored on disk, used in the operators' calls or logged never change.
func TestFixedNames(t *testing.T) {
	for got, want := range map[string]string{
		stateKey: "standing", voteKey: "vote", ownerKey: "owner",
		replacePattern: "POST /configuration/replace", retrievePattern: "GET /configuration/retrieve", baseVersionHeader: "Base-Version",
		retryAfterSeconds: "0.2",
		Unknown.String():  "unknown", Committed.String(): "applied", Conflict.String(): "conflict", Invalid.String(): "invalid",
	} {
		if got != want {
			t.Errorf("fixed name: got %q, want %q", got, want)
		}
	}
}
