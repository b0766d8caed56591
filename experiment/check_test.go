package experiment_test

import (
	"fmt"

	"cactuswell/experiment"
)

func checks() []check {
	return []check{
		{name: "invariants", violations: checkInvariants},
		{name: "urgentAttainment", violations: checkUrgentAttainment},
		{name: "guaranteedShare", violations: checkGuaranteedShare},
		{name: "waste", violations: checkWaste},
		{name: "extraAttempts", violations: checkExtraAttempts},
		{name: "goodputOfBaselines", violations: checkGoodput},
		{name: "urgentOfBaselines", violations: checkUrgentOfBaselines},
		{name: "ejections", violations: checkEjections},
		{name: "stragglerShare", violations: checkStragglerShare},
	}
}

func checkInvariants(r *scenarioRuns) []string {
	if r.product.Breaches.Total() == 0 {
		return nil
	}
	return []string{fmt.Sprintf("breaches: %+v", r.product.Breaches)}
}

// checkUrgentAttainment checks the classes of the top tier whose own demand is below
// urgentDemandLimit of the capacity.
func checkUrgentAttainment(r *scenarioRuns) []string {
	var violations []string
	for _, class := range r.product.Classes {
		if class.Tier == 0 && class.Demand < urgentDemandLimit && class.Attainment < minUrgentAttainment {
			violations = append(violations, fmt.Sprintf("%s: attainment %.4f, want at least %.2f", class.Class, class.Attainment, minUrgentAttainment))
		}
	}
	return violations
}

func checkGuaranteedShare(r *scenarioRuns) []string {
	if r.scenario.BurstLoad == 0 && !r.scenario.TeamFloods {
		return nil
	}
	var violations []string
	for _, class := range r.product.Classes {
		if class.CompletionShare < minCompletionShare {
			violations = append(violations, fmt.Sprintf("%s: completion share %.3f, want at least %.2f", class.Class, class.CompletionShare, minCompletionShare))
		}
	}
	return violations
}

func checkWaste(r *scenarioRuns) []string {
	limit := wasteLimitOtherwise
	if r.scenario.Name == experiment.Calm().Name {
		limit = wasteLimitCalm
	}
	if r.product.WasteShare < limit {
		return nil
	}
	return []string{fmt.Sprintf("waste share %.4f, want less than %.2f", r.product.WasteShare, limit)}
}

func checkExtraAttempts(r *scenarioRuns) []string {
	if r.product.ExtraPerFirst <= maxExtraPerFirst {
		return nil
	}
	return []string{fmt.Sprintf("%.4f retries and hedges per first attempt, want at most %.2f", r.product.ExtraPerFirst, maxExtraPerFirst)}
}

func checkGoodput(r *scenarioRuns) []string {
	var violations []string
	for i := range r.baselines {
		if b := &r.baselines[i]; r.product.GoodputPerSecond < b.GoodputPerSecond-comparisonTolerance {
			violations = append(violations, fmt.Sprintf("goodput %.2f/s, want at least that of %s, %.2f/s", r.product.GoodputPerSecond, b.Policy, b.GoodputPerSecond))
		}
	}
	return violations
}

func checkUrgentOfBaselines(r *scenarioRuns) []string {
	var violations []string
	for i := range r.baselines {
		if b := &r.baselines[i]; r.product.UrgentAttainment() < b.UrgentAttainment()-comparisonTolerance {
			violations = append(violations, fmt.Sprintf("urgent attainment %.4f, want at least that of %s, %.4f", r.product.UrgentAttainment(), b.Policy, b.UrgentAttainment()))
		}
	}
	return violations
}

func checkEjections(r *scenarioRuns) []string {
	if r.scenario.Name != experiment.Calm().Name || r.product.Ejections == 0 {
		return nil
	}
	return []string{fmt.Sprintf("%d ejections in the calm scenario", r.product.Ejections)}
}

func checkStragglerShare(r *scenarioRuns) []string {
	if r.scenario.StragglerCount == 0 || r.product.StragglerShare < stragglerShareLimit {
		return nil
	}
	return []string{fmt.Sprintf("straggler share %.3f, want less than %.2f", r.product.StragglerShare, stragglerShareLimit)}
}
