package main

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// reader matches code that reads from a connection, a response, a request or an input.
var reader = regexp.MustCompile(`io\.ReadAll\(|bufio\.New(Reader|Scanner)|json\.NewDecoder\(|io\.Copy\(|http\.Read(Request|Response)\(|` +
	`WithReadMaxBytes\(|\.ReadFrom\(buffer|&http\.(Server|Transport)\{`)

// unlimited matches readers of a body that have no bound on bytes on their line.
var unlimited = regexp.MustCompile(`(io\.ReadAll|json\.NewDecoder|bufio\.NewScanner)\((r|response|request)\.Body\)`)

// TestReadersAreListed guards against a reader of bytes from outside that nobody has
// thought about a bound for: each file with one must be named in the table of bounds.
func TestReadersAreListed(t *testing.T) {
	page, err := os.ReadFile("docs/design/bounds.md")
	if err != nil {
		t.Fatal(err)
	}
	// In these files the body's size or its lines are bounded before or by a call nearby.
	bounded := map[string]bool{
		"io/engine/stream.go":  true,
		"io/service/client.go": true,
	}
	err = filepath.WalkDir(".", func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		path = filepath.ToSlash(path)
		if unlimited.Match(text) && !bounded[path] {
			t.Errorf("%s reads a body without a bound on bytes", path)
		}
		switch strings.Split(path, "/")[0] {
		case "load", "fleet", "standin", "platform":
			if !strings.HasPrefix(path, "platform/store") {
				return nil
			}
		}
		if reader.Match(text) && !strings.Contains(string(page), "`"+path+"`") {
			t.Errorf("%s reads bytes from outside and is not in docs/design/bounds.md", path)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}
