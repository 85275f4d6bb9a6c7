package parser

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
)

// MaxEncodedObjectBytes is the maximum size of one object in canonical JSON. Any
// object up to this size fits into one part of a stored revision.
const MaxEncodedObjectBytes = 256 << 10

// FormatError reports an object or a set that cannot be encoded or decoded.
type FormatError struct {
	Object  Ref
	Message string
	Cause   error
}

func (e *FormatError) Error() string {
	text := "encoded set: "
	if e.Object.Kind != "" {
		text += e.Object.String() + ": "
	}
	text += e.Message
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

func (e *FormatError) Unwrap() error { return e.Cause }

// EncodeObject returns the canonical JSON of an object: fields in the order of
// their declaration, without whitespace.
func EncodeObject(o Object) ([]byte, error) {
	var b bytes.Buffer
	encoder := json.NewEncoder(&b)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(o); err != nil {
		return nil, &FormatError{Object: o.Ref(), Message: "cannot be encoded", Cause: err}
	}
	return bytes.TrimSuffix(b.Bytes(), []byte("\n")), nil
}

// Encode returns the canonical JSON of a set: an array of all objects in the
// order of Set.All. Equal sets have equal encodings.
func Encode(s *Set) ([]byte, error) {
	var b bytes.Buffer
	b.WriteByte('[')
	for i, o := range s.All() {
		if i > 0 {
			b.WriteByte(',')
		}
		encoded, err := EncodeObject(o)
		if err != nil {
			return nil, err
		}
		b.Write(encoded)
	}
	b.WriteByte(']')
	return b.Bytes(), nil
}

// Decode decodes the output of Encode.
func Decode(data []byte) (*Set, error) {
	s := NewSet()
	if err := DecodeInto(s, data); err != nil {
		return nil, err
	}
	return s, nil
}

// DecodeInto adds the objects of an encoded set to s. An unknown field is an
// error: a program that ignored it would run a different configuration from the
// accepted one, or lose the field when it publishes the set.
func DecodeInto(s *Set, data []byte) error {
	var raw []json.RawMessage
	if err := json.Unmarshal(data, &raw); err != nil {
		return &FormatError{Message: "not a JSON array", Cause: err}
	}
	if len(raw) > MaxObjects {
		return &FormatError{Message: fmt.Sprintf("%d objects, the limit is %d", len(raw), MaxObjects)}
	}
	for _, encoded := range raw {
		o, err := DecodeObject(encoded)
		if err != nil {
			return err
		}
		if !s.Add(o) {
			return &FormatError{Object: o.Ref(), Message: "duplicate object"}
		}
	}
	return nil
}

// DecodeObject decodes the output of EncodeObject.
func DecodeObject(data []byte) (Object, error) {
	var ref Ref
	if err := json.Unmarshal(data, &ref); err != nil {
		return nil, &FormatError{Message: "not a JSON object", Cause: err}
	}
	t, known := kindTypes[ref.Kind]
	if !known {
		return nil, &FormatError{Object: ref, Message: "unknown kind"}
	}
	if ref.Name == "" {
		return nil, &FormatError{Object: ref, Message: "missing name"}
	}
	o := reflect.New(t).Interface().(Object)
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(o); err != nil {
		return nil, &FormatError{Object: ref, Message: "cannot be decoded", Cause: err}
	}
	return o, nil
}

// Equal reports whether two objects have the same canonical JSON. Either object
// may be nil.
func Equal(a, b Object) bool {
	if a == nil || b == nil {
		return a == nil && b == nil
	}
	first, err := EncodeObject(a)
	if err != nil {
		return false
	}
	second, err := EncodeObject(b)
	return err == nil && bytes.Equal(first, second)
}

// FieldDifference is a field that differs between two objects. Before and After
// are JSON values, or empty when the field is not set.
type FieldDifference struct {
	Field  string `json:"field"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// Differences returns the fields that differ between two objects of the same
// kind, in the order of their declaration. Either object may be nil.
func Differences(before, after Object) []FieldDifference {
	ref := Ref{}
	if before != nil {
		ref = before.Ref()
	}
	if after != nil {
		ref = after.Ref()
	}
	old, current := fieldValues(before), fieldValues(after)
	var differences []FieldDifference
	for _, name := range FieldNames(ref.Kind) {
		if old[name] != current[name] {
			differences = append(differences, FieldDifference{Field: name, Before: old[name], After: current[name]})
		}
	}
	return differences
}

func fieldValues(o Object) map[string]string {
	values := map[string]string{}
	if o == nil {
		return values
	}
	encoded, err := EncodeObject(o)
	if err != nil {
		return values
	}
	raw := map[string]json.RawMessage{}
	if json.Unmarshal(encoded, &raw) != nil {
		return values
	}
	for name, value := range raw {
		// A nil slice without omitempty is encoded as null.
		if text := string(value); text != "null" {
			values[name] = text
		}
	}
	return values
}
