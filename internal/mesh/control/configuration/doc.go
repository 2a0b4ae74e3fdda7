// Package configuration reads the configuration that operators send. Parse reads and checks its JSON text once; the data plane then looks
// up routes and tenants in the Config for every request. The package does no I/O. A Config is immutable, and safe for concurrent use.
//
// # Format and units
//
// The users' pages define the JSON object; the names of its fields are in fields.go. Times are strings with their unit, "250ms" or "1.5s".
// Sizes are in bytes, a tenant's rate is in requests a second. A version is "r" and a number above 0. Unknown fields are ignored, and a
// known field is a fault only if it cannot be used.
//
// # Errors
//
// The error of Parse is a trace.BadParameter that lists all faults, at most 100: the path of each field, such as
// routeTable.0.trafficSplit.1.weight, and what was expected there.
//
// # What it does not do
//
// It does not decide which configuration is in force (packages controlplane and agent do). It draws no random numbers: the caller of
// Route.PickService passes one.
package configuration
