package admin_test

import (
	"context"
	"fmt"
	"os"
	"path/filepath"

	"quincegap/internal/modules/endpointsource"
	"quincegap/internal/network/admin"
)

// Serves the page with a sidecar's endpoints, and reads it.
func Example() {
	folder, err := os.MkdirTemp("", "admin")
	if err != nil {
		fmt.Println(err)
		return
	}
	defer func() { _ = os.RemoveAll(folder) }()
	address := "unix:" + filepath.Join(folder, "front.sock")
	stop, err := admin.Serve(address, admin.Views{Members: func() (admin.Members, bool) {
		return admin.Members{Name: "front-0", Source: "consul", Endpoints: []endpointsource.Row{{UID: "slot-keeper-1", State: "ready"}}}, true
	}})
	if err != nil {
		fmt.Println(err)
		return
	}
	defer stop()
	members, err := admin.AskMembers(context.Background(), address)
	fmt.Println(members.Name, len(members.Endpoints), err)
	// Output: front-0 1 <nil>
}
