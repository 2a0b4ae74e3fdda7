// Package configuration is the configuration that operators send: Parse reads it from JSON once and checks it, and the data plane looks
// routes and tenants up in it for every request. It does no I/O, and a Config never changes.
//
// # Format and units
//
// The JSON object is that of the users' pages; the names of its fields are in fields.go. Times are texts with their unit, "250ms" or
// "1.5s", sizes are bytes, a tenant's rate is requests a second. Versions are "r" and a number above 0. Unknown fields are ignored, and
// a known one is a fault only if it can't be used.
//
// # Errors
//
// Parse returns a trace.BadParameter that lists every fault, at most 100, by the path of the field, such as
// routeTable.0.trafficSplit.1.weight, with what was expected there.
//
// # What it does not do
//
// It does not decide which configuration is in force (packages controlplane and agent), nor does it draw random numbers: who asks
// Route.PickService gives one.
package configuration
