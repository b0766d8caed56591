package follow

import "time"

// Reason is the reason why a host is not ready.
type Reason string

// The reasons. ReasonNone means that the host is ready.
const (
	ReasonNone Reason = ""
	// ReasonStarting means that the state has not been compared with the log or
	// with enough peers.
	ReasonStarting Reason = "starting: configuration was not compared with the log or with peers yet"
	// ReasonNoRecord means that no record has been applied.
	ReasonNoRecord Reason = "no configuration record was ever read"
	// ReasonNewerVersion means that the next record has a newer format version.
	ReasonNewerVersion Reason = "the stream goes on with a record of a newer format"
	// ReasonLagging means that a newer record is known and cannot be fetched.
	ReasonLagging Reason = "behind a record that cannot be fetched"
	// ReasonNoContact means that neither the log nor a peer was in contact.
	ReasonNoContact Reason = "heard from neither the log nor a peer"
	// ReasonUnconfirmed means that the log has not confirmed the state for too
	// long, not even through peers.
	ReasonUnconfirmed Reason = "no word from the log, not even through peers"
)

// Readiness returns ReasonNone if the host is ready to serve at the given time,
// and otherwise the reason why not.
func (f *Follower) Readiness(now time.Time) Reason {
	maxLag := f.settings.MaxLag
	switch {
	case !f.started:
		return ReasonStarting
	case f.state.NextOffset() == 0:
		return ReasonNoRecord
	case f.state.BlockedBy() != nil && now.Sub(f.blockedAt) > maxLag:
		return ReasonNewerVersion
	case f.isBehind() && now.Sub(f.peers.laggingSince) > maxLag:
		return ReasonLagging
	case f.hadPeers && now.Sub(f.contactAt) > maxLag:
		return ReasonNoContact
	case now.Sub(laterOf(f.confirmedAt, f.startedAt)) > f.settings.MaxConfirmationAge:
		return ReasonUnconfirmed
	}
	return ReasonNone
}

// updateStarted sets started once the state was compared with the log or, while
// that is unavailable, with peers. A host that starts with a divergent peer does
// not become ready, because it cannot know which stream is the right one.
func (f *Follower) updateStarted(now time.Time) {
	if f.started || f.isBehind() || !f.queriedEnoughPeers() || len(f.peers.divergent) > 0 {
		return
	}
	confirmed := !f.confirmedAt.IsZero() && now.Sub(f.confirmedAt) <= f.settings.MaxLag
	fromPeers := f.log.anyReadFailed && f.peers.anyResponse && f.state.NextOffset() > 0
	f.started = confirmed || fromPeers
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
