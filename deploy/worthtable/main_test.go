package main

import (
	"bytes"
	"testing"

	"github.com/sebdah/goldie/v2"
)

// TestTable checks that the newest finished full score of a site is shown, and no quick score,
// no unfinished run and no run of another kind.
func TestTable(t *testing.T) {
	var out bytes.Buffer
	if err := run("testdata/journal", &out); err != nil {
		t.Fatal(err)
	}
	goldie.New(t).Assert(t, "table", out.Bytes())
}
