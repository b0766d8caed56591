// Package logservice implements an HTTP client of the platform's append-only log.
//
// # Usage
//
//	client := logservice.New("http://127.0.0.1:7001", httpClient)
//	first, err := client.Append(ctx, record.StreamClaims, records)
//	page, err := client.Read(ctx, record.StreamClaims, from, logservice.ReadOptions{
//		Limit: 500,
//		Wait:  10 * time.Second,
//	})
//
// The protocol, with JSON bodies:
//
//	POST /v1/streams/{stream}/records   AppendRequest -> AppendResponse
//	GET  /v1/streams/{stream}/records?from=N&limit=N&waitMs=N -> ReadResponse
//
// Status 429 means that nothing was appended. After status 503, a broken connection
// or a timeout, it is unknown whether an append took effect.
package logservice

import "cactuswell/core/record"

// AppendRequest is the body of an append. Either all records are appended, at
// consecutive offsets, or none.
type AppendRequest struct {
	Records [][]byte `json:"records"`
}

// AppendResponse is the response to an append.
type AppendResponse struct {
	FirstOffset record.Offset `json:"firstOffset"`
}

// StoredRecord is a record in the log with its offset.
type StoredRecord struct {
	Offset record.Offset `json:"offset"`
	Data   []byte        `json:"data"`
}

// ReadResponse is the response to a read. OldestOffset is the oldest offset that the
// log still has, and NextOffset is the offset of the next append.
type ReadResponse struct {
	Records      []StoredRecord `json:"records"`
	OldestOffset record.Offset  `json:"oldestOffset"`
	NextOffset   record.Offset  `json:"nextOffset"`
}
