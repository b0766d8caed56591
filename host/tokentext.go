package host

import "github.com/cespare/xxhash/v2"

// tokenText identifies the texts of the first tokens of an answer.
type tokenText struct {
	tokens int
	digest uint64
}

// add adds the text of the next token.
func (t *tokenText) add(text string) {
	var digest xxhash.Digest
	digest.ResetWithSeed(t.digest)
	_, _ = digest.WriteString(text)
	t.digest = digest.Sum64()
	t.tokens++
}
