package lease

import (
	"encoding/json"
	"fmt"
	"time"

	"cactuswell/core/record"
)

// maxDuration bounds the duration that a record may name, so that a wrong one
// can't block a pool for long.
const maxDuration = 10 * time.Minute

// Claim is the body of a lease record.
type Claim struct {
	Pool string `json:"pool"`
	// Holder and Incarnation name one life of a host.
	Holder      string `json:"holder"`
	Incarnation uint64 `json:"incarnation"`
	// AsOf is the next offset of the claimant when it wrote the record. The
	// claim is accepted if the pool has no record from there up to its own.
	AsOf record.Offset `json:"asOf"`
	// DurationMs is how long the lease lasts.
	DurationMs int64 `json:"durationMs"`
	// Renewal says that the claimant held the lease when it wrote the record.
	Renewal bool `json:"renewal,omitempty"`
}

// InvalidError says what is wrong with a lease record.
type InvalidError struct {
	Reason string
}

// Error describes the fault.
func (e *InvalidError) Error() string { return "invalid lease record: " + e.Reason }

// LapsedError says that the host may give no order because it has no lease.
type LapsedError struct {
	Pool string
}

// Error names the pool.
func (e *LapsedError) Error() string {
	return fmt.Sprintf("this host has no valid lease of pool %q", e.Pool)
}

// WaitingError says that orders of earlier holders may still take effect at an
// endpoint that does not check fencing numbers.
type WaitingError struct {
	Pool string
	Left time.Duration
}

// Error names the pool and the time left.
func (e *WaitingError) Error() string {
	return fmt.Sprintf("orders of an earlier holder of pool %q may take effect for another %v", e.Pool, e.Left)
}

func (c Claim) duration() time.Duration {
	return time.Duration(c.DurationMs) * time.Millisecond
}

// Encode returns the claim's record. The error is a *record.MalformedError.
func (c Claim) Encode(id string, writtenAt time.Time) ([]byte, error) {
	body, err := json.Marshal(c)
	if err != nil {
		return nil, &record.MalformedError{Reason: err.Error()}
	}
	return record.Encode(record.Envelope{
		Kind:        record.KindLease,
		ID:          id,
		Host:        c.Holder,
		WrittenAtMs: writtenAt.UnixMilli(),
		Body:        body,
	})
}

// decode returns the claim in a record and the record's id.
func decode(data []byte) (Claim, string, error) {
	envelope, err := record.Decode(data)
	if err != nil {
		return Claim{}, "", err
	}
	if envelope.Kind != record.KindLease {
		return Claim{}, "", &InvalidError{Reason: "not a lease"}
	}
	var claim Claim
	if err := json.Unmarshal(envelope.Body, &claim); err != nil {
		return Claim{}, "", &InvalidError{Reason: err.Error()}
	}
	if claim.duration() <= 0 || claim.duration() > maxDuration {
		return Claim{}, "", &InvalidError{Reason: "duration"}
	}
	return claim, envelope.ID, nil
}
