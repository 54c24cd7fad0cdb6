package wire

import "testing"

// TestTokensOfNextTermAreAboveEarlierOnes checks that the tokens of a term are above all that
// earlier terms may have used, whichever token of theirs is known.
func TestTokensOfNextTermAreAboveEarlierOnes(t *testing.T) {
	tests := []struct {
		name        string
		known, want uint64
	}{
		{"no term before", 0, TokensPerTerm},
		{"the term before is known", 3 * TokensPerTerm, 4 * TokensPerTerm},
		{"only the first token of the term before is known", 2*TokensPerTerm + 1, 4 * TokensPerTerm},
		{"the term before is one of an earlier build", 41, 2 * TokensPerTerm},
		{"an earlier build has led after this one", 3*TokensPerTerm + 1, 5 * TokensPerTerm},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			next := NextTerm(tt.known)
			if next != tt.want {
				t.Errorf("the next term is %d, want %d", next, tt.want)
			}
			if first := FirstToken(next); first <= tt.known || next-first != TokensPerTerm-1 {
				t.Errorf("the tokens are %d to %d, want %d of them above %d", first, next, TokensPerTerm, tt.known)
			}
		})
	}
}
