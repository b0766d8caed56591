package upstream

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"time"

	"cactuswell/core/wholeness"
)

const (
	// followingTimeout bounds the wait for bytes after a body in which another response may have begun.
	followingTimeout = 20 * time.Millisecond
	// lookTimeout bounds the time to read those that have arrived.
	lookTimeout = time.Millisecond
)

// UnfinishedBodyError reports that a body was taken for whole though it was not watched or not read to its end.
type UnfinishedBodyError struct{}

// Error returns a message.
func (*UnfinishedBodyError) Error() string { return "the body of the response was not read to its end" }

// bodyWatch passes the bytes of a response's body to the decision whether it is whole, as they are on the connection. The
// reader of the connection may have read more than the body.
type bodyWatch struct {
	body   *wholeness.Body
	reader *bufio.Reader
	// pending holds the bytes that have arrived and may not belong to the body.
	pending  []byte
	hasEnded bool
	// endsWithConn is set if the body ends with the connection.
	endsWithConn bool
}

// arrive takes bytes that the reader gets. Those of a read that is larger than the reader's buffer are all of the body.
func (w *bodyWatch) arrive(p []byte, isDirect bool) {
	if isDirect {
		w.observe(len(w.pending))
		w.body.Observe(p)
		return
	}
	w.pending = append(w.pending, p...)
}

// observe passes on the first n pending bytes.
func (w *bodyWatch) observe(n int) {
	w.body.Observe(w.pending[:n])
	w.pending = w.pending[:copy(w.pending, w.pending[n:])]
}

// watchedBody is a body whose bytes are watched.
type watchedBody struct {
	io.ReadCloser
	watch *bodyWatch
}

// Read implements io.Reader.
func (b *watchedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.watch.observe(len(b.watch.pending) - b.watch.reader.Buffered())
	if errors.Is(err, io.EOF) {
		b.watch.hasEnded = true
	}
	return n, err
}

// WatchBody begins to watch the body of the response that was read last, of which nothing must have been read. The
// settings name the request; their framing is that of the response.
func (c *Conn) WatchBody(response *http.Response, settings wholeness.Settings) {
	settings.Framing = wholeness.ToEnd
	switch {
	case len(response.TransferEncoding) > 0:
		settings.Framing = wholeness.Chunked
	case response.ContentLength >= 0:
		settings.Framing = wholeness.ByLength
	}
	settings.IsSent = c.wasTakenFor
	buffered, _ := c.reader.Peek(c.reader.Buffered())
	c.head.watch = &bodyWatch{
		body:         wholeness.NewBody(settings),
		reader:       c.reader,
		pending:      append(c.head.takePending(), buffered...),
		endsWithConn: settings.Framing == wholeness.ToEnd,
	}
	c.connectionEnd = ConnectionEnd{}
	response.Body = &watchedBody{
		ReadCloser: response.Body,
		watch:      c.head.watch,
	}
}

// SplicedBody returns a *wholeness.SplicedError if the bytes of the watched body so far show that another response begins
// within it.
func (c *Conn) SplicedBody() error {
	if c.head.watch == nil {
		return &UnfinishedBodyError{}
	}
	return c.head.watch.body.Spliced()
}

// IsDoubtful reports whether the first bytes of the watched body may end with those of another response, as its framing is damaged.
func (c *Conn) IsDoubtful(bytes int64) bool {
	return c.head.watch != nil && c.head.watch.body.IsDoubtful(bytes)
}

// EndBody returns the proof that the watched body, which has been read to its end, is whole and of one response. The
// error is a *wholeness.SplicedError, an *UnfinishedBodyError or a *CutError.
func (c *Conn) EndBody() (wholeness.Whole, error) {
	watch := c.head.watch
	if watch == nil || !watch.hasEnded {
		return nil, &UnfinishedBodyError{}
	}
	if watch.endsWithConn && errors.Is(c.head.err, io.EOF) {
		if err := c.endConnection(); err != nil {
			return nil, err
		}
	}
	if c.reader.Buffered() == 0 && watch.body.NeedsFollowing() {
		limit := lookTimeout
		if watch.body.AwaitsFollowing() {
			limit = followingTimeout
		}
		c.awaitFollowing(limit)
	}
	following, _ := c.reader.Peek(c.reader.Buffered())
	return watch.body.End(following)
}

// awaitFollowing waits for bytes that follow a body.
func (c *Conn) awaitFollowing(timeout time.Duration) {
	defer c.input.shorten(timeout)()
	// Without a byte the decision is made without it.
	_, _ = c.reader.Peek(1)
}
