package logservice

import (
	"context"
	"time"

	"cactuswell/core/record"
)

// Log is the platform's log as the rest of the system sees it.
type Log interface {
	// Append adds records to the end of stream and returns the offset of the
	// first. A *RefusedError says that nothing was appended; after an
	// *UnavailableError the records may have been appended.
	Append(ctx context.Context, stream record.Stream, records [][]byte) (record.Offset, error)
	// Read returns the records of stream from the given offset on. If there
	// are none it waits for options.Wait. A *TruncatedError says that the log
	// no longer keeps the offset.
	Read(ctx context.Context, stream record.Stream, from record.Offset, options ReadOptions) (ReadResponse, error)
}

// ReadOptions bounds a read.
type ReadOptions struct {
	// Limit is the largest number of records wanted, or zero for the log's own.
	Limit int
	// Wait is how long the log may hold the answer back until there is a
	// record.
	Wait time.Duration
}
