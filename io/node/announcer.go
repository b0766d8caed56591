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
	// logCallTimeout bounds one call to the log.
	logCallTimeout = 5 * time.Second
	// firstAnnounceDelay and maxAnnounceDelay bound the time between two tries
	// to announce this host.
	firstAnnounceDelay = time.Second
	maxAnnounceDelay   = time.Minute
	// alonePollPeriod is the time between two reads of the hosts stream while
	// this host knows no other.
	alonePollPeriod = 2 * time.Second
	// minPollPeriod is the least time between two reads otherwise, and
	// pollPeriodPerHost bounds the reads of the whole fleet to ten a second.
	minPollPeriod     = 10 * time.Second
	pollPeriodPerHost = 100 * time.Millisecond
	// pollPageSize bounds one read.
	pollPageSize = 500
)

// announcer is the duty that announces this host in the log and follows the
// announcements of others. With the log down it only tries again.
type announcer struct {
	node      *Node
	next      record.Offset
	announced uint64
	delay     time.Duration
	retryAt   time.Time
	random    *rand.Rand
}

func (a *announcer) run(ctx context.Context) error {
	a.delay = firstAnnounceDelay
	wake := a.node.deps.Timers.After(0)
	defer wake.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-wake.C():
			a.announce(ctx, now)
			a.poll(ctx)
			wake.Reset(a.node.deps.Timers.Now().Add(a.period()))
		}
	}
}

// period returns the time until the next read, with jitter so that hosts that
// started together don't read together.
func (a *announcer) period() time.Duration {
	hosts := a.node.LiveCount()
	if hosts <= 1 {
		return alonePollPeriod
	}
	period := max(minPollPeriod, time.Duration(hosts)*pollPeriodPerHost)
	period = time.Duration(float64(period) * (0.8 + 0.4*a.random.Float64()))
	if a.announced != a.node.Self().Incarnation {
		period = min(period, a.delay)
	}
	return period
}

// announce appends this host's start, once for each incarnation.
func (a *announcer) announce(ctx context.Context, now time.Time) {
	self := a.node.Self()
	if a.announced == self.Incarnation || now.Before(a.retryAt) {
		return
	}
	if err := a.node.appendAnnouncement(ctx, record.KindHostStarted); err != nil {
		a.node.announceFailures.Add(1)
		a.retryAt = now.Add(a.delay)
		a.delay = min(2*a.delay, maxAnnounceDelay)
		return
	}
	a.announced = self.Incarnation
	a.delay = firstAnnounceDelay
}

// poll reads what the hosts stream holds since the last time.
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
	response, err := a.node.deps.Log.Read(ctx, record.StreamHosts, a.next, logservice.ReadOptions{
		Limit: pollPageSize,
	})
	var truncated *logservice.TruncatedError
	if errors.As(err, &truncated) && truncated.Oldest > a.next {
		a.next = truncated.Oldest
		return true, nil
	}
	if err != nil {
		return false, err
	}
	if response.NextOffset < a.next {
		a.next = response.OldestOffset
		return true, nil
	}
	for _, stored := range response.Records {
		a.take(stored)
	}
	return len(response.Records) == pollPageSize, nil
}

func (a *announcer) take(stored logservice.StoredRecord) {
	a.next = stored.Offset + 1
	event, ok, err := decodeAnnouncement(stored.Data)
	if err != nil {
		a.node.malformed.Add(1)
		return
	}
	if ok {
		a.node.report(event)
	}
}

// appendAnnouncement appends one record about this host to the hosts stream.
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
