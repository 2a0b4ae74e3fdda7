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
	out          *bufio.Writer // retains its first write error, which Flush returns
	notes        io.Writer
	lineNumber   int           // number of the line that was read last, from 1
	now          time.Duration // time of the current batch
	instances    map[int64]*instance
	lists        [listCount][]balancer.ListEntry
	listDefined  [listCount]bool
	noted        map[string]bool // the notes that were printed, to print each only once
	lineBuffer   []byte          // the line being read
	actionBuffer []byte          // the action being written
}

// Run serves the protocol until the end of the input. It writes replies to out, and diagnostic messages to notes. It returns nil if
// the input ends after a complete batch, and an error that names the line and the field if the input is malformed. It also fails if
// it cannot read the input or write a reply.
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
			return fmt.Errorf("write reply: %w", err)
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

// serveBatch reads one batch and writes the reply to the output buffer. It returns false at the end of the input, and an error if the
// batch is malformed.
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

// readLine reads a line and its first word. The fields that it returns are valid until the next call. It returns io.EOF at the end of
// the input.
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
	s.lineNumber++
	fields := &lineFields{server: s, rest: bytes.TrimRight(s.lineBuffer, newlineChars)}
	fields.hasMore = len(fields.rest) > 0
	fields.name = string(fields.next())
	return fields, nil
}

// malformed returns the error for the line that was read last. name is the first word of the line, and reason says what is wrong with
// the field.
func (s *server) malformed(name, field, reason string) error {
	return fmt.Errorf("line %d: %s: field %s: %s", s.lineNumber, name, field, reason)
}

// noteOnce writes a diagnostic message to notes, unless it has written the same text before.
func (s *server) noteOnce(text string) {
	if !s.noted[text] {
		s.noted[text] = true
		_, _ = fmt.Fprintln(s.notes, "balancer-sim: "+text) // a failed write of a note does not end the run
	}
}

// reply writes a formatted line of the reply.
func (s *server) reply(format string, values ...any) {
	_, _ = fmt.Fprintf(s.out, format+"\n", values...) // Flush returns the error: see server.out
}

// handleEvent executes one event of a batch. It fails if the event is malformed or its instance does not exist.
func (s *server) handleEvent(fields *lineFields) error {
	switch fields.name {
	case lineList:
		return s.readList(fields)
	case lineNewInstance:
		return s.startInstance(fields)
	case lineHalt, lineEndpoints, lineRequest, lineResponseStart, lineOutcome, lineClientGone, lineTimer, lineHealthCheck, linePeerMessage:
	default:
		s.noteOnce("unknown event " + fields.name + " ignored")
		return nil
	}
	number := fields.number("sidecar")
	if fields.err != nil {
		return fields.err
	}
	inst := s.instances[number]
	if inst == nil {
		return s.malformed(fields.name, "sidecar", fmt.Sprintf("instance %d does not exist", number))
	}
	if fields.name == lineHalt {
		delete(s.instances, number)
		return nil
	}
	handle := s.decode(fields, inst)
	if fields.err != nil {
		return fields.err
	}
	inst.deliver(handle)
	return nil
}

// startInstance creates an instance, and replaces an existing one with the same number. It fails if a field is malformed or the
// settings are invalid.
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
		s.noteOnce("unknown settings key " + key + " ignored")
	}
	inst := &instance{server: s, number: number, classes: len(config.Classes)}
	inst.balancer, err = balancer.New(config.Settings, uint64(seed), inst)
	if err != nil {
		return s.malformed(fields.name, "config", err.Error())
	}
	s.instances[number] = inst
	return nil
}
