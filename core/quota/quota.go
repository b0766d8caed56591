// Package quota shares the rate of requests that an endpoint takes among the hosts that call
// it.
//
// # Usage
//
//	share := quota.New(now, perSecond, random.Float64())
//	view := quota.View{
//		Sent:   requestsOfAllHosts,
//		Part:   ownDemand / totalDemand,
//		Rivals: otherHosts,
//	}
//	if share.Allows(now, view) {
//		share.RecordSent(now)
//	}
//
// Hosts know of each other's requests only after some time, so that a count of all requests
// alone would let all hosts send at once whenever it falls below the limit. A host therefore
// earns its part of the rate as credit for one request, and may spend it while the count of all
// allows it. Credit that is not spent expires: otherwise many hosts would each save up a request.
// Hosts begin with different credit, so that many hosts with small parts take turns. Without
// credit a host may send one request at a time if there is room even for one of each other host.
//
// A Share reads no clock and is not safe for concurrent use.
package quota

import (
	"math"
	"time"
)

// Window is the time over which the requests of all hosts are counted.
const Window = 4 * time.Second

const (
	// minRate is the rate in requests a second at which hosts find out whether an endpoint
	// that takes nothing takes requests again.
	minRate = 0.1
	// creditTime and creditRequests define when credit expires: after creditTime and the time
	// of creditRequests at the whole rate. So many hosts have credit at any time, on average.
	creditTime     = 2 * time.Second
	creditRequests = 2
	// freeShare is the share of a window's requests up to which a host needs no credit, and
	// freeInterval the time between two such requests of a host, in which the other hosts
	// learn of the first.
	freeShare    = 0.5
	freeInterval = 200 * time.Millisecond
)

// View is what a host knows of the other hosts.
type View struct {
	// Sent is the number of requests of all hosts within Window.
	Sent int
	// Part is the part of the rate that is due to this host, from 0 to 1.
	Part float64
	// Rivals is the number of other hosts that may send a request that this host does not
	// know of yet.
	Rivals int
}

// Share is a host's share of the rate that an endpoint takes.
type Share struct {
	perSecond float64
	// credit is what the host has earned of a request by earnedAt, from 0 to 1. fullAt is when
	// it became 1.
	credit   float64
	earnedAt time.Time
	fullAt   time.Time
	sentAt   time.Time
}

// New returns a share of a rate of requests a second. The initial credit is at least 0 and less
// than 1, and differs among hosts.
func New(now time.Time, perSecond, credit float64) *Share {
	return &Share{
		perSecond: max(perSecond, minRate),
		credit:    credit,
		earnedAt:  now,
	}
}

// SetRate changes the rate.
func (s *Share) SetRate(perSecond float64) { s.perSecond = max(perSecond, minRate) }

// Allows reports whether the host may send a request now.
func (s *Share) Allows(now time.Time, view View) bool {
	s.earn(now, view.Part)
	limit := s.perSecond * Window.Seconds()
	if float64(view.Sent+view.Rivals+1) <= freeShare*limit && now.Sub(s.sentAt) >= freeInterval {
		return true
	}
	return s.credit >= 1 && float64(view.Sent) < limit
}

// RecordSent records a request.
func (s *Share) RecordSent(now time.Time) {
	s.sentAt = now
	if s.credit >= 1 {
		s.credit = 0
	}
}

// Wait returns the time after which the host has credit for a request, at its present part of
// the rate.
func (s *Share) Wait(now time.Time, part float64) time.Duration {
	s.earn(now, part)
	if s.credit >= 1 || part <= 0 {
		return 0
	}
	return seconds((1 - s.credit) / (s.perSecond * part))
}

// creditLifetime returns the time after which credit expires.
func (s *Share) creditLifetime() time.Duration {
	return creditTime + seconds(creditRequests/s.perSecond)
}

// earn brings the credit up to date.
func (s *Share) earn(now time.Time, part float64) {
	elapsed := now.Sub(s.earnedAt)
	s.earnedAt = now
	lifetime := s.creditLifetime()
	if s.credit >= 1 {
		elapsed = now.Sub(s.fullAt) - lifetime
		if elapsed < 0 {
			return
		}
		s.credit = 0
	}
	rate := s.perSecond * part
	if rate <= 0 {
		return
	}
	// Credit is earned, expires, and is earned again.
	period := seconds(1/rate) + lifetime
	earned := seconds(s.credit/rate) + elapsed
	earned %= period
	if earned < seconds(1/rate) {
		s.credit = earned.Seconds() * rate
		return
	}
	s.credit = 1
	s.fullAt = now.Add(seconds(1/rate) - earned)
}

// seconds returns a number of seconds as a duration, bounded by what a duration can hold.
func seconds(s float64) time.Duration {
	return time.Duration(min(s*float64(time.Second), math.MaxInt64/4))
}
