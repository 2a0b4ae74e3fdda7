// Package assembly builds the two programs of the mesh from their parts: the sidecar on an access machine (RunSidecar), and the
// control-plane process on a core machine (RunControlPlane). It is the only package that imports all parts. The parts call each other
// through interfaces and functions that this package passes to them.
//
// # Ownership
//
//	process        settings, log, hub of links, HTTP servers, background tasks; both programs have one
//	sidecar        the data plane: inbound (requests to the local endpoint), outbound (requests of clients and of the local endpoint),
//	               agent (membership, endpoint lists, configuration), quota client
//	localEndpoint  the choice of the local endpoint's current ID, which inbound holds; the IDs that have ended
//	controlPlane   the replicated configuration (controlplane.Server), agent, singleton roles
//
// Each of them ends what it has started: a process's tasks run until close, which waits for them.
//
// # Start and shutdown
//
//	newProcess -> listen on all addresses -> build -> serve -> awaitTermination -> shut down -> close
//
// A process waits for settings that are being written, and for addresses that are in use (start.go). It listens on all of its addresses
// before it serves requests on any of them. It shuts down in the steps below after SIGTERM, and
// also after one of its servers has failed. All steps together take less than the grace time (settings.Bounds.Grace), after which the
// platform kills the process. The left half of the table has the time after SIGTERM at which a sidecar takes a step, the right half the
// longest time that a control-plane process takes for a step:
//
//	sidecar       time after SIGTERM          control plane    at most
//	not ready     0                           hand roles over  0.3 s
//	reject new    2.4 s                       hand vote over   2.5 s
//	answers due   grace - 0.9 s               HTTP calls       1.0 s
//	exit          grace - 0.25 s              disk             0.5 s
//	                                          links            0.4 s
//
// With a short grace time each step is limited to a fraction of the grace time; the divisors are constants beside those of the steps.
//
// # Units
//
// Points in time are durations on the process's monotonic clock (transport.Hub.Now); sizes are in bytes.
//
// # What it does not do
//
// The package decides nothing about requests or the configuration. Its only decision about the endpoint beside a sidecar is which of the
// endpoint's IDs is current (localEndpoint). It reads the settings file only through package settings.
package assembly
