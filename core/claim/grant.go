package claim

import "time"

// Grant identifies the right to run one call once.
type Grant struct {
	// ID is unique to the grant.
	ID          string
	Ref         KeyRef
	Fingerprint Fingerprint
	// StartBefore is the time from which on the grant must not be used.
	StartBefore time.Time
	kind        grantKind
	issuer      Issuer
	sequence    uint64
}

type grantKind int

const (
	// grantOnce is a call without a key.
	grantOnce grantKind = iota
	grantIssued
	grantClaimed
)
