package placement

import (
	"time"

	"cactuswell/core/lease"
	"cactuswell/core/placement"
)

// Settings are the times of the duty.
type Settings struct {
	Lease  lease.Settings
	Demand placement.DemandSettings
	// Interval is the time between two looks at the engines, and at the
	// stream of leases.
	Interval time.Duration
	// Standby is the time between two looks at the stream of leases of a host
	// that does not have the lease.
	Standby time.Duration
	// CallTimeout bounds one read of an engine, the log or the weight store.
	CallTimeout time.Duration
	// Grace is how long an engine that served may be silent before it is
	// replaced.
	Grace time.Duration
	// Settle is how long after a drain is in force on every host a load
	// report must have been made to be believed.
	Settle time.Duration
}

// DefaultSettings returns the settings of the product.
func DefaultSettings() Settings {
	return Settings{
		Lease:       lease.DefaultSettings(),
		Demand:      placement.DefaultDemandSettings(),
		Interval:    500 * time.Millisecond,
		Standby:     5 * time.Second,
		CallTimeout: 2 * time.Second,
		Grace:       3 * time.Second,
		Settle:      time.Second,
	}
}
