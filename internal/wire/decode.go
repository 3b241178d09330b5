package wire

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"strings"
)

// Decoder decodes JSON incrementally: arrays element by element, and objects field by field. The result is
// the same as that of json.Unmarshal: field names match regardless of case, unknown fields are ignored, and
// null leaves a value unchanged. The one exception is that Settings rejects a repeated array, because it
// has passed on the elements of the first by then.
type Decoder struct {
	*json.Decoder
	yield func() // see NewDecoder
}

// NewDecoder returns a Decoder that reads from r. It calls yield after each element and field, and within
// skipped values, so that a caller can pause during large inputs.
func NewDecoder(r io.Reader, yield func()) *Decoder {
	d := &Decoder{json.NewDecoder(r), yield}
	d.UseNumber() // an ignored number may be out of the range of float64
	return d
}

// unexpectedEOF returns io.ErrUnexpectedEOF for io.EOF, and other errors unchanged. It is for errors within
// a value.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// openDelim reads the opening delimiter of an object or array. It returns false if the value is null.
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

// Object decodes an object or null. It calls decodeValue for each key; decodeValue must read the value.
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

// Array decodes an array or null. It calls decodeElement with the index of each element; decodeElement must
// read the element.
func (d *Decoder) Array(decodeElement func(i int) error) error {
	present, err := d.openDelim('[')
	if err != nil || !present {
		return err
	}
	for i := 0; d.More(); i++ {
		if err := decodeElement(i); err != nil {
			return fmt.Errorf("element %d: %w", i, err)
		}
		d.yield()
	}
	_, err = d.Token()
	return unexpectedEOF(err)
}

// Field decodes the value that follows key into the field of dst with this JSON name; dst is a pointer to a
// struct. It skips the value if there is no such field. The value is held in memory as a whole.
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

// skip discards a value, without holding it in memory as a whole.
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

// End returns an error unless only white space is left.
func (d *Decoder) End() error {
	if token, err := d.Token(); err == nil {
		return fmt.Errorf("invalid character '%.1s' after top-level value", fmt.Sprint(token))
	} else if !errors.Is(err, io.EOF) {
		return err
	}
	return nil
}
