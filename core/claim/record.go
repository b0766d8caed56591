package claim

import (
	"encoding/json"

	"cactuswell/core/record"
)

// claimBody is the body of a claim record. The claim's ID is that of the
// envelope.
type claimBody struct {
	Team        string      `json:"team"`
	Key         string      `json:"key"`
	Fingerprint Fingerprint `json:"fingerprint"`
}

// releaseBody is the body of a release record. Only the host that wrote the
// claim writes it, and only if the call was not started and never will be.
type releaseBody struct {
	Team  string `json:"team"`
	Key   string `json:"key"`
	Claim string `json:"claim"`
}

// outcomeBody is the body of an outcome record. Claim is empty for a key that
// the host issued and ran itself.
type outcomeBody struct {
	Team        string      `json:"team"`
	Key         string      `json:"key"`
	Claim       string      `json:"claim,omitempty"`
	Fingerprint Fingerprint `json:"fingerprint"`
	Outcome     Outcome     `json:"outcome"`
}

// keysUsedBody is the body of a record that a host writes when it shuts down.
// Used lists the sequence numbers, from From to To-1, of the keys that the host
// has used. The host will not run any of the others.
type keysUsedBody struct {
	Issuer Issuer   `json:"issuer"`
	From   uint64   `json:"from"`
	To     uint64   `json:"to"`
	Used   []uint64 `json:"used,omitempty"`
	// ReadFromOffset is at or before the offset of the first copy of this record. A
	// reader that has not read the stream from there on may have missed claims
	// of these keys and must not use the record.
	ReadFromOffset record.Offset `json:"floor"`
}

func encodeRecord(kind record.Kind, id, host string, body any) ([]byte, error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return nil, &record.MalformedError{Reason: err.Error()}
	}
	return record.Encode(record.Envelope{
		Kind: kind,
		ID:   id,
		Host: host,
		Body: encoded,
	})
}

func decodeBody[T any](envelope record.Envelope) (T, error) {
	var body T
	if err := json.Unmarshal(envelope.Body, &body); err != nil {
		return body, &record.MalformedError{Reason: err.Error()}
	}
	return body, nil
}
