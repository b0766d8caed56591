package autoscale

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// onDemandShare is the share of a service's endpoints that stay on-demand ones: if all spot
	// endpoints are reclaimed at once, they serve the most urgent calls until others have started.
	onDemandShare = 0.25
	// maxSpotPrice is the price of spot endpoints from which they are not worth their reclaims.
	maxSpotPrice = 0.8
	// swapShare is the share of the endpoints that serve while the limit of a zone lets spot
	// endpoints start only where on-demand ones have left.
	swapShare = 0.9
	// lowerThreshold is the share of its endpoints that a service needs for less than lowerDelay
	// before it gets fewer, and lowerStep by how much every lowerInterval.
	lowerThreshold = 0.85
	lowerDelay     = 60 * time.Second
	lowerInterval  = 10 * time.Second
	lowerStep      = 0.05
	// raiseStep is the least share by which a service gets more endpoints, so that noise of the
	// demand does not cause an order at each step.
	raiseStep = 0.03
	// referenceFloor is the share of the number of endpoints at the start below which the demand
	// alone does not take a service: its callers may come back faster than endpoints start.
	referenceFloor = 0.5
	// defaultPrice is the price in zones without one.
	defaultPrice = 1
)

// plan is the desired number of endpoints of a service.
type plan struct {
	// spotTotal is the number of spot endpoints in all zones.
	spotTotal int
	// targets holds the numbers by subject, in the order in which they are reduced: on-demand
	// ones first, and those in more expensive zones first.
	targets []target
}

type target struct {
	subject Subject
	desired int
}

// zonePlan is the state of a zone while a plan is made.
type zonePlan struct {
	zone  Zone
	price float64
	// share is the zone's part of the total, base the least on-demand endpoints, spot the wanted
	// spot endpoints, and onDemand the wanted on-demand ones.
	share    int
	base     int
	spot     int
	onDemand int
	// committed numbers count as they are ordered or observed; short ones cannot be raised.
	onDemandCommitted int
	spotCommitted     int
	onDemandShort     bool
	spotShort         bool
	max               int
}

// resize adapts the total to the demand.
func (s *service) resize(now time.Time) {
	scale := s.observed.Scale
	reference, least, most := 0, 0, 0
	for _, zone := range s.observed.Zones {
		reference += s.reference[zone.Name]
		least += scale.Min
		most += scale.Max
	}
	if now.Sub(s.startedAt) < settleTime {
		s.total = max(s.total, reference)
	}
	s.demand.observeTraffic(now, s.total)
	need := min(max(s.demand.current().need(), least), most)
	switch {
	case need > s.total:
		s.total = min(max(need, int(math.Ceil(float64(s.total)*(1+raiseStep)))), most)
		s.lowSince = time.Time{}
	case !s.demand.hasTraffic(now) || float64(need) > lowerThreshold*float64(s.total):
		s.lowSince = time.Time{}
	case s.lowSince.IsZero():
		s.lowSince = now
		s.nextLoweringAt = now.Add(lowerDelay)
	case !now.Before(s.nextLoweringAt):
		floor := max(need, least, int(math.Ceil(referenceFloor*float64(reference))))
		step := max(int(lowerStep*float64(s.total)), 1)
		s.total = max(s.total-step, min(floor, s.total))
		s.nextLoweringAt = now.Add(lowerInterval)
	}
	s.total = min(s.total, most)
}

// makePlan returns the desired numbers of endpoints of the service.
func (s *service) makePlan(now time.Time) plan {
	zones := s.zonePlans(now)
	if s.observed.Scale.IsPinned() {
		pin(zones)
	} else {
		s.planSpot(zones)
		s.planOnDemand(zones)
	}
	var made plan
	slices.SortStableFunc(zones, func(a, b *zonePlan) int { return cmp.Compare(b.price, a.price) })
	for _, z := range zones {
		made.targets = append(made.targets, target{
			subject: s.key(z.zone.Name, false),
			desired: z.onDemand,
		})
	}
	for _, z := range zones {
		made.spotTotal += z.spot
		made.targets = append(made.targets, target{
			subject: s.key(z.zone.Name, true),
			desired: z.spot,
		})
	}
	return made
}

// zonePlans returns the zones, the cheapest first, with their parts of the total. The parts stay
// as they were at the start, so that each zone with callers has endpoints nearby.
func (s *service) zonePlans(now time.Time) []*zonePlan {
	scale := s.observed.Scale
	reference := 0
	for _, zone := range s.observed.Zones {
		reference += s.reference[zone.Name]
	}
	zones := make([]*zonePlan, 0, len(s.observed.Zones))
	for _, zone := range s.observed.Zones {
		onDemand, spot := s.subject(s.key(zone.Name, false)), s.subject(s.key(zone.Name, true))
		z := &zonePlan{
			zone:              zone,
			price:             cmp.Or(scale.ZonePrices[zone.Name], defaultPrice),
			onDemandCommitted: onDemand.committed(),
			spotCommitted:     spot.committed(),
			onDemandShort:     onDemand.isShort(now),
			spotShort:         spot.isShort(now),
			max:               scale.Max,
		}
		if reference > 0 {
			z.share = int(math.Ceil(float64(s.total) * float64(s.reference[zone.Name]) / float64(reference)))
		}
		z.share = min(max(z.share, scale.Min), scale.Max)
		zones = append(zones, z)
	}
	slices.SortStableFunc(zones, func(a, b *zonePlan) int { return cmp.Compare(a.price, b.price) })
	return zones
}

// pin keeps the number of endpoints of each zone. Spot ones stay as long as they are there.
func pin(zones []*zonePlan) {
	for _, z := range zones {
		z.spot = min(z.zone.Spot.Present, z.max)
		z.onDemand = z.max - z.spot
	}
}

// planSpot plans the spot endpoints. The part of zones where none are available goes to others.
func (s *service) planSpot(zones []*zonePlan) {
	price := s.observed.Scale.SpotPrice
	if price <= 0 || price >= maxSpotPrice {
		for _, z := range zones {
			z.base = z.share
		}
		return
	}
	missing := 0
	for _, z := range zones {
		z.base = int(math.Ceil(onDemandShare * float64(z.share)))
		z.spot = max(min(z.share, z.max-max(z.base, z.onDemandCommitted)), 0)
		if z.spotShort && z.spot > z.spotCommitted {
			missing += z.spot - z.spotCommitted
			z.spot = z.spotCommitted
		}
	}
	for isMoved := true; missing > 0 && isMoved; {
		isMoved = false
		for _, z := range zones {
			if missing > 0 && z.share > 0 && !z.spotShort && z.spot < z.max-max(z.base, z.onDemandCommitted) {
				z.spot++
				missing--
				isMoved = true
			}
		}
	}
}

// planOnDemand plans the on-demand endpoints: more at once if they are needed with the spot
// endpoints that are expected, fewer only if the spot endpoints that serve suffice without them.
func (s *service) planOnDemand(zones []*zonePlan) {
	base, committed := 0, 0
	isBound := false
	for _, z := range zones {
		if z.spotShort {
			// A zone without spot endpoints has its least number as on-demand ones.
			z.base = max(z.base, s.observed.Scale.Min-z.spotCommitted)
		}
		base += z.base
		committed += z.onDemandCommitted
		isBound = isBound || z.spot < min(z.share, z.max-z.base) && !z.spotShort
	}
	total := s.total
	if isBound {
		// On-demand endpoints have to leave before spot ones can start.
		total = int(math.Ceil(swapShare * float64(s.total)))
	}
	raised := s.onDemandNeed(base, total, zones, func(z *zonePlan) int { return z.spot })
	kept := s.onDemandNeed(base, total, zones, func(z *zonePlan) int { return min(z.zone.Spot.Serving, z.spot) })
	fill(zones, max(raised, min(committed, kept)))
	for _, z := range zones {
		z.spot = max(min(z.spot, z.max-z.onDemand), 0)
	}
}

// onDemandNeed returns the number of on-demand endpoints that are needed beside a number of spot
// endpoints of each zone: so many that there are total ones, and enough without the spot endpoints
// of any one zone.
func (s *service) onDemandNeed(base, total int, zones []*zonePlan, spot func(*zonePlan) int) int {
	all, most := 0, 0
	for _, z := range zones {
		all += spot(z)
		most = max(most, spot(z))
	}
	return max(base, total-all, s.lossNeed()-(all-most))
}

// lossNeed returns the number of endpoints that are needed right after the loss of a zone's spot
// endpoints.
func (s *service) lossNeed() int {
	if s.observed.Scale.SpotPrice <= 0 {
		return 0
	}
	demand := s.demand.current()
	return min(int(math.Ceil(max(baseUtilization/lossUtilization*float64(s.total), demand.Peak/lossPeakUtilization))), s.total)
}

// fill distributes the on-demand endpoints: to each zone its base, then to those that have them,
// and then to the cheapest.
func fill(zones []*zonePlan, wanted int) {
	for _, z := range zones {
		// The limit holds for both capacity types together.
		z.onDemand = min(z.base, max(z.max-z.spotCommitted, z.onDemandCommitted))
		if z.onDemandShort {
			z.onDemand = min(z.onDemand, z.onDemandCommitted)
		}
		wanted -= z.onDemand
	}
	for _, z := range zones {
		kept := min(max(z.onDemandCommitted-z.onDemand, 0), max(wanted, 0))
		z.onDemand += kept
		wanted -= kept
	}
	for _, z := range zones {
		if z.onDemandShort || z.share == 0 {
			continue
		}
		added := min(max(z.max-z.spotCommitted-z.onDemand, 0), max(wanted, 0))
		z.onDemand += added
		wanted -= added
	}
}
