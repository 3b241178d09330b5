package wire

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"strings"
)

// Decoder reads JSON a small part at a time: a list entry by entry, an object field by field. It means the same by a text as
// json.Unmarshal does: names fit whatever their case, what is unknown is passed over, null leaves things as they are. Only a
// list that is there twice is an error, since the entries of the first have been handed over by then.
type Decoder struct {
	*json.Decoder
	yield func()
}

// NewDecoder returns a Decoder of what r reads. It calls step after each small part.
func NewDecoder(r io.Reader, yield func()) *Decoder {
	d := &Decoder{json.NewDecoder(r), yield}
	d.UseNumber() // what is passed over may be any number
	return d
}

// whole makes an end of the text within a value an error.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// begin reads the first token of an object or list, and tells whether there is one: null is none.
func (d *Decoder) openDelim(delim json.Delim) (bool, error) {
	token, err := d.Token()
	if err != nil {
		return false, unexpectedEOF(err)
	}
	if token == delim || token == nil {
		return token != nil, nil
	}
	found := fmt.Sprint(token)
	if _, isString := token.(string); isString {
		found = `"`
	}
	return false, fmt.Errorf("invalid character '%.1s' looking for '%v'", found, delim)
}

// Object reads an object. For each field it calls field, which has to read the value.
func (d *Decoder) Object(decodeValue func(key string) error) error {
	present, err := d.openDelim('{')
	if err != nil || !present {
		return err
	}
	for d.More() {
		key, err := d.Token()
		if err != nil {
			return unexpectedEOF(err)
		}
		if err := decodeValue(fmt.Sprint(key)); err != nil {
			return err
		}
		d.yield()
	}
	_, err = d.Token()
	return unexpectedEOF(err)
}

// List reads a list. For each entry, counted from 0, it calls entry, which has to read it.
func (d *Decoder) Array(decodeElement func(i int) error) error {
	present, err := d.openDelim('[')
	if err != nil || !present {
		return err
	}
	for i := 0; d.More(); i++ {
		if err := decodeElement(i); err != nil {
			return fmt.Errorf("entry %d: %w", i, err)
		}
		d.yield()
	}
	_, err = d.Token()
	return unexpectedEOF(err)
}

// Field reads a small value into the field of to, a pointer to a struct, that has the name key, or passes it over.
func (d *Decoder) Field(key string, dst any) error {
	structType := reflect.TypeOf(dst).Elem()
	for i := range structType.NumField() {
		if strings.EqualFold(structType.Field(i).Tag.Get("json"), key) {
			var value json.RawMessage
			if err := d.Decode(&value); err != nil {
				return fmt.Errorf("%s: %w", key, unexpectedEOF(err))
			}
			quotedKey, err := json.Marshal(key)
			if err != nil {
				return err
			}
			return json.Unmarshal(fmt.Appendf(nil, "{%s:%s}", quotedKey, value), dst)
		}
	}
	return d.skip()
}

// skip passes a value over, however large it is.
func (d *Decoder) skip() error {
	for depth := 0; ; {
		token, err := d.Token()
		if err != nil {
			return unexpectedEOF(err)
		}
		switch token {
		case json.Delim('{'), json.Delim('['):
			depth++
		case json.Delim('}'), json.Delim(']'):
			depth--
		}
		if depth == 0 {
			return nil
		}
		d.yield()
	}
}

// End reports what stands behind the value that has been read.
func (d *Decoder) End() error {
	if token, err := d.Token(); err == nil {
		return fmt.Errorf("invalid character '%.1s' after the end", fmt.Sprint(token))
	} else if !errors.Is(err, io.EOF) {
		return err
	}
	return nil
}
