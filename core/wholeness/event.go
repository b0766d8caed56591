package wholeness

import "bytes"

// CheckEvent returns a *SplicedError if an event of a stream, with the blank line that ends it, is that of several responses:
//
//   - It has several IDs.
//   - It has fields of a header, which end in CRLF, without a field of events or after one that ends in a line feed alone. Events
//     may have fields of their own before the usual ones.
//   - Its first line ends in a line feed alone and its blank line in CRLF, like that of a header.
//
// The offset is that in the event.
func CheckEvent(event []byte) error {
	hasID, hasField, hasLineFeed := false, false, false
	offset, header := int64(0), int64(-1)
	for line := range bytes.Lines(event) {
		name, _, ok := bytes.Cut(line, []byte(":"))
		endsInCRLF := bytes.HasSuffix(line, []byte("\r\n"))
		isField := ok && len(name) > 0
		isID := isField && string(name) == "id"
		isHeader := isField && endsInCRLF && isToken(name) && !isEventField(name)
		switch {
		case isID && hasID, isHeader && hasLineFeed, endsInCRLF && len(line) == len("\r\n") && hasLineFeed:
			return eventOfSeveral(offset)
		case isHeader && header < 0:
			header = offset
		}
		hasID = hasID || isID
		hasField = hasField || isField && isEventField(name)
		hasLineFeed = hasLineFeed || isField && isEventField(name) && !endsInCRLF
		offset += int64(len(line))
	}
	if header >= 0 && !hasField {
		return eventOfSeveral(header)
	}
	return nil
}

func eventOfSeveral(offset int64) error {
	return &SplicedError{
		Offset: offset,
		Reason: ReasonEventOfSeveral,
	}
}
