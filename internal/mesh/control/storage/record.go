package storage

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/gravitational/trace"
)

// A record begins with a header: the number of its format, followed by the CRC32C of the data.
const (
	recordFormat    = 0x71  // format that this program writes
	maxRecordFormat = 0x7f  // greatest number that a later format with this header may have
	headerBytes     = 1 + 4 // length of the header
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// encodeRecord returns a record: the header followed by the data.
func encodeRecord(data []byte) []byte {
	record := make([]byte, headerBytes, headerBytes+len(data))
	record[0] = recordFormat
	binary.LittleEndian.PutUint32(record[1:], crc32.Checksum(data, castagnoli))
	return append(record, data...)
}

// decodeRecord verifies the header of a record and returns the data, which shares the memory of record. The error is a
// trace.NotImplemented for an intact record of a later format, and a trace.CompareFailed for any other invalid record.
func decodeRecord(record []byte) ([]byte, error) {
	if len(record) < headerBytes {
		return nil, trace.CompareFailed("%d bytes, expected %d at least", len(record), headerBytes)
	}
	data := record[headerBytes:]
	sum := crc32.Checksum(data, castagnoli)
	want := binary.LittleEndian.Uint32(record[1:])
	switch format := record[0]; {
	case format > recordFormat && format <= maxRecordFormat && sum == want:
		return nil, trace.NotImplemented("format %#x, this program reads %#x", format, recordFormat)
	case format != recordFormat:
		return nil, trace.CompareFailed("format %#x, expected %#x", format, recordFormat)
	case sum != want:
		return nil, trace.CompareFailed("checksum %#x, expected %#x", sum, want)
	}
	return data, nil
}
