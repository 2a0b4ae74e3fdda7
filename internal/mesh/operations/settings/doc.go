// Package settings parses the settings file in TOML format that the platform writes for each process. The environment variable
// QUINCEGAP_NODE_FILE has the path of the file. Unknown fields are ignored, because later versions of the platform may add some. All
// invalid fields of a file are reported together, each with its path.
//
// The package does not watch the file for changes: package assembly loads it again when it has changed.
package settings
