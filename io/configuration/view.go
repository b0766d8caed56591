package configuration

import (
	"sync"
	"time"

	core "cactuswell/core/configuration"
	"cactuswell/core/follow"
)

// view is what readers see. It is never changed after it was published, but
// for changed, which is closed once the state or the readiness is another.
type view struct {
	state *core.State
	// snapshot encodes the state once it is asked for.
	snapshot func() ([]byte, error)
	recent   []follow.Record
	reason   follow.Reason
	reader   bool
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
