package experiment_test

import (
	"testing"

	"cactuswell/core/routing"
	"cactuswell/experiment"
)

// alternatives are the settings of the router that were weighed.
func alternatives() []experiment.Policy {
	return []experiment.Policy{
		experiment.Product(),
		experiment.ProductVariant("withoutReportsAIMD", func(s *routing.Settings) {
			s.MaxReportAge = 0
		}),
		experiment.ProductVariant("withoutReportsGradient", func(s *routing.Settings) {
			s.MaxReportAge = 0
			s.LimitAlgorithm = routing.Gradient{
				Smoothing: 0.2,
			}
		}),
		experiment.ProductVariant("candidates2", func(s *routing.Settings) {
			s.Candidates = 2
		}),
		experiment.ProductVariant("candidates4", func(s *routing.Settings) {
			s.Candidates = 4
		}),
		experiment.ProductVariant("candidates12", func(s *routing.Settings) {
			s.Candidates = 12
		}),
		experiment.ProductVariant("subset6", func(s *routing.Settings) {
			s.SubsetSize = 6
		}),
		experiment.ProductVariant("subset9", func(s *routing.Settings) {
			s.SubsetSize = 9
		}),
	}
}

func BenchmarkAlternative(b *testing.B) {
	scenarios := map[string]bool{
		"calm":          true,
		"burst":         true,
		"urgentBurst":   true,
		"twoStragglers": true,
		"crash":         true,
	}
	for _, policy := range alternatives() {
		for _, deployment := range experiment.Deployments() {
			for _, scenario := range experiment.Scenarios() {
				if !scenarios[scenario.Name] {
					continue
				}
				b.Run(policy.Name+"/"+deployment.Name+"/"+scenario.Name, func(b *testing.B) {
					var figures experiment.RunMetrics
					for range b.N {
						figures = experiment.Run(deployment, scenario, policy, experiment.DefaultSeed)
					}
					b.ReportMetric(figures.UrgentAttainment(), "urgent-attainment")
					reportFigures(b, &figures)
				})
			}
		}
	}
}
