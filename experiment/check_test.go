package experiment_test

import (
	"fmt"

	"cactuswell/experiment"
)

func checks() []check {
	return []check{
		{name: "invariants", misses: missedInvariants},
		{name: "urgentAttainment", misses: missedUrgentAttainment},
		{name: "guaranteedShare", misses: missedGuaranteedShare},
		{name: "waste", misses: missedWaste},
		{name: "extraAttempts", misses: missedExtraAttempts},
		{name: "goodputOfBaselines", misses: missedGoodput},
		{name: "urgentOfBaselines", misses: missedUrgentOfBaselines},
		{name: "ejections", misses: missedEjections},
		{name: "stragglerShare", misses: missedStragglerShare},
	}
}

func missedInvariants(r *runs) []string {
	if r.product.Breaches.Total() == 0 {
		return nil
	}
	return []string{fmt.Sprintf("breaches: %+v", r.product.Breaches)}
}

// missedUrgentAttainment checks the top tier wherever its own demand leaves
// room.
func missedUrgentAttainment(r *runs) []string {
	var misses []string
	for _, class := range r.product.Classes {
		if class.Tier == 0 && class.Demand < urgentDemandLimit && class.Attainment < urgentAttainment {
			misses = append(misses, fmt.Sprintf("%s attains %.4f, at least %.2f wanted", class.Class, class.Attainment, urgentAttainment))
		}
	}
	return misses
}

func missedGuaranteedShare(r *runs) []string {
	if r.scenario.BurstLoad == 0 && !r.scenario.TeamFloods {
		return nil
	}
	var misses []string
	for _, class := range r.product.Classes {
		if class.CompletionShare < guaranteedPart {
			misses = append(misses, fmt.Sprintf("%s completes %.3f of its share, at least %.2f wanted", class.Class, class.CompletionShare, guaranteedPart))
		}
	}
	return misses
}

func missedWaste(r *runs) []string {
	limit := wasteOtherwise
	if r.scenario.Name == experiment.Calm().Name {
		limit = wasteCalm
	}
	if r.product.WasteShare < limit {
		return nil
	}
	return []string{fmt.Sprintf("%.4f of the tokens wasted, under %.2f wanted", r.product.WasteShare, limit)}
}

func missedExtraAttempts(r *runs) []string {
	if r.product.ExtraPerFirst <= extraPerFirst {
		return nil
	}
	return []string{fmt.Sprintf("%.4f retries and hedges for each first attempt, at most %.2f wanted", r.product.ExtraPerFirst, extraPerFirst)}
}

func missedGoodput(r *runs) []string {
	var misses []string
	for i := range r.baselines {
		if b := &r.baselines[i]; r.product.GoodputPerSecond < b.GoodputPerSecond-comparisonTolerance {
			misses = append(misses, fmt.Sprintf("goodput %.2f/s, %s has %.2f/s", r.product.GoodputPerSecond, b.Policy, b.GoodputPerSecond))
		}
	}
	return misses
}

func missedUrgentOfBaselines(r *runs) []string {
	var misses []string
	for i := range r.baselines {
		if b := &r.baselines[i]; r.product.UrgentAttainment() < b.UrgentAttainment()-comparisonTolerance {
			misses = append(misses, fmt.Sprintf("urgent attainment %.4f, %s has %.4f", r.product.UrgentAttainment(), b.Policy, b.UrgentAttainment()))
		}
	}
	return misses
}

func missedEjections(r *runs) []string {
	if r.scenario.Name != experiment.Calm().Name || r.product.Ejections == 0 {
		return nil
	}
	return []string{fmt.Sprintf("%d ejections in calm", r.product.Ejections)}
}

func missedStragglerShare(r *runs) []string {
	if r.scenario.StragglerCount == 0 || r.product.StragglerShare < stragglerFairPart {
		return nil
	}
	return []string{fmt.Sprintf("straggler got %.3f of its fair share, under %.2f wanted", r.product.StragglerShare, stragglerFairPart)}
}
