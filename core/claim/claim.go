// Package claim decides whether a call that must run at most once may run on
// this host.
//
// There are three kinds of such calls. A call without an idempotency key is run
// once, by the host that received it. A call with a key that a host issued
// beforehand is run only by the issuing instance on that host. A call with a
// key chosen by the caller is claimed in the claim stream of the log, and runs
// only after the host has read its own claim back and found that every earlier
// claim of the key was released.
//
// # Usage
//
//	machine := claim.New(issuer, claim.DefaultSettings())
//	commands = machine.Step(now, claim.DecisionRequested{
//		Call:        1,
//		Team:        "front-desk",
//		Key:         "hold-4711",
//		Fingerprint: claim.NewFingerprint("room-holds", "/v1/holds", body),
//		Deadline:    now.Add(2 * time.Second),
//	}, commands[:0])
//	for _, command := range commands {
//		switch command := command.(type) {
//		case claim.Append:
//			// Append command.Records to the claim stream in one call.
//		case claim.Decide:
//			// Deliver command.Decision to the call.
//		case claim.Issue:
//			// Return command.Key to the caller.
//		case claim.ReadNow:
//			// Cancel the pending long poll and read immediately.
//		}
//	}
//	wake, ok := machine.NextWake()
//
// Each host applies the rule that prevents a second run by itself: a claim is
// granted only by the host that wrote it, only when that host has read the
// stream up to the claim, and only if every earlier claim of the key that it
// has read was released by the host that wrote that claim. A host releases a
// claim only if it has not started the call and never will. A host that
// stores more records than the claiming host can only refuse more calls. See
// docs/design/claims.md.
package claim

import "time"

const (
	// Window is the minimum time for which a key is stored, provided that
	// the log retains its records that long. Afterwards a key chosen by the
	// caller counts as new, and an issued key is never run.
	Window = 24 * time.Hour
	// MaxKeyBytes is the maximum length of a key.
	MaxKeyBytes = 255
	// MaxTeamBytes is the maximum length of a team's name.
	MaxTeamBytes = 255
	// MaxBodyBytes is the maximum size of the answer body stored in an outcome.
	MaxBodyBytes = 4096
)

// KeyRef identifies a key of a team. Equal keys of different teams are
// independent.
type KeyRef struct {
	Team string
	Key  string
}
