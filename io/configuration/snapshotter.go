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

// snapshotter writes snapshots when it is this host's duty.
type snapshotter struct {
	configuration *Configuration
	log           logservice.Log
	decision      *follow.SnapshotSchedule
	// from is the next offset of the snapshot stream to look at.
	from record.Offset
}

func newSnapshotter(c *Configuration) *snapshotter {
	return &snapshotter{
		configuration: c,
		decision:      follow.NewSnapshotSchedule(c.now(), c.dependencies.Retention, c.dependencies.Random),
	}
}

func (s *snapshotter) run(ctx context.Context) error {
	c := s.configuration
	s.log = c.dependencies.NewLogClient()
	defer func() { leave(s.log) }()
	tick := c.dependencies.Timers.Every(s.decision.CheckInterval())
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C():
			if err := s.check(ctx); err != nil {
				c.counts.Add("snapshotChecksFailed", 1)
				leave(s.log)
				s.log = c.dependencies.NewLogClient()
			}
		}
	}
}

// check looks for new snapshots of others and writes one if that is due.
func (s *snapshotter) check(ctx context.Context) error {
	c := s.configuration
	current := c.current.Load()
	if current.reason != follow.ReasonNone {
		return nil
	}
	next, err := scan(ctx, s.log, s.from, s.see)
	if err != nil {
		return err
	}
	s.from = next
	if !s.decision.IsDue(c.now(), s.place(), current.state.NextOffset()) {
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
	c.counts.Add("snapshotsWritten", 1)
	return nil
}

func (s *snapshotter) see(data []byte) {
	next, writtenAtMs, ok := core.DecodeLastChunk(data)
	if !ok {
		return
	}
	now := s.configuration.now()
	s.decision.RecordSnapshot(now, next, now.Sub(time.UnixMilli(writtenAtMs)))
}

func (s *snapshotter) place() int {
	names := []string{s.configuration.dependencies.Host}
	for _, peer := range s.configuration.dependencies.Peers.Live() {
		names = append(names, peer.Name)
	}
	return slices.Index(follow.RendezvousOrder("snapshot", names), s.configuration.dependencies.Host)
}
