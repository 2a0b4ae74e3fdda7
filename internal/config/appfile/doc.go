// Package appfile declares the tables of a sidecar's file that describe its application: its name, the source of its endpoints, its
// limits, the classes that it serves and the calls that its endpoints make. Other tables are declared in the packages that they
// configure. The package does no I/O.
//
// Keys and help texts are part of the file format and of the generated reference page, so they keep the terms of the user
// documentation. Go names use the standard terms.
package appfile
