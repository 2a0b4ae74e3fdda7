// Package settings parses the settings file (TOML) that the platform writes for each process; the environment variable QUINCEGAP_NODE_FILE
// holds its path. Fields that the package does not know are ignored: later platforms may add some. All faults of a file are reported at
// once, each with the field's path.
//
// The package reads the file once, on request; package assembly reloads it when it has changed.
package settings
