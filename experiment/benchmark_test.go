package experiment_test

import (
	"testing"

	"cactuswell/experiment"
)

func BenchmarkScenario(b *testing.B) {
	for _, deployment := range experiment.Deployments() {
		for _, scenario := range experiment.Scenarios() {
			for _, policy := range experiment.Policies() {
				b.Run(deployment.Name+"/"+scenario.Name+"/"+policy.Name, func(b *testing.B) {
					var figures experiment.RunMetrics
					for range b.N {
						figures = experiment.Run(deployment, scenario, policy, experiment.DefaultSeed)
					}
					reportFigures(b, &figures)
				})
			}
		}
	}
}

func reportFigures(b *testing.B, figures *experiment.RunMetrics) {
	for _, class := range figures.Classes {
		b.ReportMetric(class.Attainment, class.Class+"-attainment")
	}
	b.ReportMetric(figures.GoodputPerSecond, "goodput/s")
	b.ReportMetric(figures.WasteShare, "waste-share")
	b.ReportMetric(figures.WorstCompletionShare, "worst-completion-share")
	b.ReportMetric(figures.ExtraPerFirst, "extra/first")
	b.ReportMetric(float64(figures.LargestQueue), "largest-queue")
	b.ReportMetric(float64(figures.Ejections), "ejections")
	b.ReportMetric(float64(figures.Breaches.Total()), "breaches")
}
