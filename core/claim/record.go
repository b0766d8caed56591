package claim

import (
	"encoding/json"

	"cactuswell/core/record"
)

// claimBody is the body of a claim. The claim's own id is the envelope's.
type claimBody struct {
	Team        string      `json:"team"`
	Key         string      `json:"key"`
	Fingerprint Fingerprint `json:"fingerprint"`
}

// releaseBody is the body of a release. Only the claim's writer writes it, and
// only for a claim that was not started and never will be.
type releaseBody struct {
	Team  string `json:"team"`
	Key   string `json:"key"`
	Claim string `json:"claim"`
}

// outcomeBody is the body of an outcome. Claim is empty for a key that the
// writer issued and ran itself.
type outcomeBody struct {
	Team        string      `json:"team"`
	Key         string      `json:"key"`
	Claim       string      `json:"claim,omitempty"`
	Fingerprint Fingerprint `json:"fingerprint"`
	Outcome     Outcome     `json:"outcome"`
}

// keysUsedBody says, for the sequences from From on and before To, which keys a
// leaving host has used. It promises that the host will run none of the others.
type keysUsedBody struct {
	Issuer Issuer   `json:"issuer"`
	From   uint64   `json:"from"`
	To     uint64   `json:"to"`
	Used   []uint64 `json:"used,omitempty"`
	// Floor is at or before the offset of this record's first copy. A reader
	// that has not read the stream from there on may have missed claims of
	// these keys, so it must not use the record.
	Floor record.Offset `json:"floor"`
}

func encodeBody(kind record.Kind, id, host string, body any) ([]byte, error) {
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
