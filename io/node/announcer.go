package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"cactuswell/core/record"
	"cactuswell/io/logservice"
)

const (
	// logCallTimeout is the timeout of one call to the log.
	logCallTimeout = 5 * time.Second
	// minAnnounceDelay and maxAnnounceDelay are the minimum and maximum time
	// between two attempts to announce this host.
	minAnnounceDelay = time.Second
	maxAnnounceDelay = time.Minute
	// alonePollPeriod is the time between two reads of the hosts stream while
	// this host knows no other.
	alonePollPeriod = 2 * time.Second
	// minPollPeriod is the minimum time between two reads otherwise.
	// pollPeriodPerHost limits the reads of the whole fleet to ten a second.
	minPollPeriod     = 10 * time.Second
	pollPeriodPerHost = 100 * time.Millisecond
	// pollPageSize limits the records of one read.
	pollPageSize = 500
)

// announcer is the duty that announces this host in the log and reads the
// announcements of others. While the log is unavailable it only retries.
type announcer struct {
	node                 *Node
	nextOffset           record.Offset
	announcedIncarnation uint64
	retryDelay           time.Duration
	retryAt              time.Time
	random               *rand.Rand
}

func (a *announcer) run(ctx context.Context) error {
	a.retryDelay = minAnnounceDelay
	wake := a.node.deps.Timers.After(0)
	defer wake.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-wake.C():
			a.announce(ctx, now)
			a.poll(ctx)
			wake.Reset(a.node.deps.Timers.Now().Add(a.nextPollDelay()))
		}
	}
}

// nextPollDelay returns the time until the next read, with jitter so that hosts
// that started together do not read together.
func (a *announcer) nextPollDelay() time.Duration {
	hosts := a.node.LiveCount()
	if hosts <= 1 {
		return alonePollPeriod
	}
	period := max(minPollPeriod, time.Duration(hosts)*pollPeriodPerHost)
	period = time.Duration(float64(period) * (0.8 + 0.4*a.random.Float64()))
	if a.announcedIncarnation != a.node.Self().Incarnation {
		period = min(period, a.retryDelay)
	}
	return period
}

// announce appends the start record of this host, once for each incarnation.
func (a *announcer) announce(ctx context.Context, now time.Time) {
	self := a.node.Self()
	if a.announcedIncarnation == self.Incarnation || now.Before(a.retryAt) {
		return
	}
	if err := a.node.appendAnnouncement(ctx, record.KindHostStarted); err != nil {
		a.node.announceFailures.Add(1)
		a.retryAt = now.Add(a.retryDelay)
		a.retryDelay = min(2*a.retryDelay, maxAnnounceDelay)
		return
	}
	a.announcedIncarnation = self.Incarnation
	a.retryDelay = minAnnounceDelay
}

// poll reads the new records of the hosts stream.
func (a *announcer) poll(ctx context.Context) {
	for ctx.Err() == nil {
		more, err := a.pollOnce(ctx)
		if err != nil {
			a.node.pollFailures.Add(1)
			return
		}
		if !more {
			return
		}
	}
}

func (a *announcer) pollOnce(ctx context.Context) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, logCallTimeout)
	defer cancel()
	response, err := a.node.deps.Log.Read(ctx, record.StreamHosts, a.nextOffset, logservice.ReadOptions{
		Limit: pollPageSize,
	})
	var truncated *logservice.TruncatedError
	if errors.As(err, &truncated) && truncated.Oldest > a.nextOffset {
		a.nextOffset = truncated.Oldest
		return true, nil
	}
	if err != nil {
		return false, err
	}
	if response.NextOffset < a.nextOffset {
		a.nextOffset = response.OldestOffset
		return true, nil
	}
	for _, stored := range response.Records {
		a.handleRecord(stored)
	}
	return len(response.Records) == pollPageSize, nil
}

func (a *announcer) handleRecord(stored logservice.StoredRecord) {
	a.nextOffset = stored.Offset + 1
	event, ok, err := decodeAnnouncement(stored.Data)
	if err != nil {
		a.node.malformed.Add(1)
		return
	}
	if ok {
		a.node.enqueueEvent(event)
	}
}

// appendAnnouncement appends a record about this host to the hosts stream.
func (n *Node) appendAnnouncement(ctx context.Context, kind record.Kind) error {
	data, err := encodeAnnouncement(kind, n.Self(), n.deps.Timers.Now().UnixMilli())
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, logCallTimeout)
	defer cancel()
	_, err = n.deps.Log.Append(ctx, record.StreamHosts, [][]byte{data})
	return err
}
