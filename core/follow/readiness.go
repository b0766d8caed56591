package follow

import "time"

// Reason says why a host is not ready.
type Reason string

// The reasons. ReasonNone stands for a host that is ready.
const (
	ReasonNone Reason = ""
	// ReasonStarting says that neither the log nor enough peers were heard.
	ReasonStarting Reason = "starting: configuration was not compared with the log or with peers yet"
	// ReasonNoRecord says that no configuration record was ever read.
	ReasonNoRecord Reason = "no configuration record was ever read"
	// ReasonNewerVersion says that the stream goes on with a record of a newer format.
	ReasonNewerVersion Reason = "the stream goes on with a record of a newer format"
	// ReasonLagging says that a newer record is known of and cannot be had.
	ReasonLagging Reason = "behind a record that cannot be fetched"
	// ReasonNoContact says that neither the log nor a peer was heard.
	ReasonNoContact Reason = "heard from neither the log nor a peer"
	// ReasonUnconfirmed says that the log was not heard for too long, not even
	// through peers.
	ReasonUnconfirmed Reason = "no word from the log, not even through peers"
)

// Readiness returns ReasonNone if the host may serve by its state at the given
// time, and otherwise the reason.
func (f *Follower) Readiness(now time.Time) Reason {
	bound := f.settings.MaxLag
	switch {
	case !f.started:
		return ReasonStarting
	case f.state.NextOffset() == 0:
		return ReasonNoRecord
	case f.state.BlockedBy() != nil && now.Sub(f.blockedAt) > bound:
		return ReasonNewerVersion
	case f.behind() && now.Sub(f.peer.headSince) > bound:
		return ReasonLagging
	case f.hadPeers && now.Sub(f.contactAt) > bound:
		return ReasonNoContact
	case now.Sub(latest(f.confirmedAt, f.startedAt)) > f.settings.MaxConfirmationAge:
		return ReasonUnconfirmed
	}
	return ReasonNone
}

// checkStarted ends the start once the state was compared with the log or,
// while that is down, with peers. A host that starts among peers that followed
// another stream is not ready, as it can't know which is the right one.
func (f *Follower) checkStarted(now time.Time) {
	if f.started || f.behind() || !f.askedEnough() || len(f.peer.divergent) > 0 {
		return
	}
	confirmed := !f.confirmedAt.IsZero() && now.Sub(f.confirmedAt) <= f.settings.MaxLag
	fromPeers := f.log.everFailed && f.peer.answered && f.state.NextOffset() > 0
	f.started = confirmed || fromPeers
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
