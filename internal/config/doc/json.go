package doc

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"

	"quincegap/internal/config/finding"
)

// ReadJSON reads a text of at most maxBytes bytes that contains one object. If the text is invalid it reports the first fault and returns
// nil: unlike TOML, JSON has no line structure at which parsing could resume.
func ReadJSON(text []byte, maxBytes int, report finding.Reporter) *Document {
	document := newDocument(text)
	if !document.checkReadable(maxBytes, report) {
		return nil
	}
	r := jsonReader{Document: document, report: report, decoder: json.NewDecoder(bytes.NewReader(text))}
	r.decoder.UseNumber()
	root, err := r.document()
	if err != nil {
		at, message := r.locate(err)
		report(document.Pos(at), "cannot be read: %s", message)
		return nil
	}
	if root.Kind != TableKind {
		report(root.Pos, "holds %s, not an object", root.Kind)
		return nil
	}
	document.Root = root.Table
	return document
}

// The errors that this package detects in addition to the decoder's. Findings contain their texts.
var (
	errTrailingText = errors.New("more text behind the end of the object")
	errTooDeep      = errors.New("too many lists and objects within one another")
)

// truncatedObject is the message for a text that ends within its object.
const truncatedObject = "it ends before the object does"

// jsonReader reads one document. The decoder returns tokens without their offsets; skipToToken finds them in the text.
type jsonReader struct {
	*Document
	report     finding.Reporter
	decoder    *json.Decoder
	tokenStart int // the offset of the current token
}

// document reads the value of the text. It fails if other text follows an object.
func (j *jsonReader) document() (*Value, error) {
	root, err := j.value(nil, 0)
	if err != nil || root.Kind != TableKind {
		return root, err
	}
	j.skipToToken()
	if j.tokenStart < len(j.Text) {
		return nil, errTrailingText
	}
	return root, nil
}

// locate returns the offset of an error in the text, and a message for it.
func (j *jsonReader) locate(err error) (at int, message string) {
	var syntax *json.SyntaxError
	switch {
	case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF):
		return len(bytes.TrimRight(j.Text, " \t\r\n")), truncatedObject
	case errors.As(err, &syntax):
		return max(j.tokenStart, int(syntax.Offset)-1), err.Error()
	}
	return j.tokenStart, err.Error()
}

// skipToToken sets tokenStart to the offset of the next token.
func (j *jsonReader) skipToToken() {
	for j.tokenStart = int(j.decoder.InputOffset()); j.tokenStart < len(j.Text); j.tokenStart++ {
		if !bytes.ContainsRune([]byte(" \t\r\n,:"), rune(j.Text[j.tokenStart])) {
			return
		}
	}
}

// token returns the next token and sets tokenStart to its offset.
func (j *jsonReader) token() (json.Token, error) {
	j.skipToToken()
	return j.decoder.Token()
}

// value reads one value. depth is the number of arrays and objects that contain it.
func (j *jsonReader) value(path []string, depth int) (*Value, error) {
	token, err := j.token()
	if err != nil {
		return nil, err
	}
	value := &Value{Pos: j.Pos(j.tokenStart), Start: j.tokenStart, End: int(j.decoder.InputOffset())}
	value.Text = string(j.Text[value.Start:value.End])
	switch token := token.(type) {
	case json.Delim:
		if depth >= maxDepth {
			return nil, errTooDeep
		}
		if token == '{' {
			return value, j.object(value, path, depth)
		}
		return value, j.array(value, path, depth)
	case string:
		value.Kind = String
		value.Text = token
	case json.Number:
		value.Kind = Integer
		if bytes.ContainsAny([]byte(token), ".eE") {
			value.Kind = Float
		}
	case bool:
		value.Kind = Bool
	case nil:
		value.Kind = Null
	}
	return value, nil
}

// array reads the items of an array up to its closing bracket.
func (j *jsonReader) array(v *Value, path []string, depth int) error {
	v.Kind = Array
	for j.decoder.More() {
		item, err := j.value(path, depth+1)
		if err != nil {
			return err
		}
		v.Items = append(v.Items, item)
	}
	_, err := j.token()
	return err
}

// object reads the keys of an object up to its closing brace. A repeated key is reported, and the first value is used.
func (j *jsonReader) object(object *Value, path []string, depth int) error {
	object.Kind = TableKind
	object.Table = &Table{Path: path, Pos: object.Pos}
	for j.decoder.More() {
		token, err := j.token()
		if err != nil {
			return err
		}
		name, _ := token.(string)
		pos := j.Pos(j.tokenStart)
		inner, err := j.value(object.Table.pathOf(name), depth+1)
		if err != nil {
			return err
		}
		if e := object.Table.Get(name); e != nil {
			j.report(pos, "%q stands twice: first in line %d", name, e.Pos.Line)
			continue
		}
		object.Table.add(&Entry{Name: name, Pos: pos, Value: inner})
	}
	_, err := j.token()
	return err
}
