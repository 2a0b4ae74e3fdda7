// Package configuration parses the configuration that operators send. Parse reads and validates its JSON text once; the data plane then
// looks up routes and tenants in the Config for every request. The package does no I/O. A Config is immutable, and safe for concurrent
// use.
//
// # Format and units
//
// The user documentation defines the JSON object; the names of its fields are in fields.go. Durations are strings with a unit, "250ms" or
// "1.5s". Sizes are in bytes, and a tenant's rate is in requests per second. A version is "r" followed by a number above 0. Unknown
// fields are ignored, and a known field is invalid only if its value cannot be used.
//
// # Errors
//
// The error of Parse is a trace.BadParameter that lists the invalid fields, at most 100: the path of each field, such as
// routeTable.0.trafficSplit.1.weight, and what was expected there.
//
// # What the package does not do
//
// It does not decide which configuration is active (packages controlplane and agent do). It draws no random numbers: the caller of
// Route.PickService passes one.
package configuration
