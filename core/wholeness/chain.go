package wholeness

import "bytes"

// minChainChunk is the size in bytes that a chunk of a chain must have at least. Lines of a text that are short numbers
// lead to its end by chance.
const minChainChunk = 16

// lineEnd is the length of CRLF.
const lineEnd = int64(len("\r\n"))

// chain searches the data of one chunk, or a body by length, for chunks of another response. Each of them begins with CRLF and a
// size line, and the last one ends where the data end or continues behind them. A line within the data of the chain that may be
// a size begins another chain, or belongs to a list of numbers if it follows such a line. Only the state of the last chain is kept.
type chain struct {
	// start is the offset of the chain's first size line, and end that of the end of its last chunk. Both are zero if there
	// is no chain.
	start, end int64
	// joinedAt is the offset of the data of the last chunk that a size line has joined to another one, and joinedTo the
	// start of its chain, of which a chunk before has minChainChunk bytes.
	joinedAt, joinedTo int64
	// sizeEnd is the offset after the last line that may be a size.
	sizeEnd int64
	// isLong is set if one of its chunks has minChainChunk bytes.
	isLong bool

	// line is what the current line has brought, of which the offset is lineStart.
	line      sizeLine
	lineStart int64
	size      int64
	digits    int
}

// sizeLine is how much of a size line between two line ends has been seen.
type sizeLine int

// The parts of a size line.
const (
	noSizeLine sizeLine = iota
	returnBefore
	sizeDigits
	sizeExtension
	returnAfter
)

// begin begins the data of a chunk, which follow the end of a line.
func (c *chain) begin(offset int64) {
	*c = chain{}
	c.beginLine(offset)
}

func (c *chain) beginLine(offset int64) {
	c.line = sizeDigits
	c.lineStart = offset
	c.size = 0
	c.digits = 0
}

// scan takes the next bytes of the data, at an offset.
func (c *chain) scan(p []byte, offset int64) {
	for i := 0; i < len(p); i++ {
		if c.line == noSizeLine || c.line == sizeExtension {
			n := bytes.IndexByte(p[i:], '\r')
			if n < 0 {
				return
			}
			i += n
		}
		c.takeByte(p[i], offset+int64(i))
	}
}

func (c *chain) takeByte(b byte, offset int64) {
	isAfterReturn := c.line == returnBefore || c.line == returnAfter
	switch {
	case b == '\n' && c.line == returnAfter:
		c.add(offset + 1)
		c.beginLine(offset + 1)
	case b == '\n' && c.line == returnBefore:
		c.beginLine(offset + 1)
	case b == '\r' && c.digits > 0 && !isAfterReturn && c.line != noSizeLine:
		c.line = returnAfter
	case b == '\r':
		c.line = returnBefore
	case c.line == sizeDigits && hexValue(b) >= 0 && c.digits < maxSizeDigits:
		c.size = c.size<<4 | hexValue(b)
		c.digits++
	case c.line == sizeDigits && c.digits > 0 && b == ';':
		c.line = sizeExtension
	default:
		c.line = noSizeLine
	}
}

// add adds the chunk of the current size line, of which the data begin at an offset.
func (c *chain) add(dataStart int64) {
	isJoined := c.end > 0 && c.end+lineEnd == c.lineStart
	if isJoined && c.isLong {
		c.joinedAt, c.joinedTo = dataStart, c.start
	}
	// A size line does not follow another one, as the last chunk alone is empty.
	isNumber := !isJoined && c.lineStart == c.sizeEnd && c.sizeEnd > 0
	c.sizeEnd = dataStart
	switch {
	case c.size == 0 || isNumber:
		c.start, c.end, c.isLong = 0, 0, false
		return
	case !isJoined:
		c.start, c.isLong = c.lineStart, false
	}
	c.end = dataStart + c.size
	c.isLong = c.isLong || c.size >= minChainChunk
}

// endsAt reports whether the last chunk of a chain ends at an offset.
func (c *chain) endsAt(offset int64) bool { return c.end == offset && c.isLong }

// mayGoOnAt reports whether the next size line of a chain may end at or behind an offset, up to which all bytes were scanned.
func (c *chain) mayGoOnAt(offset int64) bool {
	return c.isLong && (c.end+lineEnd > offset || c.line != noSizeLine && c.lineStart == c.end+lineEnd)
}

// goesOn reports whether bytes at an offset, up to which all bytes were scanned, end the next size line of a chain that begins
// before.
func (c *chain) goesOn(following []byte, offset int64) bool {
	if !c.mayGoOnAt(offset) {
		return false
	}
	next := *c
	for i := range following {
		next.scan(following[i:i+1], offset+int64(i))
		if next.joinedAt > offset {
			return next.joinedTo == c.start
		}
	}
	return false
}
