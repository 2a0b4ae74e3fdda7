// Package storage stores a few records in a folder, each under a key. A record is synced to the disk before Put returns. The folder is a
// goleveldb database. Its files are written and synced in an order that keeps the database valid if power is lost at any moment
// (durableFiles).
//
// # A record on disk
//
// The value of a key is a header of 5 bytes, followed by the data. The header is the number of the format (1 byte, 0x71) and the CRC32C
// of the data (4 bytes, little endian). Get and Check verify each record against its header and return an error if it is corrupt.
//
// # States of a Store
//
//	         Open, or the next call
//	closed ───────────────────────────▶ open
//	   ▲                                  │
//	   └──────────────────────────────────┘
//	     Close, or a disk error: the journal may be incomplete, and the next call opens and reads it again
//
// # Errors
//
// Errors name the folder, and the record if they concern one. Their kinds are: trace.NotFound for a key without a record,
// trace.CompareFailed for a corrupt record, trace.NotImplemented for a record of a later format, and trace.AlreadyExists for a folder that
// another process has open. Any other error comes from the disk; the same call may succeed later.
//
// # What the package does not do
//
// Calls have no timeout: they wait for the disk. A Store is not safe for concurrent use. There are no transactions across records, and no
// way to list the records; Check reads them all.
package storage
