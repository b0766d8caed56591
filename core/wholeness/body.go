package wholeness

import "slices"

// maxOpen bounds the responses within a body that are followed at the same time. Beyond it the oldest and the newest are.
const maxOpen = 16

// Body watches the bytes of one body. It is not safe for concurrent use.
type Body struct {
	settings Settings
	// offset is the number of bytes so far.
	offset      int64
	statusLines statusLines
	// framing follows the chunks of the body, if it has any, and chain those within a chunk or a body by length.
	framing chunks
	chain   chain
	// decoded is the number of bytes of data so far, without the framing, and lastChunk that before the last chunk.
	decoded, lastChunk int64
	// dataEnd is the offset behind the last byte of data.
	dataEnd int64
	// firstWithin is the number of bytes of data before the first status line within the last chunk, if it is more than lastChunk.
	firstWithin int64
	// found is what shows already that the body is spliced.
	found *SplicedError

	// open are the responses within the body that have not ended, other than those until the end of the connection. Of these
	// unending is the one with the most evidence.
	open     []*response
	unending *response
	// ended is the response within the body that has ended last, and of several the one with the most evidence. The first one
	// that has ended began at firstEnded.
	ended      *response
	firstEnded int64
	// broken is the first response of which a complete header is followed by bytes that are not its body.
	broken *response
	// own is the first response that has ended and names the request of the body.
	own *response
	// noEvent is the first response of which the header is complete and holds a field that events do not have.
	noEvent *response
}

// NewBody returns a Body that has seen no bytes.
func NewBody(settings Settings) *Body {
	b := &Body{settings: settings}
	if settings.Framing == ByLength {
		b.chain.begin(0)
	}
	return b
}

// Observe takes the next bytes of the body as they arrived, with the sizes of chunks. It must get those of the
// body only.
func (b *Body) Observe(raw []byte) {
	from := 0
	for search := 0; ; {
		line, after := b.statusLines.next(raw, search)
		if after < 0 {
			break
		}
		b.take(raw[from:after])
		b.begin(line)
		from, search = after, after+1
	}
	b.take(raw[from:])
	b.statusLines.keep(raw)
}

// take takes bytes in which no response begins.
func (b *Body) take(p []byte) {
	switch b.settings.Framing {
	case ByLength:
		b.chain.scan(p, b.offset)
	case Chunked:
		b.followChunks(p)
	}
	for _, r := range b.open {
		r.take(p, b.offset, &b.settings)
	}
	b.open = slices.DeleteFunc(b.open, b.settle)
	b.offset += int64(len(p))
}

// followChunks follows the framing of a body in chunks.
func (b *Body) followChunks(p []byte) {
	for offset := b.offset; len(p) > 0 && b.framing.phase < chunksEnded; {
		inDataBefore := b.framing.phase == inData
		n := b.framing.step(p)
		offset += int64(n)
		switch inDataNow := b.framing.phase == inData; {
		case inDataBefore:
			b.decoded += int64(n)
			b.dataEnd = offset
			b.chain.scan(p[:n], offset-int64(n))
			if !inDataNow && b.found == nil && b.chain.endsAt(offset) {
				b.found = &SplicedError{
					Offset: b.chain.start,
					Reason: ReasonChunksWithin,
				}
			}
		case inDataNow:
			b.lastChunk = b.decoded
			b.chain.begin(offset)
		}
		p = p[n:]
	}
}

// begin begins a response of which the status line begins before the current offset.
func (b *Body) begin(line startOfStatusLine) {
	start := b.offset - int64(statusLineStart)
	if b.settings.Framing == Chunked && b.framing.inLine() >= statusLineStart && b.found == nil {
		b.found = &SplicedError{
			Offset: start,
			Reason: ReasonInFraming,
		}
	}
	if b.firstWithin <= b.lastChunk && start < b.dataEnd {
		b.firstWithin = b.dataBefore(start)
	}
	r := newResponse(start, line)
	// A header in which another one begins is torn. No parser takes the two for one.
	if n := len(b.open); n > 0 && !b.open[n-1].hasHead {
		r.takeNames(b.open[n-1])
		b.open = b.open[:n-1]
	}
	if len(b.open) == maxOpen {
		b.open = slices.Delete(b.open, maxOpen/2, maxOpen/2+1)
	}
	b.open = append(b.open, r)
}

// settle records what a response has come to, and reports whether it need not be followed any more.
func (b *Body) settle(r *response) bool {
	if r.hasHead && r.hasNoEventField && (b.noEvent == nil || r.start < b.noEvent.start) {
		b.noEvent = r
	}
	switch r.phase {
	case malformed:
		if r.hasHead && (b.broken == nil || r.start < b.broken.start) {
			b.broken = r
		}
		return true
	case untilEnd:
		if b.unending == nil || b.outweighs(r, b.unending) {
			b.unending = r
		}
		return true
	case ended:
		if b.ended == nil || r.start < b.firstEnded {
			b.firstEnded = r.start
		}
		if r.namesRequest && (b.own == nil || r.start < b.own.start) {
			b.own = r
		}
		if b.ended == nil || r.end > b.ended.end || r.end == b.ended.end && b.outweighs(r, b.ended) {
			b.ended = r
		}
		return true
	}
	return false
}

// outweighs reports whether one response is stronger evidence than another that the body is spliced.
func (b *Body) outweighs(r, other *response) bool {
	if weight, otherWeight := b.weight(r), b.weight(other); weight != otherWeight {
		return weight > otherWeight
	}
	return r.start < other.start
}

func (b *Body) weight(r *response) int {
	switch {
	case r.namesRequest:
		return 2
	case b.isProofAtEnd(r):
		return 1
	}
	return 0
}

// isProofAtEnd reports whether a response cannot be a quotation if it ends with the body.
func (b *Body) isProofAtEnd(r *response) bool {
	switch b.settings.Framing {
	case Chunked:
		// The end of a body in chunks follows each quotation, and can only be taken for that of an empty one.
		return r.namesRequest || r.hasData()
	case ToEnd:
		return r.namesAny || r.hasMark
	}
	return r.namesRequest
}

// Spliced returns a *SplicedError as soon as the bytes of a stream of events show, before its end, that a response begins
// within it. It returns nil while they do not. In an event that quotes a response each line has the name of a field of events
// before it, so that the header of a response with other fields is no quotation. Other bodies may quote one as it is.
func (b *Body) Spliced() error {
	switch {
	case b.found != nil:
		return b.found
	case b.noEvent != nil:
		return &SplicedError{
			Offset: b.noEvent.start,
			Reason: ReasonHeadWithin,
		}
	}
	return nil
}

// IsDoubtful reports whether the data up to an offset, without the framing, may end with bytes of another response, as the chunk
// that holds the last of them has no sound end: it is cut off, or the framing is damaged in or after it.
func (b *Body) IsDoubtful(end int64) bool {
	lacksEnd := b.framing.lacksEnd || b.framing.phase == inData || b.framing.phase == afterData
	switch {
	case !lacksEnd && b.framing.phase != chunksMalformed || end <= b.lastChunk:
		return false
	case b.firstWithin > b.lastChunk:
		return end > b.firstWithin
	}
	if n, ok := b.statusLines.endsInStatusLine(nil); ok {
		return end > b.dataBefore(b.offset-int64(n))
	}
	return lacksEnd || end < b.decoded
}

// dataBefore returns the number of bytes of data before an offset within the last chunk or after it.
func (b *Body) dataBefore(offset int64) int64 {
	return b.decoded - max(0, b.dataEnd-offset)
}

// NeedsFollowing reports whether the decision depends on the bytes that follow the body, so that those that are there
// must be read.
func (b *Body) NeedsFollowing() bool {
	if b.settings.Framing != ByLength {
		return false
	}
	_, endsInStatusLine := b.statusLines.endsInStatusLine(nil)
	return endsInStatusLine || len(b.open) > 0 || b.unending != nil || b.ended != nil || b.broken != nil || b.chain.mayGoOnAt(b.offset)
}

// AwaitsFollowing reports whether it is worth waiting a moment for the bytes that follow the body: a response has begun
// within it and not ended.
func (b *Body) AwaitsFollowing() bool {
	if b.settings.Framing != ByLength {
		return false
	}
	n, _ := b.statusLines.endsInStatusLine(nil)
	return n >= len("HTTP/") || len(b.open) > 0 || b.unending != nil
}

// End returns the proof that the body, which has ended according to its framing, is whole. Following holds the bytes that
// have arrived after it. The error is a *SplicedError.
func (b *Body) End(following []byte) (Whole, error) {
	if err := b.decide(following); err != nil {
		return nil, err
	}
	return whole{}, nil
}

func (b *Body) decide(following []byte) *SplicedError {
	if b.ended != nil && b.ended.end == b.offset && b.isProofAtEnd(b.ended) {
		return &SplicedError{
			Offset: b.ended.start,
			Reason: ReasonEndsTogether,
		}
	}
	if err := b.decideUnended(); err != nil {
		return err
	}
	if b.broken != nil && b.broken.namesRequest {
		return &SplicedError{
			Offset: b.broken.start,
			Reason: ReasonNamesRequest,
		}
	}
	if b.settings.Framing == ToEnd && b.own != nil {
		return &SplicedError{
			Offset: b.own.start,
			Reason: ReasonNamesRequest,
		}
	}
	if b.found != nil || b.settings.Framing != ByLength || matchesStatusLine(following) {
		return b.found
	}
	return b.decideFollowed(following)
}

// decideUnended decides by the headers of the responses that have not ended.
func (b *Body) decideUnended() *SplicedError {
	for _, r := range b.unended() {
		r = r.clone()
		r.takeUnendedLine(&b.settings)
		switch {
		case b.settings.Framing == ToEnd && (r.namesAny || r.hasMark):
			return &SplicedError{
				Offset: r.start,
				Reason: ReasonEndsTogether,
			}
		case r.namesRequest:
			return &SplicedError{
				Offset: r.start,
				Reason: ReasonNamesRequest,
			}
		}
	}
	return nil
}

// decideFollowed decides by bytes that follow the body and are no response.
func (b *Body) decideFollowed(following []byte) *SplicedError {
	candidates := b.unended()
	for i, r := range candidates {
		candidates[i] = r.clone()
		candidates[i].take(following, b.offset, &b.settings)
	}
	// The status line of another one may begin in the body and end in what follows it.
	if line, after := b.statusLines.next(following, 0); after >= 0 && after < statusLineStart {
		r := newResponse(b.offset+int64(after-statusLineStart), line)
		r.take(following[after:], b.offset+int64(after), &b.settings)
		candidates = append(candidates, r)
	}
	for _, r := range candidates {
		if r.phase != malformed || r.hasHead {
			return &SplicedError{
				Offset: r.start,
				Reason: ReasonRunsOn,
			}
		}
	}
	if n, ok := b.statusLines.endsInStatusLine(following); ok {
		return &SplicedError{
			Offset: b.offset - int64(n),
			Reason: ReasonRunsOn,
		}
	}
	switch {
	case b.ended != nil:
		return &SplicedError{
			Offset: b.firstEnded,
			Reason: ReasonRestFollows,
		}
	case b.broken != nil:
		return &SplicedError{
			Offset: b.broken.start,
			Reason: ReasonRestFollows,
		}
	}
	if b.chain.goesOn(following, b.offset) {
		return &SplicedError{
			Offset: b.chain.start,
			Reason: ReasonChunksRunOn,
		}
	}
	return nil
}

// unended returns the responses that have not ended with the body, in the order of their beginnings.
func (b *Body) unended() []*response {
	unended := slices.Clone(b.open)
	if b.unending != nil {
		unended = append(unended, b.unending)
	}
	slices.SortFunc(unended, func(r, other *response) int { return int(r.start - other.start) })
	return unended
}
