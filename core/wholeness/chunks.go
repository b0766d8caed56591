package wholeness

const (
	// maxChunkLine bounds the size line of a chunk in bytes, as the parser does.
	maxChunkLine = 4 << 10
	// maxSizeDigits bounds the digits of a chunk's size.
	maxSizeDigits = 15
)

// chunkPhase is the part of a body in chunks that the next byte belongs to.
type chunkPhase int

// The phases.
const (
	inSize chunkPhase = iota
	inData
	afterData
	inTrailer
	chunksEnded
	chunksMalformed
)

// chunks follows the framing of a body in chunks.
type chunks struct {
	phase chunkPhase
	// remaining is the number of bytes that the data of the current chunk lacks.
	remaining int64
	// hasData is set if a chunk had data, and lacksEnd if other bytes follow the data of the last one.
	hasData  bool
	lacksEnd bool

	// size and digits are what the current size line has brought.
	size        int64
	digits      int
	inExtension bool
	// hasColon is set if the current line of the trailer has a colon.
	hasColon bool
	// lineBytes is the length of the current line so far, and last its last byte.
	lineBytes int
	last      byte
	// trailerBytes is the length of the trailer so far.
	trailerBytes int
}

// step takes some of the next bytes, at least one, and returns how many.
func (c *chunks) step(p []byte) int {
	if c.phase != inData {
		c.takeByte(p[0])
		return 1
	}
	n := int(min(int64(len(p)), c.remaining))
	c.remaining -= int64(n)
	if c.remaining == 0 {
		c.phase = afterData
	}
	return n
}

// inLine returns the length of the current size line or line of the trailer so far, or zero.
func (c *chunks) inLine() int {
	if c.phase == inSize || c.phase == inTrailer {
		return c.lineBytes
	}
	return 0
}

func (c *chunks) takeByte(b byte) {
	switch c.phase {
	case inSize:
		c.takeSize(b)
	case afterData:
		c.takeEndOfData(b)
	case inTrailer:
		c.takeTrailer(b)
	}
	c.last = b
}

// begin begins a line.
func (c *chunks) begin(phase chunkPhase) {
	c.phase = phase
	c.lineBytes = 0
	c.size = 0
	c.digits = 0
	c.inExtension = false
	c.hasColon = false
}

func (c *chunks) takeSize(b byte) {
	isAfterReturn := c.lineBytes > 0 && c.last == '\r'
	c.lineBytes++
	switch {
	case b == '\n' && isAfterReturn && c.digits > 0:
		c.endSize()
	case b == '\n' || isAfterReturn || c.lineBytes > maxChunkLine:
		c.phase = chunksMalformed
	case b == '\r' || c.inExtension:
	case c.digits > 0 && (b == ';' || isBlank(b)):
		c.inExtension = true
	case hexValue(b) < 0 || c.digits == maxSizeDigits:
		c.phase = chunksMalformed
	default:
		c.size = c.size<<4 | hexValue(b)
		c.digits++
	}
}

func (c *chunks) endSize() {
	c.remaining = c.size
	if c.remaining == 0 {
		c.begin(inTrailer)
		return
	}
	c.hasData = true
	c.begin(inData)
}

func (c *chunks) takeEndOfData(b byte) {
	c.lineBytes++
	switch {
	case c.lineBytes == 1 && b == '\r':
	case c.lineBytes == 2 && b == '\n':
		c.begin(inSize)
	default:
		c.phase = chunksMalformed
		c.lacksEnd = true
	}
}

func (c *chunks) takeTrailer(b byte) {
	isBlankLine := c.lineBytes == 0 || c.lineBytes == 1 && c.last == '\r'
	c.lineBytes++
	c.trailerBytes++
	switch {
	case b == '\n' && isBlankLine:
		c.phase = chunksEnded
	case b == '\n' && c.hasColon:
		c.begin(inTrailer)
	case b == '\n' || c.trailerBytes > maxHeadBytes:
		c.phase = chunksMalformed
	case b == ':':
		c.hasColon = true
	}
}

func isBlank(b byte) bool { return b == ' ' || b == '\t' }

// hexValue returns the value of a hexadecimal digit, or -1.
func hexValue(b byte) int64 {
	switch {
	case '0' <= b && b <= '9':
		return int64(b - '0')
	case 'a' <= b && b <= 'f':
		return int64(b-'a') + 10
	case 'A' <= b && b <= 'F':
		return int64(b-'A') + 10
	}
	return -1
}
