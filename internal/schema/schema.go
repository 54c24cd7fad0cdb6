// Package schema validates documents from users and operators against a JSON schema. Its errors
// name the first invalid field.
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

// FieldError reports an invalid field of a document.
type FieldError struct {
	Field  string // path of the field, such as "to.image"
	Reason string
}

// Error implements error.
func (e *FieldError) Error() string { return e.Field + ": " + e.Reason }

// ErrNotMap is the error of Decode for a body that encodes null instead of a map.
var ErrNotMap = errors.New("body is not a map")

// Schema is a JSON schema that is compiled at its first use. It is safe for concurrent use.
type Schema struct {
	compile func() (*jsonschema.Schema, error)
}

// New returns the schema with the given text. If the text does not compile, every check returns an
// error that contains the name.
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

// Check validates a document that was decoded from CBOR, and replaces its integers by floating
// point numbers. It returns a *FieldError for an invalid field.
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

// Decode validates a document encoded in CBOR and decodes it into out. The top-level fields named
// in integers are decoded as integers. The schema must ensure that they are whole numbers, because
// Check has turned all numbers into floating point ones.
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
		if number, ok := doc[field].(float64); ok {
			doc[field] = int64(number)
		}
	}
	body, err := wire.Marshal(doc)
	if err != nil {
		return err
	}
	return wire.Unmarshal(body, out)
}

// normalize replaces the integers of a decoded document by floating point numbers, the only numbers
// that the validator accepts. It changes maps and lists in place.
func normalize(value any) any {
	switch typed := value.(type) {
	case map[string]any:
		for key, element := range typed {
			typed[key] = normalize(element)
		}
	case []any:
		for i, element := range typed {
			typed[i] = normalize(element)
		}
	case uint64:
		return float64(typed)
	case int64:
		return float64(typed)
	}
	return value
}

// firstFieldError follows the first cause of a failed validation down to the innermost one, and
// returns the error of that field.
func firstFieldError(invalid *jsonschema.ValidationError) *FieldError {
	for len(invalid.Causes) > 0 {
		invalid = invalid.Causes[0]
	}
	switch k := invalid.ErrorKind.(type) {
	case *kind.Required:
		return &FieldError{fieldPath(invalid, k.Missing[0]), "missing"}
	case *kind.AdditionalProperties:
		return &FieldError{fieldPath(invalid, k.Properties[0]), "unknown field"}
	}
	reason := invalid.Error()
	if i := strings.LastIndex(reason, ": "); i >= 0 {
		reason = reason[i+2:] // the library puts the location before the reason
	}
	return &FieldError{fieldPath(invalid), reason}
}

// fieldPath returns the path of an error's location, or of a field below it, joined by dots.
func fieldPath(invalid *jsonschema.ValidationError, fields ...string) string {
	return strings.Join(append(invalid.InstanceLocation, fields...), ".")
}
