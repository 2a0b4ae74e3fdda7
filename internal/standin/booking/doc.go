// Package booking has small servers that stand in for an installation on loopback: a discovery that speaks the platform's
// protocol (GET /v1/endpoints, as a single list or as a watch), and endpoints that serve bookings. They are for tests and for the
// demonstration. The discovery sends complete lists only, never changes.
package booking
