// Package logservice speaks to the platform's append-only log over HTTP.
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
// A status of 429 says that nothing was appended. A status of 503, a lost
// connection or a timeout leaves open whether an append took effect.
package logservice

import "cactuswell/core/record"

// AppendRequest is the body of an append. The records take consecutive offsets,
// all or none.
type AppendRequest struct {
	Records [][]byte `json:"records"`
}

// AppendResponse is the answer to an append.
type AppendResponse struct {
	FirstOffset record.Offset `json:"firstOffset"`
}

// StoredRecord is a record as the log holds it.
type StoredRecord struct {
	Offset record.Offset `json:"offset"`
	Data   []byte        `json:"data"`
}

// ReadResponse is the answer to a read. OldestOffset is the oldest offset that
// the log still keeps and NextOffset the one that the next append will take.
type ReadResponse struct {
	Records      []StoredRecord `json:"records"`
	OldestOffset record.Offset  `json:"oldestOffset"`
	NextOffset   record.Offset  `json:"nextOffset"`
}
