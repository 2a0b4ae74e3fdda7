// Package docs holds the project's pages. Those that are generated come from
// the programs' own declarations.
package docs

//go:generate sh -c "go run ../cmd/quincegapctl reference > reference.md"
//go:generate sh -c "go run ../cmd/quincegapctl sample > ../deploy/sidecar.toml"
