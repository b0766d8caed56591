package peer

import (
	"testing"
	"time"
)

// TestRelayKeepsToItsShareOfTheLink guards against relays that fill their own links.
func TestRelayKeepsToItsShareOfTheLink(t *testing.T) {
	const (
		linkMbps    = 10
		zoneHosts   = 23
		otherZones  = 3
		reportBytes = 1100
		duration    = 10 * time.Second
	)
	p := newPacer(linkMbps)
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	sent, reports := 0, 0
	var completeAt time.Time
	for now := start; now.Before(start.Add(duration)); now = now.Add(relayInterval) {
		datagrams := 0
		isComplete := now.Sub(completeAt) >= HeartbeatInterval
		if isComplete {
			completeAt = now
		}
		if isComplete || p.allowsReport(now) {
			datagrams += zoneHosts + otherZones
			reports++
		}
		for range otherZones {
			if p.allowsForward(now) {
				datagrams += zoneHosts
			}
		}
		p.recordSent(now, datagrams, reportBytes)
		sent += datagrams * (reportBytes + datagramOverhead)
	}
	share := float64(sent) * 8 / 1e6 / duration.Seconds() / linkMbps
	if share > relayLinkShare+0.05 {
		t.Errorf("the relay uses %.2f of its link, want at most %.2f", share, relayLinkShare)
	}
	if want := int(duration / HeartbeatInterval); reports < want {
		t.Errorf("the relay sent %d reports of its own, want at least %d", reports, want)
	}
}

// TestUnknownLinkIsNotPaced guards against hosts that relay nothing.
func TestUnknownLinkIsNotPaced(t *testing.T) {
	p := newPacer(0)
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	p.recordSent(now, 1000, 1000)
	if !p.allowsReport(now) || !p.allowsForward(now) {
		t.Error("a relay with an unknown link is paced")
	}
}
