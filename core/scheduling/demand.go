package scheduling

// TakeDemands returns the demand that this host's callers make on the engines of each
// service, for a report to the other hosts.
func (s *Scheduler) TakeDemands() []Demand {
	demands := make([]Demand, 0, len(s.poolsInOrder))
	for _, p := range s.poolsInOrder {
		if p.engine == nil {
			continue
		}
		p.reportedDemand = Demand{
			Service:          hashID(p.name),
			LatencySensitive: p.partitions.latencyDemand.rateAt(s.now),
			Other:            p.partitions.prefillDemand.rateAt(s.now),
		}
		demands = append(demands, p.reportedDemand)
	}
	return demands
}

// updateDemands adds up the demand that callers make on the other hosts.
func (s *Scheduler) updateDemands() {
	for _, p := range s.poolsInOrder {
		if p.engine == nil {
			continue
		}
		p.partitions.others = s.demandOfOthers(p)
		p.partitions.resize(false)
	}
}

func (s *Scheduler) demandOfOthers(p *pool) Demand {
	service := hashID(p.name)
	var total Demand
	for _, other := range s.peers {
		if other.expired {
			continue
		}
		for _, demand := range other.demands {
			if demand.Service != service {
				continue
			}
			total.LatencySensitive += demand.LatencySensitive
			total.Other += demand.Other
			if other.includesSelf {
				total.LatencySensitive -= min(p.reportedDemand.LatencySensitive, demand.LatencySensitive)
				total.Other -= min(p.reportedDemand.Other, demand.Other)
			}
		}
	}
	return total
}

// LatencyPartitionSize returns the number of engines in the latency partition of a
// service.
func (s *Scheduler) LatencyPartitionSize(service string) int {
	if p, ok := s.pools[service]; ok {
		return p.partitions.latencySize
	}
	return 0
}
