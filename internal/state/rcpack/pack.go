// Package rcpack encodes and decodes rows and snapshots as MessagePack. Structs are
// encoded as maps by field name, and unknown fields are ignored when decoding, so
// different versions of the program can read each other's data.
package rcpack

import (
	"bytes"
	"errors"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// maxDepth is far above the nesting depth of the encoded types.
const maxDepth = 16

// ErrTooDeep is returned for data that is nested deeper than any encoded type.
var ErrTooDeep = errors.New("msgpack data is nested too deep")

// LengthError is returned for an array or map with more elements than allowed.
type LengthError struct {
	Length int // Length in the header of the array or map.
	Limit  int
}

// Error implements error.
func (e *LengthError) Error() string {
	return fmt.Sprintf("msgpack data announces %d elements, more than %d", e.Length, e.Limit)
}

// Marshal encodes a value.
func Marshal(value any) ([]byte, error) {
	var b bytes.Buffer
	enc := msgpack.NewEncoder(&b)
	enc.UseCompactInts(true)
	err := enc.Encode(value)
	return b.Bytes(), err
}

// Unmarshal decodes a value whose arrays and maps have at most limit elements.
// The lengths are checked first, because the library allocates memory for the
// length in the header: a fuzz test made it request 96 GB with 16 bytes of input.
func Unmarshal(data []byte, limit int, value any) error {
	if err := validate(msgpack.NewDecoder(bytes.NewReader(data)), limit, 0); err != nil {
		return err
	}
	return msgpack.Unmarshal(data, value)
}

func validate(d *msgpack.Decoder, limit, depth int) error {
	if depth > maxDepth {
		return ErrTooDeep
	}
	code, err := d.PeekCode()
	if err != nil {
		return err
	}
	length, valuesPerElement := 0, 1 // A map has a key and a value for each element.
	switch {
	case msgpcode.IsFixedArray(code) || code == msgpcode.Array16 || code == msgpcode.Array32:
		length, err = d.DecodeArrayLen()
	case msgpcode.IsFixedMap(code) || code == msgpcode.Map16 || code == msgpcode.Map32:
		length, err = d.DecodeMapLen()
		valuesPerElement = 2
	default:
		return d.Skip()
	}
	if err != nil {
		return err
	}
	if length > limit {
		return &LengthError{Length: length, Limit: limit}
	}
	for range length * valuesPerElement {
		if err := validate(d, limit, depth+1); err != nil {
			return err
		}
	}
	return nil
}
