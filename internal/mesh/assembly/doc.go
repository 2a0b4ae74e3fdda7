// Package assembly builds the two programs of the mesh from their parts: the sidecar on an access machine, and the control-plane process
// on a core machine. It is the one place that knows all parts; they know each other by interfaces and functions that it gives them.
//
// # Who owns what
//
//	process        settings, log, hub of links, HTTP servers, background tasks; both programs have one
//	sidecar        the data plane: inbound (requests to the endpoint here), outbound (requests of clients and of the endpoint here),
//	               agent (membership, endpoint lists, configuration), quota client
//	localEndpoint  which endpoint ID beside a sidecar is current, and which have ended
//	controlPlane   the replicated configuration (controlplane.Server), agent, singleton roles
//
// Everything that one of them has started, it ends: a process's tasks run until close, which waits for them.
//
// # Start and end
//
//	newProcess -> listen on all addresses -> build -> serve -> awaitTermination -> shut down -> close
//
// All addresses are listened on before a call is read on any. A process shuts down in order after SIGTERM, and as well after one of its
// servers has failed; all steps together take less than the grace time (settings.Bounds.Grace), after which the platform kills it.
//
//	sidecar       time after SIGTERM          control plane    at most
//	not ready     0                           hand roles over  0.3 s
//	reject new    2.4 s                       hand vote over   2.5 s
//	answers due   grace - 0.9 s               HTTP calls       1.0 s
//	exit          grace - 0.25 s              disk             0.5 s
//	                                          links            0.4 s
//
// A short grace time shortens the steps; the fractions stand with each constant.
//
// # Units
//
// Times are durations on the process's monotonic clock (transport.Hub.Now) unless they are said to be lengths; sizes are bytes.
//
// # What it does not do
//
// It decides nothing about requests, endpoints or the configuration, and reads no settings but by package settings.
package assembly
