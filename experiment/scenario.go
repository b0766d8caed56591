package experiment

import (
	"time"

	"cactuswell/core/profile"
)

const (
	// arrivalPeriod is the time during which requests arrive.
	arrivalPeriod = 70 * time.Second
	// drainLimit is how long the run continues after arrivalPeriod for the last
	// requests to complete.
	drainLimit = 90 * time.Second
	// faultStart and faultEnd are the start and end of bursts and faults.
	faultStart = 10 * time.Second
	faultEnd   = 60 * time.Second
	// cohortEnd is the end of the first part of the burst. Requests that arrive in
	// this part should be completed before the burst ends.
	cohortEnd = 30 * time.Second
	// leaveStart is when endpoints start leaving, during the burst.
	leaveStart = 25 * time.Second
	// leaveNoticeMaxDelay is the time within which all hosts are notified of a leaving
	// endpoint.
	leaveNoticeMaxDelay = 2 * time.Second
	// leaveGracePeriod is the time after leaveStart from which a leaving endpoint must
	// receive no new work.
	leaveGracePeriod = 3 * time.Second
	// stragglerSlowdown is the factor by which a straggler is slower.
	stragglerSlowdown = 6
	// stragglerReportLag is the delay of a straggler's load reports.
	stragglerReportLag = 10 * time.Second
	// stragglerReactionTime is the time after faultStart from which the attempts sent
	// to a straggler are counted.
	stragglerReactionTime = 5 * time.Second
	// silentInterval is the time between two injections of silent connections.
	silentInterval = 5 * time.Second
	// silentShare is the share of the open streams that go silent at each injection.
	silentShare = 0.1
	// zoneRemovalDelay is the time after a zone's failure at which the host list
	// removes its endpoints.
	zoneRemovalDelay = 10 * time.Second
	// hostCountDelay is the time after a zone's failure at which the other hosts learn
	// the new number of hosts.
	hostCountDelay = 2 * time.Second
	// floodFactor is the factor by which the traffic grows while one team floods.
	floodFactor = 5
)

// Scenario describes the bursts and faults of a run.
type Scenario struct {
	Name string
	// BurstTier is the tier whose arrival rate rises during the burst, if BurstLoad
	// is set: all classes of the top tier, or else one class of the models.
	BurstTier profile.Tier
	// BurstLoad is the demand during the burst as a multiple of the pool's capacity.
	BurstLoad float64
	// TeamFloods makes one large team send so many additional requests that the
	// traffic of the model classes below the top tier grows by floodFactor.
	TeamFloods     bool
	StragglerCount int
	// CrashShare is the share of each pool's endpoints that crash.
	CrashShare          float64
	EndpointsLeave      bool
	ConnectionsGoSilent bool
	// ReportLag overrides the delay of load reports if it is not zero.
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

// hasSustainedBurst reports whether the scenario has a burst of a class or a flood by
// a team.
func (s *Scenario) hasSustainedBurst() bool {
	return s.BurstLoad > 0 || s.TeamFloods
}

// isOverloaded reports whether the total demand of the classes of some pool exceeds
// its capacity.
func (s *Scenario) isOverloaded(d *Deployment) bool {
	demands := make(map[string]float64)
	for i := range d.Classes {
		class := &d.Classes[i]
		rate := class.ArrivalsPerSecond
		if s.hasSustainedBurst() {
			rate = max(rate, s.burstRate(d, class))
		}
		demands[class.Spec.Pool] += rate / d.poolCapacity(class)
	}
	for _, demand := range demands {
		if demand > 1 {
			return true
		}
	}
	return false
}

func (s *Scenario) isInBurst(after time.Duration) bool {
	return s.hasSustainedBurst() && after >= faultStart && after < faultEnd
}

// burstRate returns the class's arrival rate during the burst.
func (s *Scenario) burstRate(d *Deployment, class *Class) float64 {
	switch {
	case s.TeamFloods && class.Spec.Kind == profile.KindModel && class.Spec.Tier != profile.TierUrgent:
		return class.ArrivalsPerSecond * floodFactor
	case s.BurstLoad > 0 && s.isBurstClass(d, class):
		return s.BurstLoad * d.poolCapacity(class)
	}
	return class.ArrivalsPerSecond
}

// isBurstClass reports whether the class bursts. With the top tier as BurstTier all its
// classes burst; otherwise only the model class of BurstTier, or of the next more
// urgent tier if there is none.
func (s *Scenario) isBurstClass(d *Deployment, class *Class) bool {
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
