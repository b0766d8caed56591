package experiment

import (
	"time"

	"cactuswell/core/profile"
)

const (
	// horizon is the length of the arrivals.
	horizon = 70 * time.Second
	// drainLimit is how long the last requests may take after it.
	drainLimit = 90 * time.Second
	// faultAt and faultEnd bound bursts and faults.
	faultAt  = 10 * time.Second
	faultEnd = 60 * time.Second
	// cohortEnd ends the first part of the burst, whose arrivals must have been
	// answered when the burst ends.
	cohortEnd = 30 * time.Second
	// leaveAt is when an endpoint leaves, within the burst.
	leaveAt = 25 * time.Second
	// leaveNewsWithin bounds the time in which the news of a leaving endpoint
	// reaches every host.
	leaveNewsWithin = 2 * time.Second
	// leaveBound is when a leaving endpoint must get no more work.
	leaveBound = 3 * time.Second
	// stragglerSlowdown multiplies a straggler's times.
	stragglerSlowdown = 6
	// stragglerLag is the lag of a straggler's reports.
	stragglerLag = 10 * time.Second
	// reactionTime is how long after its slowing a straggler is measured from.
	reactionTime = 5 * time.Second
	// silentEvery is the time between two moments at which connections go silent.
	silentEvery = 5 * time.Second
	// silentShare is the share of the open streams that then go silent.
	silentShare = 0.1
	// zoneNewsAfter is when the host list tells of a lost zone.
	zoneNewsAfter = 10 * time.Second
	// hostNewsAfter is when the other hosts know of lost hosts.
	hostNewsAfter = 2 * time.Second
	// floodFactor multiplies the traffic while one team floods.
	floodFactor = 5
)

// Scenario is one situation.
type Scenario struct {
	Name string
	// BurstTier is the tier whose first class bursts when BurstLoad is set.
	BurstTier profile.Tier
	// BurstLoad is the burst's demand as a multiple of the pool's capacity.
	BurstLoad float64
	// TeamFloods lets one large team send floodFactor times the usual traffic.
	TeamFloods     bool
	StragglerCount int
	// CrashShare is the share of each pool's endpoints that crash.
	CrashShare          float64
	EndpointsLeave      bool
	ConnectionsGoSilent bool
	// ReportLag overrides the lag of reports when set.
	ReportLag time.Duration
	ZoneFails bool
}

// Scenarios returns all scenarios.
func Scenarios() []Scenario {
	return []Scenario{
		Calm(),
		{
			Name:      "burst",
			BurstTier: profile.TierStandard,
			BurstLoad: 3,
		},
		{
			Name:      "urgentBurst",
			BurstTier: profile.TierUrgent,
			BurstLoad: 0.65,
		},
		{
			Name:      "urgentOverload",
			BurstTier: profile.TierUrgent,
			BurstLoad: 3,
		},
		{
			Name:           "straggler",
			StragglerCount: 1,
		},
		{
			Name:           "twoStragglers",
			StragglerCount: 2,
		},
		{
			Name:       "crash",
			CrashShare: 1.0 / 3,
		},
		{
			Name:           "leaving",
			BurstTier:      profile.TierStandard,
			BurstLoad:      3,
			EndpointsLeave: true,
		},
		{
			Name:                "silent",
			ConnectionsGoSilent: true,
		},
		{
			Name:      "lateReports",
			ReportLag: 10 * time.Second,
		},
		{
			Name:      "zoneLost",
			ZoneFails: true,
		},
		{
			Name:       "flood",
			TeamFloods: true,
		},
	}
}

// Calm returns the scenario without bursts and faults.
func Calm() Scenario {
	return Scenario{
		Name: "calm",
	}
}

// sustainedBurst reports whether a class or a team sends far more for a time.
func (s *Scenario) sustainedBurst() bool {
	return s.BurstLoad > 0 || s.TeamFloods
}

// overload reports whether the classes of some pool together ask for more than
// it can serve.
func (s *Scenario) overload(d *Deployment) bool {
	demands := make(map[string]float64)
	for i := range d.Classes {
		class := &d.Classes[i]
		rate := class.ArrivalsPerSecond
		if s.sustainedBurst() {
			rate = max(rate, s.burstRate(d, class))
		}
		demands[class.Spec.Pool] += rate / d.capacity(class)
	}
	for _, demand := range demands {
		if demand > 1 {
			return true
		}
	}
	return false
}

func (s *Scenario) inBurst(after time.Duration) bool {
	return s.sustainedBurst() && after >= faultAt && after < faultEnd
}

// burstRate returns the class's arrival rate during the burst.
func (s *Scenario) burstRate(d *Deployment, class *Class) float64 {
	switch {
	case s.TeamFloods && class.Spec.Kind == profile.KindModel && class.Spec.Tier != profile.TierUrgent:
		return class.ArrivalsPerSecond * floodFactor
	case s.BurstLoad > 0 && s.bursts(d, class):
		return s.BurstLoad * d.capacity(class)
	}
	return class.ArrivalsPerSecond
}

// bursts reports whether the class is the one that bursts: that of BurstTier,
// or of the next more urgent tier, of the models; for the top tier, all of it.
func (s *Scenario) bursts(d *Deployment, class *Class) bool {
	if s.BurstTier == profile.TierUrgent {
		return class.Spec.Tier == profile.TierUrgent
	}
	return class == s.burstClass(d)
}

func (s *Scenario) burstClass(d *Deployment) *Class {
	var best *Class
	for i := range d.Classes {
		class := &d.Classes[i]
		if class.Spec.Kind != profile.KindModel || class.Spec.Tier > s.BurstTier {
			continue
		}
		if best == nil || class.Spec.Tier > best.Spec.Tier {
			best = class
		}
	}
	return best
}
