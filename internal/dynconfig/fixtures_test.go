package dynconfig

import (
	"bytes"
	"flag"
	"fmt"
	"hash/fnv"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"vetchstream/internal/wire"
)

// Fixtures are the CBOR of today's values, written once from a released
// version. They are never rewritten to follow a rename: a rename that changes
// what is stored or sent makes them fail, and that is their purpose.
var writeFixtures = flag.Bool("write-fixtures", false, "write testdata/fixtures from the current code (only from a released version)")

// fixture is a value as it is encoded, and the file that holds its bytes.
type fixture struct {
	file  string
	value any // a pointer to a value with every field set
}

// filled returns a pointer to a T whose fields are all set. Each value is
// derived from the field's name on the wire, so that renaming a Go field
// while keeping its codec name keeps the value, and moving fields changes
// nothing.
func filled[T any]() *T {
	v := new(T)
	fill(reflect.ValueOf(v).Elem(), "v", 0) // not the type's name, which may change
	return v
}

// maxFillDepth bounds the nesting of recursive types.
const maxFillDepth = 6

func fill(v reflect.Value, path string, depth int) {
	if depth > maxFillDepth {
		return
	}
	h := fnv.New32a()
	h.Write([]byte(path))
	n := int64(h.Sum32() % 9973)
	if v.Type() == reflect.TypeFor[time.Time]() {
		v.Set(reflect.ValueOf(time.Unix(1_700_000_001+n, 0).UTC()))
		return
	}
	if v.Type() == reflect.TypeFor[wire.Raw]() {
		v.SetBytes([]byte{byte(n%23 + 1)}) // a small CBOR integer
		return
	}
	switch v.Kind() {
	case reflect.String:
		v.SetString(path)
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(n%100 + 1)
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(n%100 + 1))
	case reflect.Float32, reflect.Float64:
		v.SetFloat(float64(n%100) + 0.5)
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem(), path, depth+1)
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fill(v.Index(0), path+"[0]", depth+1)
	case reflect.Array:
		for i := range v.Len() {
			fill(v.Index(i), fmt.Sprintf("%s[%d]", path, i), depth+1)
		}
	case reflect.Map:
		key := reflect.New(v.Type().Key()).Elem()
		fill(key, path+".key", depth+1)
		elem := reflect.New(v.Type().Elem()).Elem()
		fill(elem, path+".value", depth+1)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, elem)
	case reflect.Struct:
		for i := range v.NumField() {
			f := v.Type().Field(i)
			if !f.IsExported() {
				continue // not encoded
			}
			name := f.Name
			if tag, _, _ := strings.Cut(f.Tag.Get("codec"), ","); tag != "" {
				name = tag
			}
			fill(v.Field(i), path+"."+name, depth+1)
		}
	}
}

// zeroFields lists the exported fields below v that are still zero.
func zeroFields(v reflect.Value, path string, depth int) []string {
	if depth > maxFillDepth {
		return nil
	}
	if v.IsZero() {
		return []string{path}
	}
	var zero []string
	switch v.Kind() {
	case reflect.Pointer, reflect.Interface:
		zero = zeroFields(v.Elem(), path, depth+1)
	case reflect.Slice, reflect.Array:
		for i := range v.Len() {
			zero = append(zero, zeroFields(v.Index(i), fmt.Sprintf("%s[%d]", path, i), depth+1)...)
		}
	case reflect.Struct:
		if v.Type() == reflect.TypeFor[time.Time]() {
			return nil
		}
		for i := range v.NumField() {
			if f := v.Type().Field(i); f.IsExported() {
				zero = append(zero, zeroFields(v.Field(i), path+"."+f.Name, depth+1)...)
			}
		}
	}
	return zero
}

// checkFixtures decodes each fixture into a fresh value of today's type,
// compares it with the expected value and encodes it again to the same bytes.
func checkFixtures(t *testing.T, rows []fixture) {
	t.Helper()
	for _, row := range rows {
		t.Run(row.file, func(t *testing.T) {
			if zero := zeroFields(reflect.ValueOf(row.value), "v", 0); len(zero) > 0 {
				t.Fatalf("fields left zero: %v", zero)
			}
			path := filepath.Join("testdata", "fixtures", row.file)
			if *writeFixtures {
				b, err := wire.Marshal(row.value)
				if err != nil {
					t.Fatal(err)
				}
				if err := os.WriteFile(path, b, 0o644); err != nil {
					t.Fatal(err)
				}
			}
			b, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			got := reflect.New(reflect.TypeOf(row.value).Elem())
			if err := wire.Unmarshal(b, got.Interface()); err != nil {
				t.Fatalf("decode: %v", err)
			}
			if !reflect.DeepEqual(got.Interface(), row.value) {
				t.Fatalf("decoded %#v, want %#v", got.Elem().Interface(), reflect.ValueOf(row.value).Elem().Interface())
			}
			again, err := wire.Marshal(got.Interface())
			if err != nil {
				t.Fatal(err)
			}
			if !bytes.Equal(again, b) {
				t.Fatalf("encoded again to %x, fixture is %x", again, b)
			}
		})
	}
}

// fixtures are the records of the teams' quotas stored in the consensus-backed
// key-value store, the messages of Follow sent over gRPC between controllers,
// and the configuration changes of the API.
var fixtures = []fixture{
	{"follow-request.cbor", filled[Request]()},
	{"follow-reply.cbor", filled[Reply]()},
	{"team-record.cbor", filled[Record]()},
	{"team-head.cbor", filled[Head]()},
	{"team-grant.cbor", filled[Grant]()},
	{"team-share.cbor", filled[Share]()},
	{"team-entry.cbor", filled[Entry]()},
	{"team-statement.cbor", filled[Statement]()},
	{"change-history-entry.cbor", filled[Past]()},
	{"change-history-summary.cbor", filled[PastSummary]()},
	{"config-change.cbor", filled[Change]()},
	{"config-team-change.cbor", filled[TeamChange]()},
	{"config-part.cbor", filled[Part]()},
	{"config-quota.cbor", filled[Quota]()},
	{"config-refusal.cbor", filled[Refusal]()},
	{"config-status.cbor", filled[Status]()},
	{"config-region-status.cbor", filled[RegionStatus]()},
	{"config-wait.cbor", filled[Wait]()},
	{"config-team-status.cbor", filled[TeamStatus]()},
	{"config-part-status.cbor", filled[PartStatus]()},
	{"amount.cbor", filled[Amount]()},
}

func TestStoredFixtures(t *testing.T) { checkFixtures(t, fixtures) }
