// Package booking provides small servers that simulate an installation on loopback, for tests and the demonstration: a discovery
// server for the platform's protocol (GET /v1/endpoints, as a single list or as a watch), and endpoints that answer booking
// requests. The discovery server sends complete lists only, never deltas.
package booking
