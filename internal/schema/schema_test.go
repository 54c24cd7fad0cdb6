package schema

import (
	"errors"
	"testing"

	"vetchstream/internal/wire"
)

// TestDecodeFieldErrors: an invalid document gives an error that names its first invalid field.
func TestDecodeFieldErrors(t *testing.T) {
	s := New("test", []byte(`{"type": "object", "additionalProperties": false, "required": ["name"], "properties": {
		"name": {"type": "string"}, "count": {"type": "integer"},
		"to": {"type": "object", "required": ["image"], "properties": {"image": {"type": "string"}}}}}`))
	tests := []struct {
		name  string
		doc   map[string]any
		field string // of the FieldError; empty: the document is valid
		text  string
	}{
		{"valid", map[string]any{"name": "x", "count": 3.0}, "", ""},
		{"missing", map[string]any{}, "name", "name: missing"},
		{"missing below another", map[string]any{"name": "x", "to": map[string]any{}}, "to.image", "to.image: missing"},
		{"unknown", map[string]any{"name": "x", "size": 1}, "size", "size: unknown field"},
		{"wrong type", map[string]any{"name": 1}, "name", "name: got number, want string"},
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
					t.Errorf("count %d, error %v", out.Count, err)
				}
			case !errors.As(err, &invalid) || invalid.Field != tt.field || err.Error() != tt.text:
				t.Errorf("error %v, want %q", err, tt.text)
			}
		})
	}
}
