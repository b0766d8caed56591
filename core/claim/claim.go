// Package claim decides whether a call that must not run twice may run on this
// host.
//
// There are three kinds of such calls. A call without a key is run once by the
// host that took it. A call with a key that a host issued beforehand is run by
// that incarnation of that host alone. A call with the caller's own key is
// claimed in the claim stream of the log, and runs only after the host has read
// its own claim back and found every earlier claim of the key released.
//
// # Usage
//
//	machine := claim.New(issuer, claim.DefaultSettings())
//	commands = machine.Step(now, claim.BeginRequested{
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
//			// Answer the call.
//		case claim.ReadNow:
//			// End the pending long poll and read at once.
//		}
//	}
//	wake, ok := machine.NextWake()
//
// The rule that keeps a key from running twice is local to each reader: a claim
// is won only at the host that wrote it, only when that host has read the
// stream up to it, and only if every earlier claim of the key that it has read
// was released by its own claimer. A claimer releases only what it has not
// started and never will. Hosts that remember more than the writer can only
// refuse more. See docs/design/claims.md.
package claim

import "time"

const (
	// Window is how long a key is remembered at least, provided that the log
	// keeps its records that long. After it, a caller's own key counts as new,
	// and an issued key is never run again.
	Window = 24 * time.Hour
	// MaxKeyBytes bounds the length of a caller's own key.
	MaxKeyBytes = 255
	// MaxTeamBytes bounds the length of a team's name.
	MaxTeamBytes = 255
	// MaxBodyBytes bounds the answer body that an outcome keeps.
	MaxBodyBytes = 4096
)

// KeyRef names a key: keys of different teams never meet.
type KeyRef struct {
	Team string
	Key  string
}
