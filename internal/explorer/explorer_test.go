package explorer

import "testing"

// testWorld is a world without states.
type testWorld struct{}

func (testWorld) Fingerprint() string { return "" }

func (testWorld) Violation() string { return "" }

// TestStepsOfUnknownAction guards against a test that leaves out a step because its name is
// misspelled.
func TestStepsOfUnknownAction(t *testing.T) {
	e := &Explorer[testWorld]{Actions: []Action[testWorld]{{Name: "wait", Count: 1}}}
	if steps := e.Steps(2, "wait"); len(steps) != 2 {
		t.Errorf("%d steps of a known action, want 2", len(steps))
	}
	defer func() {
		if recover() == nil {
			t.Error("Steps accepts an unknown action, want a panic")
		}
	}()
	e.Steps(2, "wait", "wiat")
}
