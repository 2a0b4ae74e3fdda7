package doc

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"

	"quincegap/internal/config/finding"
)

// ReadJSON reads a text of at most a number of bytes that holds one object. It is nil where it cannot be
// read: JSON gives no place to go on from.
func ReadJSON(text []byte, most int, report finding.Reporter) *Document {
	d := newDocument(text)
	if !d.checkReadable(most, report) {
		return nil
	}
	r := jsonReader{Document: d, report: report, decoder: json.NewDecoder(bytes.NewReader(text))}
	r.decoder.UseNumber()
	v, err := r.value(nil, 0)
	if err == nil {
		if v.Kind != TableKind {
			report(v.Pos, "holds %s, not an object", v.Kind)
			return nil
		}
		if r.skipToToken(); r.tokenStart < len(text) {
			err = errors.New("more text behind the end of the object")
		}
	}
	if err != nil {
		at := r.tokenStart
		var syntax *json.SyntaxError
		switch {
		case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF):
			at, err = len(bytes.TrimRight(text, " \t\r\n")), errors.New("it ends before the object does")
		case errors.As(err, &syntax):
			at = max(at, int(syntax.Offset)-1)
		}
		report(d.Pos(at), "cannot be read: %v", err)
		return nil
	}
	d.Root = v.Table
	return d
}

type jsonReader struct {
	*Document
	report     finding.Reporter
	decoder    *json.Decoder
	tokenStart int // where the token that is read begins
}

// skipToToken moves to the next token's first byte.
func (j *jsonReader) skipToToken() {
	for j.tokenStart = int(j.decoder.InputOffset()); j.tokenStart < len(j.Text); j.tokenStart++ {
		if !bytes.ContainsRune([]byte(" \t\r\n,:"), rune(j.Text[j.tokenStart])) {
			return
		}
	}
}

func (j *jsonReader) token() (json.Token, error) {
	j.skipToToken()
	return j.decoder.Token()
}

func (j *jsonReader) value(path []string, depth int) (*Value, error) {
	token, err := j.token()
	if err != nil {
		return nil, err
	}
	v := &Value{Pos: j.Pos(j.tokenStart), Start: j.tokenStart, End: int(j.decoder.InputOffset())}
	v.Text = string(j.Text[v.Start:v.End])
	switch x := token.(type) {
	case json.Delim:
		if depth >= maxDepth {
			return nil, errors.New("too many lists and objects within one another")
		}
		if x == '{' {
			return v, j.object(v, path, depth)
		}
		v.Kind = Array
		for j.decoder.More() {
			item, err := j.value(path, depth+1)
			if err != nil {
				return nil, err
			}
			v.Items = append(v.Items, item)
		}
		_, err = j.token()
		return v, err
	case string:
		v.Kind, v.Text = String, x
	case json.Number:
		v.Kind = Integer
		if bytes.ContainsAny([]byte(x), ".eE") {
			v.Kind = Float
		}
	case bool:
		v.Kind = Bool
	case nil:
		v.Kind = Null
	}
	return v, nil
}

func (j *jsonReader) object(v *Value, path []string, depth int) error {
	v.Kind, v.Table = TableKind, &Table{Path: path, Pos: v.Pos}
	for j.decoder.More() {
		token, err := j.token()
		if err != nil {
			return err
		}
		name, _ := token.(string)
		at := j.Pos(j.tokenStart)
		inner, err := j.value(append(path[:len(path):len(path)], name), depth+1)
		if err != nil {
			return err
		}
		if e := v.Table.Get(name); e != nil {
			j.report(at, "%q stands twice: first in line %d", name, e.Pos.Line)
			continue
		}
		v.Table.add(&Entry{Name: name, Pos: at, Value: inner})
	}
	_, err := j.token()
	return err
}
