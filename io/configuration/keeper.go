package configuration

import (
	"context"
	"maps"
	"slices"

	"cactuswell/core/follow"
	"cactuswell/timer"
)

// keeper owns the follower: it feeds it, carries out its commands through the
// other duties, and publishes its state.
type keeper struct {
	configuration *Configuration
	follower      *follow.Follower
	live          []Peer
	wake          *timer.Subscription
	commands      []follow.Command
}

func newKeeper(c *Configuration) *keeper {
	k := &keeper{
		configuration: c,
	}
	k.rebuild()
	return k
}

// rebuild starts over from the state that was published last.
func (k *keeper) rebuild() {
	dependencies := k.configuration.dependencies
	k.live = nil
	k.follower = follow.New(follow.Settings{
		Self: follow.Member{
			Name: dependencies.Host,
			Zone: dependencies.Zone,
		},
		MaxLag:             dependencies.MaxLag,
		MaxConfirmationAge: dependencies.MaxConfirmationAge,
	}, k.configuration.State().Clone(), dependencies.Random)
}

func (k *keeper) run(ctx context.Context) error {
	c := k.configuration
	k.wake = c.dependencies.Timers.After(follow.RepairInterval)
	defer k.wake.Stop()
	k.lookAtPeers()
	k.step(follow.Started{})
	for {
		k.wake.Reset(k.follower.NextWake())
		select {
		case <-ctx.Done():
			return nil
		case <-c.results.Ready():
			for event, ok := c.results.Pop(); ok; event, ok = c.results.Pop() {
				k.step(event)
			}
		case <-c.heard.Ready():
			for event, ok := c.heard.Pop(); ok; event, ok = c.heard.Pop() {
				k.step(event)
			}
		case <-k.wake.C():
			k.lookAtPeers()
			k.step(follow.Tick{})
		}
	}
}

func (k *keeper) lookAtPeers() {
	live := k.configuration.dependencies.Peers.Live()
	if slices.Equal(live, k.live) {
		return
	}
	k.live = slices.Clone(live)
	members := make([]follow.Member, 0, len(live))
	for _, peer := range live {
		members = append(members, follow.Member{
			Name: peer.Name,
			Zone: peer.Zone,
		})
	}
	k.step(follow.MembersChanged{Members: members})
}

func (k *keeper) step(event follow.Event) {
	k.commands = k.follower.Step(k.configuration.now(), event, k.commands[:0])
	k.publish()
	k.configuration.steppedAt.Store(int64(k.configuration.now().Sub(k.configuration.started)))
	for _, command := range k.commands {
		k.carryOut(command)
	}
}

func (k *keeper) carryOut(command follow.Command) {
	c := k.configuration
	switch command := command.(type) {
	case follow.ReadLog, follow.ReadSnapshots:
		if !c.logTask.TryPush(command) {
			c.results.TryPush(follow.LogReadFailed{})
		}
	case follow.QueryHead:
		k.toRepair(command, command.Peer)
	case follow.FetchRecords:
		k.toRepair(command, command.Peer)
	case follow.FetchState:
		k.toRepair(command, command.Peer)
	case follow.PushRecords:
		k.push(command)
	case follow.Alarm:
		c.counts.Add("alarm."+string(command.Kind), 1)
		_ = c.dependencies.Logger.Log("level", "error", "event", string(command.Kind), "peer", command.Peer,
			"applied", command.OwnOffset, "other", command.OtherOffset)
	}
}

func (k *keeper) toRepair(command follow.Command, peer string) {
	if !k.configuration.repair.TryPush(command) {
		k.configuration.results.TryPush(follow.PeerCallFailed{Peer: peer})
	}
}

func (k *keeper) push(command follow.PushRecords) {
	c := k.configuration
	request := pushRequest(c.dependencies.Host, command.Records)
	for i, name := range command.Peers {
		evicted := c.pushes[i%len(c.pushes)].PushEvicting(pushTask{
			peer:    name,
			request: request,
		})
		if evicted {
			c.counts.Add("pushesDropped", 1)
		}
	}
}

// publish replaces the view if anything in it changed.
func (k *keeper) publish() {
	c := k.configuration
	previous := c.current.Load()
	reason := k.follower.Readiness(c.now())
	changed := k.follower.TakeStateChanged()
	unchanged := !changed && reason == previous.reason
	if unchanged && previous.confirmedAt.Equal(k.follower.ConfirmedAt()) &&
		previous.reader == k.follower.IsReader() && maps.Equal(previous.alarms, k.follower.Alarms()) {
		return
	}
	next := *previous
	if changed {
		next = *newView(k.follower.State().Clone())
		next.recent = k.follower.RecentRecords()
	}
	next.reason = reason
	next.reader = k.follower.IsReader()
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
