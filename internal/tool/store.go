package tool

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"quincegap/internal/files/store"
	"quincegap/internal/modules/idempotency"
)

// storeCommand returns the command store with its subcommands.
func (c *cli) storeCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use: "store", Short: "Look at and mend what a sidecar remembers on its disk (memory.memory_dir)",
		Long: "verify and dump only read, and may be used beside a running sidecar. compact and repair change the\n" +
			"directory, and are refused while a process has it open.",
	}
	compact := &cobra.Command{
		Use: "compact DIR", Short: "Write all live records into one file, and remove the others", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error { return c.compactStore(args[0], false) },
	}
	repair := &cobra.Command{
		Use: "repair DIR", Short: "Keep what can be read, and put damaged files aside", Args: cobra.ExactArgs(1),
		Long: "repair writes all records that can be read into one file. Damaged files are not removed: they are renamed to\n" +
			"end in .damaged. Whoever runs it has to know that requests that stood in the damaged places may have run, and\n" +
			"will not be known again.",
		RunE: func(_ *cobra.Command, args []string) error { return c.compactStore(args[0], true) },
	}
	cmd.AddCommand(c.storeVerifyCommand(), c.storeDumpCommand(), compact, repair)
	return cmd
}

// storeVerifyCommand returns the command store verify.
func (c *cli) storeVerifyCommand() *cobra.Command {
	var asJSON bool
	verify := &cobra.Command{
		Use: "verify DIR", Short: "Read every record, and name what cannot be read", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			report, err := store.Inspect(store.Dir(args[0]), nil, nil)
			if err != nil {
				return runError{fmt.Errorf("%s: %w", args[0], err)}
			}
			if asJSON {
				if err := c.printJSON(report); err != nil {
					return runError{err}
				}
			} else if err := c.printStoreReport(report); err != nil {
				return runError{err}
			}
			if len(report.Damage) > 0 {
				return errFindings
			}
			return nil
		},
	}
	verify.Flags().BoolVar(&asJSON, "json", false, "print one JSON object for programs")
	return verify
}

// storeDumpCommand returns the command store dump.
func (c *cli) storeDumpCommand() *cobra.Command {
	return &cobra.Command{
		Use: "dump DIR", Short: "Print each live record as a line of JSON", Args: cobra.ExactArgs(1),
		Long: "dump prints each live record as a line of JSON. Keys of requests are digests: what a family's key was cannot\n" +
			"be read from them.",
		RunE: func(_ *cobra.Command, args []string) error {
			encoder := json.NewEncoder(c.out)
			printRecord := func(r store.Record) error { return encoder.Encode(toStoredRecord(r)) }
			if _, err := store.Inspect(store.Dir(args[0]), nil, printRecord); err != nil {
				return runError{fmt.Errorf("%s: %w", args[0], err)}
			}
			return nil
		},
	}
}

// printStoreReport prints the files of a store, the damage in them, and a summary.
func (c *cli) printStoreReport(report *store.Report) error {
	rows := newTable(c.out)
	rows.println("FILE\tBYTES\tRECORDS\tFROM\tTO\tENDED\tSTANDS FOR")
	for _, s := range report.Segments {
		rows.printf("%s\t%d\t%d\t%d\t%d\t%t\t%d\n", s.File, s.Bytes, s.Records, s.FirstSeq, s.LastSeq, s.Sealed, s.Replaces)
	}
	if err := rows.Flush(); err != nil {
		return err
	}
	for _, d := range report.Damage {
		c.out.printf("damaged: %v\n", d)
	}
	if report.TornBytes > 0 {
		why := "an append that was cut, or damage to the last one"
		if report.InUse {
			why = "an append that is under way, or was cut"
		}
		c.out.printf("%d bytes: %s\n", report.TornBytes, why)
	}
	for _, name := range report.Leftovers {
		c.out.printf("left over, removed at the next start: %s\n", name)
	}
	state := "no process has it open"
	if report.InUse {
		state = "a process has it open"
	}
	_, err := fmt.Fprintf(c.out, "%d live records in %d files; %d places damaged; %s\n",
		report.LiveRecords, len(report.Segments), len(report.Damage), state)
	return err
}

// storedRecord is the JSON form of a record. The names in its tags must not change, since other programs read them.
type storedRecord struct {
	Seq      uint64             `json:"seq"`
	File     string             `json:"file"`
	TimeLeft string             `json:"left,omitempty"` // time until the record expires; empty if it does not expire
	Kind     string             `json:"kind"`
	Key      string             `json:"key"`
	Request  *idempotency.Entry `json:"request,omitempty"`
	Value    json.RawMessage    `json:"value,omitempty"`
}

// The first byte of a key, which identifies the kind of the record. The values are part of the format on disk.
const (
	requestKey  = 'r'
	endpointKey = 'e'
	listKey     = 'l'
)

// toStoredRecord returns the JSON form of a record. It leaves out values of unknown kinds and those that can't be decoded.
func toStoredRecord(record store.Record) storedRecord {
	line := storedRecord{Seq: record.Seq, File: record.File, Kind: "other", Key: fmt.Sprintf("%x", record.Key)}
	if record.TimeLeft >= 0 {
		line.TimeLeft = record.TimeLeft.Round(time.Millisecond).String()
	}
	switch record.Key[0] {
	case requestKey:
		if e, err := idempotency.Decode(record.Value, record.TimeLeft, record.TimeLeft); err == nil {
			line.Kind = "request"
			line.Request = &e
		}
	case endpointKey:
		line.Kind = "endpoint"
		line.Key = string(record.Key[1:])
		if json.Valid(record.Value) {
			line.Value = record.Value
		}
	case listKey:
		line.Kind = "list was current"
	}
	return line
}

// The limits of a store that a command opens. They exceed those of any sidecar.
const (
	maxStoreRecords = 1 << 30
	maxStoreBytes   = 1 << 50
)

// compactStore compacts a store that no process has open, and prints its size before and after. It fails for a damaged store unless repair
// is set, which retains the readable records.
func (c *cli) compactStore(dir string, repair bool) error {
	failed := func(err error) error { return runError{fmt.Errorf("%s: %w", dir, err)} }
	if _, err := os.Stat(dir); err != nil { // otherwise Open would create a missing store
		return failed(err)
	}
	opened, err := store.Open(store.Dir(dir), store.Options{MaxRecords: maxStoreRecords, MaxBytes: maxStoreBytes})
	if err != nil {
		return failed(err)
	}
	before := opened.Health()
	if len(before.Damage) > 0 && !repair {
		damaged := fmt.Errorf("%d places are damaged: store verify lists them, store repair retains the readable records", len(before.Damage))
		return failed(errors.Join(damaged, opened.Close()))
	}
	for _, d := range before.Damage {
		c.out.printf("damaged: %v\n", d)
	}
	sizeBefore := opened.Size()
	if err := errors.Join(opened.Compact(), opened.Close()); err != nil {
		return failed(err)
	}
	report, err := store.Inspect(store.Dir(dir), nil, nil)
	if err != nil {
		return failed(err)
	}
	size := int64(0)
	for _, segment := range report.Segments {
		size += segment.Bytes
	}
	c.out.printf("%d live records; %d bytes, %d before\n", report.LiveRecords, size, sizeBefore)
	return nil
}
