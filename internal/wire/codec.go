// Package wire defines the protocol between controllers and workers, users and the
// cloud: one type per message body, and the CBOR encoding of all bodies. The bodies of
// the key-value store's API use the same encoding; package state defines their types.
//
// The Go names are the usual terms of cluster scheduling and differ from many field names
// of the protocol, which the codec tags define. No other package translates between the
// two. A field with omitempty in its tag may be absent. A pointer field may be absent or
// null. The decoder ignores unknown fields.
package wire

import (
	"errors"
	"fmt"
	"reflect"

	"github.com/ugorji/go/codec"
)

// MaxBody is the maximum size, in bytes, of a request or response body that users and
// workers exchange with a controller.
const MaxBody = 64 << 10

// ContentType is the media type of all bodies.
const ContentType = "application/cbor"

// Limits of the decoder. They keep a malicious body from making it allocate excessive
// memory or recurse without bound.
const (
	maxInitialLength = 1024 // elements allocated before the first is read
	maxNesting       = 32   // depth of nested maps and lists
)

var handle = newHandle()

func newHandle() *codec.CborHandle {
	cbor := &codec.CborHandle{}
	cbor.MapType = reflect.TypeFor[map[string]any]()
	cbor.Raw = true
	cbor.MaxInitLen = maxInitialLength
	cbor.MaxDepth = maxNesting
	return cbor
}

// Raw is an encoded value. It is copied without being decoded.
type Raw = codec.Raw

// Marshal returns the CBOR encoding of v.
func Marshal(v any) ([]byte, error) {
	var out []byte
	if err := codec.NewEncoderBytes(&out, handle).Encode(v); err != nil {
		return nil, fmt.Errorf("encode: %w", err)
	}
	return out, nil
}

// ErrTrailingBytes is the error of Unmarshal if bytes follow the encoded value.
var ErrTrailingBytes = errors.New("decode: trailing bytes")

// Unmarshal decodes body, which must contain exactly one value, into the value that v
// points to. It never panics.
func Unmarshal(body []byte, v any) (err error) {
	// The decoder may panic; a malformed message must never end the process.
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("decode: %v", r)
		}
	}()
	decoder := codec.NewDecoderBytes(body, handle)
	if err := decoder.Decode(v); err != nil {
		return fmt.Errorf("decode: %w", err)
	}
	if decoder.NumBytesRead() != len(body) {
		return ErrTrailingBytes
	}
	return nil
}
