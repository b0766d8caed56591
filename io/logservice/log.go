package logservice

import (
	"context"
	"time"

	"cactuswell/core/record"
)

// Log is the platform's append-only log.
type Log interface {
	// Append appends records to the stream and returns the offset of the first. A
	// *RefusedError means that nothing was appended. After an *UnavailableError
	// the records may have been appended.
	Append(ctx context.Context, stream record.Stream, records [][]byte) (record.Offset, error)
	// Read returns the records of the stream, starting at the given offset. If
	// there are none, it waits up to options.Wait for one. A *TruncatedError means
	// that the log no longer has the offset.
	Read(ctx context.Context, stream record.Stream, from record.Offset, options ReadOptions) (ReadResponse, error)
}

// ReadOptions bounds a read.
type ReadOptions struct {
	// Limit is the maximum number of records, or zero for the log's default.
	Limit int
	// Wait is how long the log may wait for a record before it responds.
	Wait time.Duration
}
