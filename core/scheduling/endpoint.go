package scheduling

import (
	"slices"
	"time"

	"cactuswell/core/directory"
	"cactuswell/core/speed"
	"cactuswell/core/warmup"
)

const (
	// slownessWeight is the weight of a new observation in the smoothed slowness of
	// an endpoint.
	slownessWeight = 0.25
	// minSlowness and maxSlowness bound the slowness of an endpoint.
	minSlowness = 0.7
	maxSlowness = 20
	// maxReportedLoadAge is the age up to which an endpoint's reported load is
	// used. A report is already delayed by a few hundred milliseconds.
	maxReportedLoadAge = 500 * time.Millisecond
	// cacheShare is the share of an engine's memory that is expected to cache
	// prompts; the rest holds the running requests.
	cacheShare = 0.6
)

// endpoint is the state of an endpoint as known to this host.
type endpoint struct {
	entry   directory.Entry
	key     Key
	keyHash uint64
	// idHash is the hash of the ID. It gives all hosts the same order of endpoints.
	idHash uint64
	// leaving reports whether the endpoint accepts no new calls.
	leaving bool
	// pending holds this host's calls that wait for their first event, oldest
	// first; running counts all of this host's calls in flight there.
	pending          []*call
	running          int
	latencySensitive int
	// promptTokens is the size of the prompts of this host's calls in flight there.
	promptTokens int
	// progressAt is when the engine last finished a prefill, or began one while it had no
	// other, as far as this host knows.
	progressAt time.Time
	// peerLoads holds the load of each peer at this endpoint.
	peerLoads       map[string]loadReport
	reported        ReportedLoad
	reportedAt      time.Time
	runningAtReport int
	// slowness is the factor on the times of the performance model.
	slowness float64
	// speed is the estimate of all hosts of the endpoint's speed among those of its service.
	speed  *speed.Endpoint
	health health
	// ramp bounds the load while the endpoint has just appeared or recovered, since rampBegunAt.
	// It is nil at other times.
	ramp        *warmup.Ramp
	rampBegunAt time.Time
	cache       *cacheIndex
	// fullUntil is until when the endpoint is avoided because it declined a call.
	fullUntil time.Time
	// quietUntil is until when the endpoint asked not to be sent calls.
	quietUntil time.Time
	// limit is the rate that the endpoint takes from all hosts together.
	limit limitState
	// toldLeaving is set if the endpoint told this host that it is leaving, and
	// noticesLeft is the number of reports to other hosts that still list what the
	// endpoint has told, because it is new.
	toldLeaving bool
	noticesLeft int
	// coldUntil is until when the endpoint is slow after its start.
	coldUntil time.Time
	// reportsLeft is the number of reports to other hosts that still list the load,
	// because it has changed.
	reportsLeft int
	// lastSent is the load last sent to other hosts.
	lastSent loadReport
	// partitionRank is the endpoint's rank for the partitions. The latency
	// partition consists of the lowest ranks.
	partitionRank int
}

// loadReport is a load that was received or sent.
type loadReport struct {
	PeerLoad
	// includesSelf reports whether the load includes this host's own.
	includesSelf bool
}

func newEndpoint(now time.Time, entry directory.Entry, prefixes *prefixBudget) *endpoint {
	key := keyOf(entry)
	return &endpoint{
		entry:     entry,
		key:       key,
		keyHash:   key.Hash(),
		idHash:    hashID(entry.ID),
		leaving:   entry.Leaving,
		coldUntil: now.Add(entry.ColdFor),
		peerLoads: make(map[string]loadReport),
		slowness:  1,
		cache:     newCacheIndex(prefixes),
	}
}

// prefillBacklog returns the remaining engine time of the prefills that all hosts have
// sent. The engine is assumed to be at work on one of them since the last progress.
func (e *endpoint) prefillBacklog(now time.Time) time.Duration {
	return max(e.pendingPrefill(now)-now.Sub(e.progressAt), 0)
}

// pendingPrefill returns the whole prefill time of the calls of all hosts that have no
// first event yet.
func (e *endpoint) pendingPrefill(now time.Time) time.Duration {
	pending := e.ownPendingPrefill(now)
	for _, load := range e.peerLoads {
		pending += load.PendingPrefill
		if load.includesSelf {
			pending -= min(e.lastSent.PendingPrefill, load.PendingPrefill)
		}
	}
	return pending
}

// ownPendingPrefill is the part of pendingPrefill due to this host's calls. If the oldest
// of them is overdue, the endpoint is slower than estimated, which delays the calls
// behind it as well.
func (e *endpoint) ownPendingPrefill(now time.Time) time.Duration {
	if len(e.pending) == 0 {
		return 0
	}
	total := time.Duration(0)
	for _, c := range e.pending {
		total += c.prefillTime
	}
	oldest := e.pending[0]
	elapsed := now.Sub(oldest.sentAt)
	if elapsed <= oldest.predictedTimeToFirstEvent {
		return total
	}
	overdue := float64(elapsed) / float64(max(oldest.predictedTimeToFirstEvent, time.Millisecond))
	return time.Duration(float64(total) * min(overdue, maxSlowness))
}

// addPending adds a call that waits for its first event.
func (e *endpoint) addPending(now time.Time, c *call) {
	if e.pendingPrefill(now) == 0 {
		e.progressAt = now
	}
	e.pending = append(e.pending, c)
}

// inFlight returns the estimated number of calls that run or wait at the endpoint.
func (e *endpoint) inFlight(now time.Time) int {
	others := 0
	for _, load := range e.peerLoads {
		others += load.Running
		if load.includesSelf {
			others -= min(e.lastSent.Running, load.Running)
		}
	}
	if e.reported.Known && now.Sub(e.reportedAt) < maxReportedLoadAge {
		others = max(others, e.reported.Running+e.reported.Waiting-e.runningAtReport)
	}
	return e.running + others
}

// latencySensitiveStreams returns the number of running latency-sensitive streams.
func (e *endpoint) latencySensitiveStreams() int {
	streams := e.latencySensitive
	for _, load := range e.peerLoads {
		streams += load.LatencySensitive
		if load.includesSelf {
			streams -= min(e.lastSent.LatencySensitive, load.LatencySensitive)
		}
	}
	return streams
}

// recordReportedLoad records the load that an endpoint reports in an answer to this host.
func (s *Scheduler) recordReportedLoad(e *endpoint, load ReportedLoad) {
	if !load.Known {
		return
	}
	e.reported = load
	e.reportedAt = s.now
	e.runningAtReport = e.running
	if load.Pace > 0 {
		e.speed.ReportPace(s.now, load.Pace)
		s.ensurePool(e.entry.Service).reportsPace = true
	}
}

// observeSlowness updates the smoothed slowness with a ratio of measured to
// expected time.
func (e *endpoint) observeSlowness(ratio float64) {
	ratio = min(max(ratio, minSlowness), maxSlowness)
	e.slowness += slownessWeight * (ratio - e.slowness)
}

// removePending removes a call whose prefill is over or was canceled.
func (e *endpoint) removePending(now time.Time, c *call) {
	before := len(e.pending)
	e.pending = slices.DeleteFunc(e.pending, func(pending *call) bool { return pending == c })
	if len(e.pending) < before {
		e.progressAt = now
	}
}

// recordPeerLoad records the load that a peer reports.
func (e *endpoint) recordPeerLoad(now time.Time, peer string, load loadReport) {
	previous := e.peerLoads[peer].PendingPrefill
	if load.PendingPrefill < previous || load.PendingPrefill > previous && e.pendingPrefill(now) == 0 {
		e.progressAt = now
	}
	e.peerLoads[peer] = load
}

// removePeerLoad removes the load of a peer that no longer has any here.
func (e *endpoint) removePeerLoad(now time.Time, peer string) {
	if e.peerLoads[peer].PendingPrefill > 0 {
		e.progressAt = now
	}
	delete(e.peerLoads, peer)
}
