// Package wire defines the protocol that controllers speak with workers, users and
// the cloud: one type for each message body, and the CBOR encoding that they share.
// The bodies of the key-value store's API use the same encoding; their types are in
// package state.
//
// The protocol has themed names for its fields. This package is the one place that
// translates them: Go names are the usual terms of cluster scheduling, and the codec
// tags carry the names on the wire. A field whose tag has omitempty may be absent;
// a pointer field may be absent or null. Unknown fields are ignored.
package wire

import (
	"errors"
	"fmt"
	"reflect"

	"github.com/ugorji/go/codec"
)

// MaxBody is the largest request or response body, in bytes, that users and
// workers exchange with a controller.
const MaxBody = 64 << 10

// ContentType is the media type of every body.
const ContentType = "application/cbor"

// Limits of the decoder: a hostile body must not make it reserve memory up front or
// recurse without end.
const (
	maxInitialLength = 1024 // elements that are allocated before any is read
	maxNesting       = 32   // depth of maps and lists
)

var handle = newHandle()

func newHandle() *codec.CborHandle {
	h := &codec.CborHandle{}
	h.MapType = reflect.TypeFor[map[string]any]()
	h.Raw = true
	h.MaxInitLen = maxInitialLength
	h.MaxDepth = maxNesting
	return h
}

// Raw is a value in its encoded form: it is copied, not interpreted.
type Raw = codec.Raw

// Marshal returns the CBOR encoding of v.
func Marshal(v any) ([]byte, error) {
	var out []byte
	if err := codec.NewEncoderBytes(&out, handle).Encode(v); err != nil {
		return nil, fmt.Errorf("encode: %w", err)
	}
	return out, nil
}

// ErrTrailingBytes is returned by Unmarshal for a body that continues after its value.
var ErrTrailingBytes = errors.New("decode: trailing bytes")

// Unmarshal decodes b, which must hold exactly one value, into the value that v
// points to. It never panics.
func Unmarshal(b []byte, v any) (err error) {
	// A malformed message must never end the process, whatever the decoder does.
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("decode: %v", r)
		}
	}()
	d := codec.NewDecoderBytes(b, handle)
	if err := d.Decode(v); err != nil {
		return fmt.Errorf("decode: %w", err)
	}
	if d.NumBytesRead() != len(b) {
		return ErrTrailingBytes
	}
	return nil
}
