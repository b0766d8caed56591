package placement

import (
	"math"
	"time"
)

// DemandSettings say how the number of copies follows the work.
type DemandSettings struct {
	// Share is the part of the slots that should be busy, from 0 to 1.
	Share float64
	// GrowAfter is how long more copies must be needed without a break.
	GrowAfter time.Duration
	// ShrinkAfter is how long fewer copies must be enough without a break.
	ShrinkAfter time.Duration
}

// DefaultDemandSettings returns the settings of the product.
func DefaultDemandSettings() DemandSettings {
	return DemandSettings{
		Share:       0.7,
		GrowAfter:   30 * time.Second,
		ShrinkAfter: 30 * time.Minute,
	}
}

// Demand follows how many copies of one model are needed, with hysteresis.
type Demand struct {
	settings DemandSettings
	target   int
	// since is when the present want of more or fewer copies began; most is
	// the most copies that were needed since.
	since time.Time
	sign  int
	most  int
}

// NewDemand returns a demand of the copies that are live at the start.
func NewDemand(settings DemandSettings, live int) *Demand {
	return &Demand{
		settings: settings,
		target:   live,
	}
}

// Observe takes the work that runs or waits and the slots of one copy, and
// returns the wanted copies within the model's bounds.
func (d *Demand) Observe(now time.Time, busy, slots int, model Model) int {
	d.target = min(max(d.target, model.LeastCopies), model.MostCopies)
	if slots <= 0 {
		return d.target
	}
	needed := int(math.Ceil(float64(busy) / (d.settings.Share * float64(slots))))
	needed = min(max(needed, model.LeastCopies), model.MostCopies)
	sign := compare(needed, d.target)
	if sign != d.sign {
		d.sign = sign
		d.since = now
		d.most = needed
	}
	d.most = max(d.most, needed)
	held := now.Sub(d.since)
	if sign > 0 && held >= d.settings.GrowAfter || sign < 0 && held >= d.settings.ShrinkAfter {
		d.target = d.most
		d.sign = 0
	}
	return d.target
}

func compare(a, b int) int {
	switch {
	case a > b:
		return 1
	case a < b:
		return -1
	}
	return 0
}
