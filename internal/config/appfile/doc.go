// Package appfile declares the tables of a sidecar's file that describe its application: its name, the source of its endpoints, its
// limits, the classes that it serves and the calls that its endpoints make. The tables of a program's parts are declared in the packages of
// these parts. The package does no I/O.
//
// Keys and help texts are data: they keep the words of the users' pages, while Go names are the standard terms.
package appfile
