// Package settings parses the settings file (TOML) that the platform writes for each process. The environment variable QUINCEGAP_NODE_FILE
// has its path. Unknown fields are ignored, as later platforms may add some. All invalid fields of a file are reported at once, each with
// its path.
//
// The package does not watch the file: package assembly loads it again when it has changed.
package settings
