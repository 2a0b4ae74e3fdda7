// Package storage keeps a few records in a folder, each under its key, and written through to the disk before Put returns. It is a
// goleveldb database whose files are written in an order that any loss of power may interrupt (durableFiles).
//
// # A record on disk
//
// The value of a key is a header of 5 bytes, the number of the format (0x71) and the CRC32C of the data (4 bytes, little endian), and
// then the data. What is read is checked against the header: a record that isn't what was written is an error, never data.
//
// # States of a Store
//
//	         Open, or the next call
//	closed ───────────────────────────▶ open
//	   ▲                                  │
//	   └──────────────────────────────────┘
//	     Close, or an error of the disk: the journal may be broken, and is read anew at the next call
//
// # Errors
//
// Errors name the folder and the record. Callers decide on their kind: trace.NotFound for a key without a record, trace.CompareFailed
// for a corrupt one, trace.NotImplemented for one of a later format, trace.AlreadyExists for a folder that another process has open.
// Any other error is one of the disk; the same call may succeed later.
//
// # What it does not do
//
// All calls wait for the disk, as long as it takes, and only one goroutine may make them. There are no transactions over records and
// no iteration but for Check.
package storage
