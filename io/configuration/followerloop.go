package configuration

import (
	"context"
	"maps"
	"slices"

	"cactuswell/core/follow"
	"cactuswell/timer"
)

// followerLoop owns the follower: it passes events to it, executes its commands
// through the other duties, and publishes its state.
type followerLoop struct {
	configuration *Configuration
	follower      *follow.Follower
	livePeers     []Peer
	wakeTimer     *timer.Subscription
	commands      []follow.Command
}

func newFollowerLoop(c *Configuration) *followerLoop {
	l := &followerLoop{
		configuration: c,
	}
	l.rebuild()
	return l
}

// rebuild creates a new follower from the latest published state.
func (l *followerLoop) rebuild() {
	dependencies := l.configuration.dependencies
	l.livePeers = nil
	l.follower = follow.New(follow.Settings{
		Self: follow.Member{
			Name: dependencies.Host,
			Zone: dependencies.Zone,
		},
		MaxLag:             dependencies.MaxLag,
		MaxConfirmationAge: dependencies.MaxConfirmationAge,
	}, l.configuration.State().Clone(), dependencies.Random)
}

func (l *followerLoop) run(ctx context.Context) error {
	c := l.configuration
	l.wakeTimer = c.dependencies.Timers.After(follow.RepairInterval)
	defer l.wakeTimer.Stop()
	l.updateMembers()
	l.step(follow.Started{})
	for {
		l.wakeTimer.Reset(l.follower.NextWake())
		select {
		case <-ctx.Done():
			return nil
		case <-c.results.Ready():
			for event, ok := c.results.Pop(); ok; event, ok = c.results.Pop() {
				l.step(event)
			}
		case <-c.peerEvents.Ready():
			for event, ok := c.peerEvents.Pop(); ok; event, ok = c.peerEvents.Pop() {
				l.step(event)
			}
		case <-l.wakeTimer.C():
			l.updateMembers()
			l.step(follow.Tick{})
		}
	}
}

func (l *followerLoop) updateMembers() {
	live := l.configuration.dependencies.Peers.Live()
	if slices.Equal(live, l.livePeers) {
		return
	}
	l.livePeers = slices.Clone(live)
	members := make([]follow.Member, 0, len(live))
	for _, peer := range live {
		members = append(members, follow.Member{
			Name: peer.Name,
			Zone: peer.Zone,
		})
	}
	l.step(follow.MembersChanged{Members: members})
}

func (l *followerLoop) step(event follow.Event) {
	l.commands = l.follower.Step(l.configuration.now(), event, l.commands[:0])
	l.publishView()
	l.configuration.lastStepAt.Store(int64(l.configuration.now().Sub(l.configuration.startedAt)))
	for _, command := range l.commands {
		l.execute(command)
	}
}

func (l *followerLoop) execute(command follow.Command) {
	c := l.configuration
	switch command := command.(type) {
	case follow.ReadLog, follow.ReadSnapshots:
		if !c.logCommands.TryPush(command) {
			c.results.TryPush(follow.LogReadFailed{})
		}
	case follow.QueryHead:
		l.enqueuePeerCommand(command, command.Peer)
	case follow.FetchRecords:
		l.enqueuePeerCommand(command, command.Peer)
	case follow.FetchState:
		l.enqueuePeerCommand(command, command.Peer)
	case follow.PushRecords:
		l.enqueuePushes(command)
	case follow.Alarm:
		c.counters.Add("alarm."+string(command.Kind), 1)
		_ = c.dependencies.Logger.Log("level", "error", "event", string(command.Kind), "peer", command.Peer,
			"applied", command.OwnOffset, "other", command.OtherOffset)
	}
}

func (l *followerLoop) enqueuePeerCommand(command follow.Command, peer string) {
	if !l.configuration.peerCommands.TryPush(command) {
		l.configuration.results.TryPush(follow.PeerCallFailed{Peer: peer})
	}
}

func (l *followerLoop) enqueuePushes(command follow.PushRecords) {
	c := l.configuration
	request := pushRequest(c.dependencies.Host, command.Records)
	for i, name := range command.Peers {
		evicted := c.pushQueues[i%len(c.pushQueues)].PushEvicting(pushTask{
			peer:    name,
			request: request,
		})
		if evicted {
			c.counters.Add("pushesDropped", 1)
		}
	}
}

// publishView replaces the current view if anything in it changed.
func (l *followerLoop) publishView() {
	c := l.configuration
	previous := c.current.Load()
	reason := l.follower.Readiness(c.now())
	changed := l.follower.TakeStateChanged()
	unchanged := !changed && reason == previous.reason
	if unchanged && previous.confirmedAt.Equal(l.follower.ConfirmedAt()) &&
		previous.isReader == l.follower.IsReader() && maps.Equal(previous.alarms, l.follower.Alarms()) {
		return
	}
	next := *previous
	if changed {
		next = *newView(l.follower.State().Clone())
		next.recentRecords = l.follower.RecentRecords()
	}
	next.reason = reason
	next.isReader = l.follower.IsReader()
	next.confirmedAt = l.follower.ConfirmedAt()
	next.alarms = maps.Clone(l.follower.Alarms())
	if unchanged {
		c.current.Store(&next)
		return
	}
	next.changed = make(chan struct{})
	c.current.Store(&next)
	close(previous.changed)
}
