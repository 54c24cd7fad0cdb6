package control

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"strings"
	"testing"
)

// TestPartFieldAccess: a part's fields are touched by its own methods alone. Each part has
// one owner of its state, and a reader finds every change of it in one place.
func TestPartFieldAccess(t *testing.T) {
	files, err := os.ReadDir(".")
	if err != nil {
		t.Fatal(err)
	}
	set := token.NewFileSet()
	var all []*ast.File
	for _, f := range files {
		if !strings.HasSuffix(f.Name(), ".go") || strings.HasSuffix(f.Name(), "_test.go") {
			continue
		}
		parsed, err := parser.ParseFile(set, f.Name(), nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, parsed)
	}
	fields := structFields(all)
	parts := map[string]bool{} // a part is held by the term under the name of its type
	for name, typ := range fields["leaderTerm"] {
		parts[name] = typ == name
	}
	if len(parts) < 10 {
		t.Fatalf("only %d parts found", len(parts))
	}
	for _, f := range all {
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
				// The composition itself may tie a part to another.
				if to, has := fields[inner.Sel.Name][outer.Sel.Name]; has && !(owner == "leaderTerm" && parts[to]) {
					t.Errorf("%s: %s reaches into %s.%s", set.Position(outer.Pos()), fn.Name.Name, inner.Sel.Name, outer.Sel.Name)
				}
				return true
			})
		}
	}
}

// structFields lists the fields of each struct with the names of their types.
func structFields(files []*ast.File) map[string]map[string]string {
	out := map[string]map[string]string{}
	for _, f := range files {
		ast.Inspect(f, func(n ast.Node) bool {
			spec, ok := n.(*ast.TypeSpec)
			if !ok {
				return true
			}
			st, ok := spec.Type.(*ast.StructType)
			if !ok {
				return true
			}
			of := map[string]string{}
			for _, fl := range st.Fields.List {
				for _, n := range fl.Names {
					of[n.Name] = typeName(fl.Type)
				}
			}
			out[spec.Name.Name] = of
			return true
		})
	}
	return out
}

// typeName is the name of a type or of what it points to.
func typeName(e ast.Expr) string {
	if s, ok := e.(*ast.StarExpr); ok {
		e = s.X
	}
	if id, ok := e.(*ast.Ident); ok {
		return id.Name
	}
	return ""
}
