package tool

import (
	"encoding/csv"
	"errors"
	"io"
	"io/fs"
	"os"
)

// reportDirMode is the mode of new folders for reports. Only the owner may read them, since they contain logs of sidecars.
const reportDirMode = fs.FileMode(0o700)

// writeFile creates or overwrites a file with what write writes. Its error includes that of closing the file.
func writeFile(path string, write func(io.Writer) error) (err error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	return write(f)
}

// writeCSV creates or overwrites a CSV file.
func writeCSV(path string, rows [][]string) error {
	return writeFile(path, func(w io.Writer) error { return csv.NewWriter(w).WriteAll(rows) })
}
