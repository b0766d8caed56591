package irregularity

import (
	"bytes"
	"strconv"

	"golang.org/x/net/http/httpguts"
)

const (
	// maxForms bounds the forms of events that are remembered, and maxFormLines the lines of a form.
	maxForms     = 4
	maxFormLines = 8
	// usualShare is the share of the events before which a kind of padding must have stood to be usual, as its reciprocal.
	usualShare = 2
)

// lineKind is what a line of a stream is.
type lineKind byte

const (
	blankLine lineKind = iota
	commentLine
	// fieldLine is a field without data, as retry or event.
	fieldLine
	dataLine
	idLine
	// namedIDLine is an ID that is no number. A response has either.
	namedIDLine
	// customLine is a field that the format does not know.
	customLine
	// oddLine is none of these.
	oddLine
	lineKinds
)

// kindOf returns the kind of a line without its line break.
func kindOf(line []byte) lineKind {
	name, value, hasColon := bytes.Cut(line, []byte(":"))
	switch {
	case len(line) == 0:
		return blankLine
	case len(name) == 0:
		return commentLine
	case string(name) == "data":
		return dataLine
	case string(name) == "id" && isNumber(bytes.TrimSpace(value)):
		return idLine
	case string(name) == "id":
		return namedIDLine
	case string(name) == "event", string(name) == "retry":
		return fieldLine
	case hasColon && httpguts.ValidHeaderFieldName(string(name)):
		return customLine
	}
	return oddLine
}

func isNumber(value []byte) bool {
	_, err := strconv.ParseInt(string(value), 10, 64)
	return err == nil
}

// HasOddLine reports whether a line is no field and no comment.
func HasOddLine(text []byte) bool {
	for line := range bytes.Lines(text) {
		if kindOf(bytes.TrimRight(line, "\r\n")) == oddLine {
			return true
		}
	}
	return false
}

// form is the sequence of the kinds of lines of an event, of which several in a row count once.
type form [maxFormLines]byte

// lines remembers how events look, and what stands between them.
type lines struct {
	forms     [maxForms]form
	formCount int
	// usual counts the events before which, or in which, there was a line of a kind, and pending marks the kinds since the
	// last event.
	usual   [lineKinds]int
	pending [lineKinds]bool
	// doubtful marks the kinds of padding that were a sign, and accepted those of them that proved to be sound.
	doubtful [lineKinds]bool
	accepted [lineKinds]bool
}

// look returns the sign of a block by its lines, after a number of events.
func (l *lines) look(block Block, events int) Sign {
	if !block.IsEvent {
		return l.lookAtPadding(block.Text, events)
	}
	shape, hasOdd, hasNamedID := formOf(block.Text)
	isOdd := hasOdd && !l.isUsual(oddLine, events) || hasNamedID && !l.isUsual(namedIDLine, events)
	l.pending[oddLine] = l.pending[oddLine] || hasOdd
	l.pending[namedIDLine] = hasNamedID
	for kind, isPending := range l.pending {
		if isPending {
			l.usual[kind]++
		}
	}
	l.pending = [lineKinds]bool{}
	isKnown := l.knows(shape)
	switch {
	case isOdd:
		return OddLine
	case !isKnown && events >= minEvents:
		return Form
	}
	return None
}

func (l *lines) lookAtPadding(text []byte, events int) Sign {
	sign := None
	isBlank := true
	for line := range bytes.Lines(text) {
		line = bytes.TrimRight(line, "\r\n")
		kind := kindOf(line)
		if kind == blankLine {
			continue
		}
		isBlank = false
		sign = l.lookAtKind(sign, kind, events)
	}
	if isBlank {
		sign = l.lookAtKind(sign, blankLine, events)
	}
	return sign
}

// lookAtKind returns the sign of a block with a line of a kind between events, which may have had one before.
func (l *lines) lookAtKind(sign Sign, kind lineKind, events int) Sign {
	l.pending[kind] = true
	switch {
	case l.isUsual(kind, events):
		return sign
	case kind == oddLine:
		return OddLine
	case events >= minEvents && !l.accepted[kind]:
		l.doubtful[kind] = true
		if sign == None {
			return Padding
		}
	}
	return sign
}

// accept records that the padding so far has proved to be sound.
func (l *lines) accept() {
	for kind, isDoubtful := range l.doubtful {
		l.accepted[kind] = l.accepted[kind] || isDoubtful
	}
	l.doubtful = [lineKinds]bool{}
}

// isUsual reports whether lines of a kind have stood before the usual share of the events so far. Odd lines are usual only behind such an
// event.
func (l *lines) isUsual(kind lineKind, events int) bool {
	return l.usual[kind]*usualShare >= events && (kind != oddLine || events > 0)
}

// knows reports whether an earlier event had a form, and remembers it.
func (l *lines) knows(shape form) bool {
	for _, known := range l.forms[:l.formCount] {
		if known == shape {
			return true
		}
	}
	if l.formCount < maxForms {
		l.forms[l.formCount] = shape
		l.formCount++
	}
	return false
}

// formOf returns the form of an event. Comments, and fields that the format does not know before those that it knows, make no
// difference. HasOdd is set if the event has an odd line that does not follow data: data with a line break that a server has
// not escaped looks like one.
func formOf(event []byte) (shape form, hasOdd, hasNamedID bool) {
	n, hasData := 0, false
	for line := range bytes.Lines(event) {
		content := bytes.TrimRight(line, "\r\n")
		kind := kindOf(content)
		hasOdd = hasOdd || kind == oddLine && !hasData
		hasNamedID = hasNamedID || kind == namedIDLine
		hasData = hasData || kind == dataLine
		switch {
		case kind == blankLine, kind == commentLine, kind == customLine && n == 0:
			continue
		}
		value := byte(kind) << 1
		if endsInCRLF(line) {
			value |= 1
		}
		if n > 0 && shape[n-1] == value || n == maxFormLines {
			continue
		}
		shape[n] = value
		n++
	}
	return shape, hasOdd, hasNamedID
}

func endsInCRLF(text []byte) bool { return bytes.HasSuffix(text, []byte("\r\n")) }
