package peer

import (
	"testing"
	"time"

	"cactuswell/core/replica"
	"cactuswell/timer"
)

// TestHostThatIsOutOfStepKnowsIt guards against a host that takes its view of the fleet for current
// although it has stood still, has lost all others, or is behind one of them.
func TestHostThatIsOutOfStepKnowsIt(t *testing.T) {
	const topic = "endpoints"
	position := func(offset int64) replica.Position { return replica.Position{Offset: offset} }
	for name, test := range map[string]struct {
		// change changes the mesh, whose hosts were heard from and checked just now, and returns the
		// time that passes.
		change func(m *Mesh, other *peerHost, now time.Time) time.Duration
		want   bool
	}{
		"in step": {
			change: func(*Mesh, *peerHost, time.Time) time.Duration { return checkInterval },
			want:   true,
		},
		"behind for a moment": {
			change: func(m *Mesh, _ *peerHost, now time.Time) time.Duration {
				m.observeEnd(now, Copy{Topic: topic, End: position(8)})
				return checkInterval
			},
			want: true,
		},
		"behind, while the others go on": {
			change: func(m *Mesh, other *peerHost, now time.Time) time.Duration {
				m.observeEnd(now, Copy{Topic: topic, End: position(8)})
				later := now.Add(maxCatchUp)
				m.observeEnd(later, Copy{Topic: topic, End: position(9)})
				m.checkedAt, other.lastHeardAt, m.lastHeardAt = later, later, later
				return maxCatchUp
			},
		},
		"caught up, and behind again": {
			change: func(m *Mesh, other *peerHost, now time.Time) time.Duration {
				m.observeEnd(now, Copy{Topic: topic, End: position(8)})
				m.SetCopy(Copy{Topic: topic, End: position(8)}, now)
				later := now.Add(maxCatchUp)
				m.observeEnd(later, Copy{Topic: topic, End: position(9)})
				m.checkedAt, other.lastHeardAt, m.lastHeardAt = later, later, later
				return maxCatchUp
			},
			want: true,
		},
		"stands still": {
			change: func(*Mesh, *peerHost, time.Time) time.Duration { return time.Second },
		},
		"has stood still, and reads an old message": {
			change: func(m *Mesh, other *peerHost, now time.Time) time.Duration {
				later := now.Add(time.Second)
				m.checkHosts(later)
				other.lastHeardAt, m.lastHeardAt = later, later
				return time.Second
			},
		},
		"has stood still a while ago": {
			change: func(m *Mesh, other *peerHost, now time.Time) time.Duration {
				m.checkHosts(now.Add(time.Second))
				later := now.Add(time.Second + silenceTimeout)
				m.checkedAt, other.lastHeardAt, m.lastHeardAt = later, later, later
				return time.Second + silenceTimeout
			},
			want: true,
		},
		"has removed all others": {
			change: func(m *Mesh, _ *peerHost, _ time.Time) time.Duration {
				clear(m.hosts)
				m.currentRanking = nil
				return 0
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			m, err := New(Dependencies{
				Host:    "host",
				Address: "127.0.0.1:0",
				Timers:  timer.New(),
			})
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = m.conn.Close() }()
			now := m.Timers.Now()
			m.copies[topic] = Copy{Topic: topic, End: position(7)}
			other := m.addLocked("127.0.0.1:9", "z0", 0)
			other.alive = true
			other.lastHeardAt, m.lastHeardAt, m.checkedAt = now, now, now
			other.copies[topic] = Copy{Topic: topic, End: position(7)}
			m.Listener = silentListener{}
			passed := test.change(m, other, now)
			if got := m.isInStep(now.Add(passed), topic); got != test.want {
				t.Errorf("in step: %v, want %v", got, test.want)
			}
		})
	}
}

// silentListener ignores all changes.
type silentListener struct{ Listener }

func (silentListener) HandleHostSilent(string) {}
