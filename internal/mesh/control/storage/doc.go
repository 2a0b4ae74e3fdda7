// Package storage stores a few records in a folder, each under its key. A record is synced to the disk before Put returns. The folder is
// a goleveldb database, whose files are written in an order that stays valid if power is lost at any moment (durableFiles).
//
// # A record on disk
//
// The value of a key is a header of 5 bytes, the number of the format (0x71) and the CRC32C of the data (4 bytes, little endian), and
// then the data. A record that was read is checked against the header: if it is not what was written, the result is an error.
//
// # States of a Store
//
//	         Open, or the next call
//	closed ───────────────────────────▶ open
//	   ▲                                  │
//	   └──────────────────────────────────┘
//	     Close, or an error of the disk: the journal may be broken, and is read again at the next call
//
// # Errors
//
// Errors name the folder and the record. Their kinds are: trace.NotFound for a key without a record, trace.CompareFailed for a corrupt
// record, trace.NotImplemented for a record of a later format, and trace.AlreadyExists for a folder that another process has open. Any
// other error comes from the disk; the same call may succeed later.
//
// # What it does not do
//
// Calls have no timeout: they wait for the disk. A Store is not safe for concurrent use. There are no transactions over several records,
// and no iteration except in Check.
package storage
