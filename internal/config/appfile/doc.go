// Package appfile declares the tables of the product's file that say what a sidecar is: whose calls it takes, where its endpoints come
// from, its limits, the classes it serves and the calls its endpoints make. Tables of the programs' parts are declared with those. The
// package does no I/O.
//
// Keys and help are data: they keep the words of the users' pages, where the Go names have the field's terms.
package appfile
