// Package product is where the tables of all subsystems meet: the schema of a sidecar's file, how such a file and what it names is read
// from disk, and the parts of the standalone sidecar that a file asks for.
//
//	sidecar.toml --Load--> schema.File --SidecarConfig--> standalone.Config
//	platform.json --CheckPlatform--> findings
//
// Reference and Sample generate docs/reference.md and deploy/sidecar.toml.
package product
