package irregularity

import (
	"bytes"
	"unicode"
)

const (
	// maxOpening bounds the bytes of an opening, and minOpening is the least number that tells responses apart: words are shorter.
	maxOpening = 256
	minOpening = 8
	// openingEvents is the number of events that must have it in common.
	openingEvents = 3
)

// opening is what the data of all events of a response begins with, up to the end of a word, such as an object with the response's ID.
type opening struct {
	common []byte
	events int
}

// departs reports whether the data of an event lacks a part of the opening, and takes that part from the opening.
func (o *opening) departs(event []byte) bool {
	data := dataOf(event)
	if data == nil {
		return false
	}
	if o.events++; o.events == 1 {
		o.common = append(o.common, data[:min(len(data), maxOpening)]...)
		return false
	}
	common := 0
	for common < min(len(data), len(o.common)) && data[common] == o.common[common] {
		common++
	}
	known := len(bytes.TrimRightFunc(o.common, isWordRune))
	o.common = o.common[:common]
	return known >= minOpening && common < known && o.events > openingEvents
}

// isWordRune reports whether a rune may be a part of a word or a number. What several have in common of these may be by chance.
func isWordRune(r rune) bool { return unicode.IsLetter(r) || unicode.IsDigit(r) }

// dataOf returns the value of the first line of data, or nil if there is none.
func dataOf(event []byte) []byte {
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(line, []byte("data:")); ok {
			return bytes.TrimRight(value, "\r\n")
		}
	}
	return nil
}
