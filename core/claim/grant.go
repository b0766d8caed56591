package claim

import "time"

// Grant is the permission to run one call once.
type Grant struct {
	// ID is unique among all grants.
	ID          string
	Ref         KeyRef
	Fingerprint Fingerprint
	// StartBefore is the time after which the call must no longer be started.
	// Zero means no limit.
	StartBefore time.Time
	kind        grantKind
	issuer      Issuer
	sequence    uint64
}

type grantKind int

const (
	// grantOnce is the grant of a call without a key.
	grantOnce grantKind = iota
	// grantIssued is the grant of a call with a key that this host issued.
	grantIssued
	// grantClaimed is the grant of a call whose claim was read back.
	grantClaimed
)
