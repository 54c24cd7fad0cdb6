package schema

import (
	"errors"
	"testing"

	"vetchstream/internal/wire"
)

// TestDecodeFieldErrors checks that Decode returns a FieldError with the first invalid field of a
// document, and decodes a valid document with its integers.
func TestDecodeFieldErrors(t *testing.T) {
	s := New("test", []byte(`{"type": "object", "additionalProperties": false, "required": ["name"], "properties": {
		"name": {"type": "string"}, "count": {"type": "integer"},
		"to": {"type": "object", "required": ["image"], "properties": {"image": {"type": "string"}}}}}`))
	tests := []struct {
		name  string
		doc   map[string]any
		field string // of the FieldError; empty: the document is valid
		text  string // of the error
	}{
		{"valid document: decoded with an integer count", map[string]any{"name": "x", "count": 3.0}, "", ""},
		{"missing required field: named", map[string]any{}, "name", "name: missing"},
		{"missing required field of a nested map: named with its path", map[string]any{"name": "x", "to": map[string]any{}}, "to.image", "to.image: missing"},
		{"unknown field: named", map[string]any{"name": "x", "size": 1}, "size", "size: unknown field"},
		{"field of another type: named with both types", map[string]any{"name": 1}, "name", "name: got number, want string"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			body, err := wire.Marshal(tt.doc)
			if err != nil {
				t.Fatal(err)
			}
			var out struct {
				Count int `codec:"count"`
			}
			err = s.Decode(body, &out, "count")
			var invalid *FieldError
			switch {
			case tt.field == "":
				if err != nil || out.Count != 3 {
					t.Errorf("count %d, error %v; want count 3 without an error", out.Count, err)
				}
			case !errors.As(err, &invalid) || invalid.Field != tt.field || err.Error() != tt.text:
				t.Errorf("error %v, want a FieldError of field %q: %q", err, tt.field, tt.text)
			}
		})
	}
}
