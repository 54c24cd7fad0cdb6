package wire

// TokensPerTerm is the number of fencing tokens of a leader's term. The term's number is the
// highest of them, so that a later term's tokens are above all that the leader may have used.
const TokensPerTerm = 1 << 20

// FirstToken returns the lowest fencing token of a term. Every controller that acts for the
// leader of the term uses tokens from it up to the term's number.
func FirstToken(term uint64) uint64 { return term - min(term, TokensPerTerm) + 1 }

// NextTerm returns the term after a term or after the term of a token. All of its tokens are
// above every token that the earlier terms may have used, including those of builds in which
// a term had a single token.
func NextTerm(termOrToken uint64) uint64 {
	terms := (termOrToken + TokensPerTerm - 1) / TokensPerTerm
	return (terms + 1) * TokensPerTerm
}
