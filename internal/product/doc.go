// Package product combines the tables of all subsystems into the schema of a sidecar's file. It reads such a file and the files that it
// names from disk, and creates the parts of the standalone sidecar that the file configures.
//
//	sidecar.toml --Load--> schema.File --SidecarConfig--> standalone.Config
//	platform.json --CheckPlatform--> findings
//
// Reference and Sample generate docs/reference.md and deploy/sidecar.toml.
package product
