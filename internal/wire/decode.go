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
	step func()
}

// NewDecoder returns a Decoder of what r reads. It calls step after each small part.
func NewDecoder(r io.Reader, step func()) *Decoder {
	d := &Decoder{json.NewDecoder(r), step}
	d.UseNumber() // what is passed over may be any number
	return d
}

// whole makes an end of the text within a value an error.
func whole(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// begin reads the first token of an object or list, and tells whether there is one: null is none.
func (d *Decoder) begin(open json.Delim) (bool, error) {
	t, err := d.Token()
	if err != nil {
		return false, whole(err)
	}
	if t == open || t == nil {
		return t != nil, nil
	}
	first := fmt.Sprint(t)
	if _, text := t.(string); text {
		first = `"`
	}
	return false, fmt.Errorf("invalid character '%.1s' looking for '%v'", first, open)
}

// Object reads an object. For each field it calls field, which has to read the value.
func (d *Decoder) Object(field func(key string) error) error {
	some, err := d.begin('{')
	if err != nil || !some {
		return err
	}
	for d.More() {
		key, err := d.Token()
		if err != nil {
			return whole(err)
		}
		if err := field(fmt.Sprint(key)); err != nil {
			return err
		}
		d.step()
	}
	_, err = d.Token()
	return whole(err)
}

// List reads a list. For each entry, counted from 0, it calls entry, which has to read it.
func (d *Decoder) List(entry func(i int) error) error {
	some, err := d.begin('[')
	if err != nil || !some {
		return err
	}
	for i := 0; d.More(); i++ {
		if err := entry(i); err != nil {
			return fmt.Errorf("entry %d: %w", i, err)
		}
		d.step()
	}
	_, err = d.Token()
	return whole(err)
}

// Field reads a small value into the field of to, a pointer to a struct, that has the name key, or passes it over.
func (d *Decoder) Field(key string, to any) error {
	fields := reflect.TypeOf(to).Elem()
	for i := range fields.NumField() {
		if strings.EqualFold(fields.Field(i).Tag.Get("json"), key) {
			var value json.RawMessage
			if err := d.Decode(&value); err != nil {
				return fmt.Errorf("%s: %w", key, whole(err))
			}
			name, err := json.Marshal(key)
			if err != nil {
				return err
			}
			return json.Unmarshal(fmt.Appendf(nil, "{%s:%s}", name, value), to)
		}
	}
	return d.skip()
}

// skip passes a value over, however large it is.
func (d *Decoder) skip() error {
	for depth := 0; ; {
		t, err := d.Token()
		if err != nil {
			return whole(err)
		}
		switch t {
		case json.Delim('{'), json.Delim('['):
			depth++
		case json.Delim('}'), json.Delim(']'):
			depth--
		}
		if depth == 0 {
			return nil
		}
		d.step()
	}
}

// End reports what stands behind the value that has been read.
func (d *Decoder) End() error {
	if t, err := d.Token(); err == nil {
		return fmt.Errorf("invalid character '%.1s' after the end", fmt.Sprint(t))
	} else if !errors.Is(err, io.EOF) {
		return err
	}
	return nil
}
