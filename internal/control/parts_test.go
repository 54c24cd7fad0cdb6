package control

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"strings"
	"testing"
)

// TestPartFieldAccess checks that a part's fields are accessed by its own methods only.
// So the state of a part has one owner, and all its changes are found in one place.
func TestPartFieldAccess(t *testing.T) {
	files, err := os.ReadDir(".")
	if err != nil {
		t.Fatal(err)
	}
	fileSet := token.NewFileSet()
	var parsedFiles []*ast.File
	for _, f := range files {
		if !strings.HasSuffix(f.Name(), ".go") || strings.HasSuffix(f.Name(), "_test.go") {
			continue
		}
		parsed, err := parser.ParseFile(fileSet, f.Name(), nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		parsedFiles = append(parsedFiles, parsed)
	}
	fields := structFields(parsedFiles)
	parts := map[string]bool{} // the fields of leaderTerm; true for a part, which is named like its type
	for name, typ := range fields["leaderTerm"] {
		parts[name] = typ == name
	}
	if len(parts) < 10 {
		t.Fatalf("found %d parts of leaderTerm, want at least 10", len(parts))
	}
	for _, f := range parsedFiles {
		for _, d := range f.Decls {
			fn, ok := d.(*ast.FuncDecl)
			if !ok {
				continue
			}
			owner := ""
			if fn.Recv != nil {
				owner = typeName(fn.Recv.List[0].Type)
			}
			ast.Inspect(fn, func(n ast.Node) bool {
				outer, ok := n.(*ast.SelectorExpr)
				if !ok {
					return true
				}
				inner, ok := outer.X.(*ast.SelectorExpr)
				if !ok || !parts[inner.Sel.Name] || inner.Sel.Name == owner {
					return true
				}
				// Only leaderTerm may set the references between parts.
				if fieldType, isField := fields[inner.Sel.Name][outer.Sel.Name]; isField && !(owner == "leaderTerm" && parts[fieldType]) {
					t.Errorf("%s: %s accesses the field %s.%s of another part", fileSet.Position(outer.Pos()), fn.Name.Name, inner.Sel.Name, outer.Sel.Name)
				}
				return true
			})
		}
	}
}

// structFields returns, per struct, the type names of its fields by field name.
func structFields(files []*ast.File) map[string]map[string]string {
	structs := map[string]map[string]string{}
	for _, f := range files {
		ast.Inspect(f, func(n ast.Node) bool {
			spec, ok := n.(*ast.TypeSpec)
			if !ok {
				return true
			}
			structType, ok := spec.Type.(*ast.StructType)
			if !ok {
				return true
			}
			fieldTypes := map[string]string{}
			for _, field := range structType.Fields.List {
				for _, n := range field.Names {
					fieldTypes[n.Name] = typeName(field.Type)
				}
			}
			structs[spec.Name.Name] = fieldTypes
			return true
		})
	}
	return structs
}

// typeName returns the name of a type or of the type it points to, or "" for other types.
func typeName(e ast.Expr) string {
	if s, ok := e.(*ast.StarExpr); ok {
		e = s.X
	}
	if id, ok := e.(*ast.Ident); ok {
		return id.Name
	}
	return ""
}
