package opaque_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"cactuswell/core/scheduling"
	"cactuswell/io/opaque"
)

// TestPromptPartsAreBounded guards against a request of legal size whose parts take many times its size, and
// against a list in several lines of which only the first one counts and is passed on.
func TestPromptPartsAreBounded(t *testing.T) {
	names := opaque.DefaultHeaderNames()
	dialect := opaque.NewHeaderDialect(names)
	list := strings.Repeat("a:1,", 2500) + "b:1"
	parse := func(lines ...string) []scheduling.PromptPart {
		request := &http.Request{Header: http.Header{
			http.CanonicalHeaderKey(names.RequestID):   {"id"},
			http.CanonicalHeaderKey(names.PromptParts): lines,
		}}
		info, err := dialect.ParseRequest(request)
		if err != nil {
			t.Fatal(err)
		}
		forwarded := request.Header.Clone()
		dialect.CompleteHeader(forwarded, request.Header)
		if diff := cmp.Diff(lines, forwarded.Values(names.PromptParts)); diff != "" {
			t.Error(diff)
		}
		return info.PromptParts
	}
	parts := parse(list)
	if len(parts) != scheduling.MaxPromptParts || cap(parts) > 2*scheduling.MaxPromptParts {
		t.Errorf("the prompt has %d parts in a slice of %d, at most %d wanted", len(parts), cap(parts), scheduling.MaxPromptParts)
	}
	half := len("a:1,") * 1250
	if diff := cmp.Diff(parts, parse(list[:half-1], list[half:])); diff != "" {
		t.Error(diff)
	}
}
