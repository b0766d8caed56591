package configuration

import (
	"sync"
	"time"

	core "cactuswell/core/configuration"
	"cactuswell/core/follow"
)

// view is what the accessors read. It is immutable once published, except that
// changed is closed when the state or the readiness changes.
type view struct {
	state *core.State
	// snapshot encodes the state on the first call.
	snapshot      func() ([]byte, error)
	recentRecords []follow.Record
	reason        follow.Reason
	isReader      bool
	// confirmedAt is as in follow.Follower.
	confirmedAt time.Time
	alarms      map[follow.AlarmKind]uint64
	changed     chan struct{}
}

func newView(state *core.State) *view {
	return &view{
		state:    state,
		snapshot: sync.OnceValues(state.EncodeSnapshot),
		reason:   follow.ReasonStarting,
		changed:  make(chan struct{}),
	}
}
