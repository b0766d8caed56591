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
	k := &followerLoop{
		configuration: c,
	}
	k.rebuild()
	return k
}

// rebuild creates a new follower from the latest published state.
func (k *followerLoop) rebuild() {
	dependencies := k.configuration.dependencies
	k.livePeers = nil
	k.follower = follow.New(follow.Settings{
		Self: follow.Member{
			Name: dependencies.Host,
			Zone: dependencies.Zone,
		},
		LagBound:     dependencies.LagBound,
		ConfirmBound: dependencies.ConfirmBound,
	}, k.configuration.State().Clone(), dependencies.Random)
}

func (k *followerLoop) run(ctx context.Context) error {
	c := k.configuration
	k.wakeTimer = c.dependencies.Timers.After(follow.RepairInterval)
	defer k.wakeTimer.Stop()
	k.updateMembers()
	k.step(follow.Started{})
	for {
		k.wakeTimer.Reset(k.follower.NextWake())
		select {
		case <-ctx.Done():
			return nil
		case <-c.results.Ready():
			for event, ok := c.results.Pop(); ok; event, ok = c.results.Pop() {
				k.step(event)
			}
		case <-c.peerEvents.Ready():
			for event, ok := c.peerEvents.Pop(); ok; event, ok = c.peerEvents.Pop() {
				k.step(event)
			}
		case <-k.wakeTimer.C():
			k.updateMembers()
			k.step(follow.TimePassed{})
		}
	}
}

func (k *followerLoop) updateMembers() {
	live := k.configuration.dependencies.Peers.Live()
	if slices.Equal(live, k.livePeers) {
		return
	}
	k.livePeers = slices.Clone(live)
	members := make([]follow.Member, 0, len(live))
	for _, peer := range live {
		members = append(members, follow.Member{
			Name: peer.Name,
			Zone: peer.Zone,
		})
	}
	k.step(follow.MembersChanged{Members: members})
}

func (k *followerLoop) step(event follow.Event) {
	k.commands = k.follower.Step(k.configuration.now(), event, k.commands[:0])
	k.publishView()
	k.configuration.lastStepAt.Store(int64(k.configuration.now().Sub(k.configuration.startedAt)))
	for _, command := range k.commands {
		k.execute(command)
	}
}

func (k *followerLoop) execute(command follow.Command) {
	c := k.configuration
	switch command := command.(type) {
	case follow.ReadLog, follow.ReadSnapshots:
		if !c.logCommands.TryPush(command) {
			c.results.TryPush(follow.LogFailed{})
		}
	case follow.AskHead:
		k.enqueuePeerCommand(command, command.Peer)
	case follow.FetchRecords:
		k.enqueuePeerCommand(command, command.Peer)
	case follow.FetchState:
		k.enqueuePeerCommand(command, command.Peer)
	case follow.Push:
		k.enqueuePushes(command)
	case follow.Alarm:
		c.counters.Add("alarm."+string(command.Kind), 1)
		_ = c.dependencies.Logger.Log("level", "error", "event", string(command.Kind), "peer", command.Peer,
			"applied", command.Own, "other", command.Other)
	}
}

func (k *followerLoop) enqueuePeerCommand(command follow.Command, peer string) {
	if !k.configuration.peerCommands.TryPush(command) {
		k.configuration.results.TryPush(follow.PeerFailed{Peer: peer})
	}
}

func (k *followerLoop) enqueuePushes(command follow.Push) {
	c := k.configuration
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
func (k *followerLoop) publishView() {
	c := k.configuration
	previous := c.current.Load()
	reason := k.follower.Ready(c.now())
	changed := k.follower.TakeChanged()
	unchanged := !changed && reason == previous.reason
	if unchanged && previous.confirmedAt.Equal(k.follower.ConfirmedAt()) &&
		previous.isReader == k.follower.IsReader() && maps.Equal(previous.alarms, k.follower.Alarms()) {
		return
	}
	next := *previous
	if changed {
		next = *newView(k.follower.State().Clone())
		next.recentRecords = k.follower.Recent()
	}
	next.reason = reason
	next.isReader = k.follower.IsReader()
	next.confirmedAt = k.follower.ConfirmedAt()
	next.alarms = maps.Clone(k.follower.Alarms())
	if unchanged {
		c.current.Store(&next)
		return
	}
	next.changed = make(chan struct{})
	c.current.Store(&next)
	close(previous.changed)
}
