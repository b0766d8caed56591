package peer

import "time"

const (
	// relayLinkShare is the share of a host's link that a relay uses. The rest is for
	// the calls of its own callers.
	relayLinkShare = 0.25
	// maxRelayDebt is how far ahead of its share a relay may be before it drops
	// messages that it should forward.
	maxRelayDebt = 100 * time.Millisecond
	// datagramOverhead is the size of the headers of a datagram, in bytes.
	datagramOverhead = 42
)

// pacer limits what a relay sends to a share of its link. Datagrams beyond the link's
// bandwidth are dropped by the network, and delay the host's calls.
type pacer struct {
	// bytesPerSecond is zero if the link's bandwidth is not known; nothing is limited
	// then.
	bytesPerSecond float64
	// freeAt is when the share is used up to now.
	freeAt time.Time
}

func newPacer(linkMbps float64) pacer {
	return pacer{bytesPerSecond: relayLinkShare * linkMbps * 1e6 / 8}
}

// recordSent records datagrams of a size.
func (p *pacer) recordSent(now time.Time, datagrams, size int) {
	if p.bytesPerSecond == 0 {
		return
	}
	if p.freeAt.Before(now) {
		p.freeAt = now
	}
	seconds := float64(datagrams*(size+datagramOverhead)) / p.bytesPerSecond
	p.freeAt = p.freeAt.Add(time.Duration(seconds * float64(time.Second)))
}

// allowsReport reports whether the relay may send a report of changes. Complete reports
// are sent in any case, so that its zone does not fall silent.
func (p *pacer) allowsReport(now time.Time) bool { return !p.freeAt.After(now) }

// allowsForward reports whether the relay may forward a message. Messages are forwarded
// beyond the share for a short time, so that the relay's reports yield to them.
func (p *pacer) allowsForward(now time.Time) bool { return p.freeAt.Sub(now) <= maxRelayDebt }
