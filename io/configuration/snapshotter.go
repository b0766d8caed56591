package configuration

import (
	"context"
	"slices"
	"time"

	core "cactuswell/core/configuration"
	"cactuswell/core/follow"
	"cactuswell/core/record"
	"cactuswell/io/logservice"
)

// snapshotter writes snapshots when this host's schedule requires it.
type snapshotter struct {
	configuration *Configuration
	log           logservice.Log
	schedule      *follow.SnapshotSchedule
	// readOffset is the next offset of the snapshot stream to read.
	readOffset record.Offset
}

func newSnapshotter(c *Configuration) *snapshotter {
	return &snapshotter{
		configuration: c,
		schedule:      follow.NewSnapshotSchedule(c.now(), c.dependencies.Retention, c.dependencies.Random),
	}
}

func (s *snapshotter) run(ctx context.Context) error {
	c := s.configuration
	s.log = c.dependencies.NewLogClient()
	defer func() { closeIdle(s.log) }()
	tick := c.dependencies.Timers.Every(s.schedule.CheckInterval())
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C():
			if err := s.writeIfDue(ctx); err != nil {
				c.counters.Add("snapshotChecksFailed", 1)
				closeIdle(s.log)
				s.log = c.dependencies.NewLogClient()
			}
		}
	}
}

// writeIfDue reads new snapshots of other hosts and writes one if that is due.
func (s *snapshotter) writeIfDue(ctx context.Context) error {
	c := s.configuration
	current := c.current.Load()
	if current.reason != follow.ReasonNone {
		return nil
	}
	next, err := scanSnapshots(ctx, s.log, s.readOffset, s.recordChunk)
	if err != nil {
		return err
	}
	s.readOffset = next
	if !s.schedule.IsDue(c.now(), s.rank(), current.state.NextOffset()) {
		return nil
	}
	data, err := current.snapshot()
	if err != nil {
		return err
	}
	records, err := core.SplitSnapshot(current.state.NextOffset(), data, c.dependencies.Host, c.now().UnixMilli())
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	if _, err := s.log.Append(ctx, record.StreamSnapshots, records); err != nil {
		return err
	}
	c.counters.Add("snapshotsWritten", 1)
	return nil
}

func (s *snapshotter) recordChunk(data []byte) {
	next, writtenAtMs, ok := core.DecodeLastChunk(data)
	if !ok {
		return
	}
	now := s.configuration.now()
	s.schedule.RecordSnapshot(now, next, now.Sub(time.UnixMilli(writtenAtMs)))
}

func (s *snapshotter) rank() int {
	names := []string{s.configuration.dependencies.Host}
	for _, peer := range s.configuration.dependencies.Peers.Live() {
		names = append(names, peer.Name)
	}
	return slices.Index(follow.RendezvousOrder("snapshot", names), s.configuration.dependencies.Host)
}
