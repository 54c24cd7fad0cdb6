// Package schema checks documents that operators and users send against a JSON schema,
// and names the first field that is invalid.
package schema

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"sync"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"

	"vetchstream/internal/wire"
)

// FieldError is the error for a document with an invalid field.
type FieldError struct {
	Field  string // path of the field, such as "to.image"
	Reason string
}

// Error implements error.
func (e *FieldError) Error() string { return e.Field + ": " + e.Reason }

// ErrNotMap is returned by Decode for a body that is not a map.
var ErrNotMap = errors.New("body is not a map")

// Schema is a JSON schema that is compiled when it is first needed.
type Schema struct {
	compile func() (*jsonschema.Schema, error)
}

// New returns the schema with the given text. The name appears in the errors of a text
// that does not compile, which the first check returns.
func New(name string, text []byte) *Schema {
	return &Schema{sync.OnceValues(func() (*jsonschema.Schema, error) { return compile(name, text) })}
}

func compile(name string, text []byte) (*jsonschema.Schema, error) {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(text))
	if err != nil {
		return nil, fmt.Errorf("schema of %s: %w", name, err)
	}
	url := "urn:vetchstream:" + name
	compiler := jsonschema.NewCompiler()
	if err := compiler.AddResource(url, doc); err != nil {
		return nil, fmt.Errorf("schema of %s: %w", name, err)
	}
	return compiler.Compile(url)
}

// Check validates a document that was decoded from CBOR. An invalid field gives a
// *FieldError.
func (s *Schema) Check(doc any) error {
	compiled, err := s.compile()
	if err != nil {
		return err
	}
	err = compiled.Validate(normalize(doc))
	var invalid *jsonschema.ValidationError
	if errors.As(err, &invalid) {
		return firstFieldError(invalid)
	}
	return err
}

// Decode checks an encoded document and decodes it into out. The fields named in
// integers are counts: the schema has checked that they are whole, but JSON has one
// kind of number.
func (s *Schema) Decode(body []byte, out any, integers ...string) error {
	var doc map[string]any
	if err := wire.Unmarshal(body, &doc); err != nil {
		return err
	}
	if doc == nil {
		return ErrNotMap
	}
	if err := s.Check(doc); err != nil {
		return err
	}
	for _, field := range integers {
		if f, ok := doc[field].(float64); ok {
			doc[field] = int64(f)
		}
	}
	body, err := wire.Marshal(doc)
	if err != nil {
		return err
	}
	return wire.Unmarshal(body, out)
}

// normalize replaces the integers of a decoded document by the floating point numbers
// that the validator knows. It changes maps and lists in place.
func normalize(v any) any {
	switch x := v.(type) {
	case map[string]any:
		for key, element := range x {
			x[key] = normalize(element)
		}
	case []any:
		for i, element := range x {
			x[i] = normalize(element)
		}
	case uint64:
		return float64(x)
	case int64:
		return float64(x)
	}
	return v
}

// firstFieldError returns the innermost first cause of a failed validation.
func firstFieldError(e *jsonschema.ValidationError) *FieldError {
	for len(e.Causes) > 0 {
		e = e.Causes[0]
	}
	switch k := e.ErrorKind.(type) {
	case *kind.Required:
		return &FieldError{fieldPath(e, k.Missing[0]), "missing"}
	case *kind.AdditionalProperties:
		return &FieldError{fieldPath(e, k.Properties[0]), "unknown field"}
	}
	reason := e.Error()
	if i := strings.LastIndex(reason, ": "); i >= 0 {
		reason = reason[i+2:] // without the location, which the library puts before it
	}
	return &FieldError{fieldPath(e), reason}
}

// fieldPath joins the location of an error and further fields below it.
func fieldPath(e *jsonschema.ValidationError, fields ...string) string {
	return strings.Join(append(e.InstanceLocation, fields...), ".")
}
