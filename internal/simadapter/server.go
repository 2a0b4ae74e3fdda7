package simadapter

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"time"

	"quincegap/internal/balancer"
	"quincegap/internal/config/settings"
)

const (
	// listCount is the number of endpoint lists that a batch can refer to.
	listCount = 16
	// bufferSize is the size of the input and the output buffer, in bytes. Lines may be longer.
	bufferSize = 1 << 16
)

// server hosts the instances of one simulation.
type server struct {
	in           *bufio.Reader
	out          *bufio.Writer // keeps its first write error, which Flush returns
	notes        io.Writer
	line         int           // number of the line that was read last, from 1
	now          time.Duration // time of the batch
	instances    map[int64]*instance
	lists        [listCount][]balancer.ListEntry
	listDefined  [listCount]bool
	noted        map[string]bool // notes that were printed
	lineBuffer   []byte          // the line being read
	actionBuffer []byte          // the action being written
}

// Run serves the protocol until the end of the input. It writes replies to out, and notes for people to notes. It returns nil if the
// input ends after a batch, and an error that names the line and the field if the input is malformed.
func Run(in io.Reader, out, notes io.Writer) error {
	s := newServer(in, out, notes)
	for {
		ok, err := s.serveBatch()
		if err != nil {
			return err
		}
		if !ok {
			return nil
		}
		if err := s.out.Flush(); err != nil {
			return fmt.Errorf("writing the reply: %w", err)
		}
	}
}

// newServer returns a server without instances.
func newServer(in io.Reader, out, notes io.Writer) *server {
	return &server{
		in:        bufio.NewReaderSize(in, bufferSize),
		out:       bufio.NewWriterSize(out, bufferSize),
		notes:     notes,
		instances: map[int64]*instance{},
		noted:     map[string]bool{},
	}
}

// serveBatch reads one batch and writes the reply to the output buffer. It returns false at the end of the input.
func (s *server) serveBatch() (bool, error) {
	fields, err := s.readLine()
	if errors.Is(err, io.EOF) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	if fields.name != lineBeginBatch {
		return false, s.malformed(fields.name, lineBeginBatch, "expected at the start of a batch")
	}
	s.now = fields.time("ts")
	if fields.err != nil {
		return false, fields.err
	}
	for {
		fields, err := s.readLine()
		if errors.Is(err, io.EOF) {
			return false, s.malformed("batch", lineEndBatch, "missing at the end of input")
		}
		if err != nil {
			return false, err
		}
		if fields.name == lineEndBatch {
			_, err := s.out.WriteString(lineEndOfReply + "\n")
			return true, err
		}
		if err := s.handleEvent(fields); err != nil {
			return false, err
		}
	}
}

// readLine reads a line and its first word. The values are valid until the next call. It returns io.EOF at the end of the input.
func (s *server) readLine() (*lineFields, error) {
	s.lineBuffer = s.lineBuffer[:0]
	for {
		part, err := s.in.ReadSlice('\n')
		s.lineBuffer = append(s.lineBuffer, part...)
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil && (!errors.Is(err, io.EOF) || len(s.lineBuffer) == 0) {
			return nil, err
		}
		break
	}
	s.line++
	fields := &lineFields{server: s, rest: bytes.TrimRight(s.lineBuffer, lineEnds)}
	fields.hasMore = len(fields.rest) > 0
	fields.name = string(fields.next())
	return fields, nil
}

// malformed returns the error for a fault in the line that was read last.
func (s *server) malformed(name, field, fault string) error {
	return fmt.Errorf("line %d: %s: field %s: %s", s.line, name, field, fault)
}

// noteOnce prints a note, unless it has printed the same text before.
func (s *server) noteOnce(text string) {
	if !s.noted[text] {
		s.noted[text] = true
		_, _ = fmt.Fprintln(s.notes, "balancer-sim: "+text) // a note that cannot be written does not end the run
	}
}

// reply writes a line of the reply.
func (s *server) reply(format string, values ...any) {
	_, _ = fmt.Fprintf(s.out, format+"\n", values...) // Flush returns the error: see server.out
}

// handleEvent handles one event of a batch.
func (s *server) handleEvent(fields *lineFields) error {
	switch fields.name {
	case lineList:
		return s.readList(fields)
	case lineNewInstance:
		return s.startInstance(fields)
	case lineHalt, lineEndpoints, lineRequest, lineResponse, lineOutcome, lineClientGone, lineTimer, lineHealthCheck, linePeerMessage:
	default:
		s.noteOnce("unknown event " + fields.name + " passed over")
		return nil
	}
	number := fields.number("sidecar")
	if fields.err != nil {
		return fields.err
	}
	in := s.instances[number]
	if in == nil {
		return s.malformed(fields.name, "sidecar", fmt.Sprintf("instance %d was never started", number))
	}
	if fields.name == lineHalt {
		delete(s.instances, number)
		return nil
	}
	deliver := s.decode(fields, in)
	if fields.err != nil {
		return fields.err
	}
	in.guard(deliver)
	return nil
}

// startInstance makes an instance, in the place of one with the same number.
func (s *server) startInstance(fields *lineFields) error {
	number := fields.number("sidecar")
	seed := fields.number("seed")
	if fields.err == nil && !fields.hasMore {
		fields.fail("config", "missing")
	}
	if fields.err != nil {
		return fields.err
	}
	config, unknown, err := settings.Parse(fields.rest)
	if err != nil {
		return s.malformed(fields.name, "config", err.Error())
	}
	for _, key := range unknown {
		s.noteOnce("unknown settings key " + key + " passed over")
	}
	in := &instance{server: s, number: number, classes: len(config.Classes)}
	in.balancer, err = balancer.New(config.Settings, uint64(seed), in)
	if err != nil {
		return s.malformed(fields.name, "config", err.Error())
	}
	s.instances[number] = in
	return nil
}
