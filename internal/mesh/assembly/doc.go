// Package assembly builds the two programs of the mesh from their parts: the sidecar on an access machine (RunSidecar), and the
// control-plane process on a core machine (RunControlPlane). It is the only package that imports all parts; the parts use each other
// through interfaces and functions that it passes them.
//
// # Who owns what
//
//	process        settings, log, hub of links, HTTP servers, background tasks; both programs have one
//	sidecar        the data plane: inbound (requests to the endpoint here), outbound (requests of clients and of the endpoint here),
//	               agent (membership, endpoint lists, configuration), quota client
//	localEndpoint  decides which endpoint ID beside a sidecar is current (inbound holds it); the earlier IDs that have ended
//	controlPlane   the replicated configuration (controlplane.Server), agent, singleton roles
//
// Each of them ends what it has started: a process's tasks run until close, which waits for them.
//
// # Start and end
//
//	newProcess -> listen on all addresses -> build -> serve -> awaitTermination -> shut down -> close
//
// A process listens on all of its addresses before it reads a call on any. It shuts down in order after SIGTERM, and also after one of its
// servers has failed. All steps together take less than the grace time (settings.Bounds.Grace), after which the platform kills it.
//
//	sidecar       time after SIGTERM          control plane    at most
//	not ready     0                           hand roles over  0.3 s
//	reject new    2.4 s                       hand vote over   2.5 s
//	answers due   grace - 0.9 s               HTTP calls       1.0 s
//	exit          grace - 0.25 s              disk             0.5 s
//	                                          links            0.4 s
//
// With a short grace time each step is limited to a fraction of it; the divisors are constants beside those of the steps.
//
// # Units
//
// Points in time are durations on the process's monotonic clock (transport.Hub.Now); sizes are bytes.
//
// # What it does not do
//
// The package doesn't decide anything about requests or the configuration; of the endpoint beside a sidecar it decides which ID is current
// (localEndpoint). It reads the settings file through package settings only.
package assembly
