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
					var metrics experiment.RunMetrics
					for range b.N {
						metrics = experiment.Run(deployment, scenario, policy, experiment.DefaultSeed)
					}
					reportMetrics(b, &metrics)
				})
			}
		}
	}
}

func reportMetrics(b *testing.B, metrics *experiment.RunMetrics) {
	for _, class := range metrics.Classes {
		b.ReportMetric(class.Attainment, class.Class+"-attainment")
	}
	b.ReportMetric(metrics.GoodputPerSecond, "goodput/s")
	b.ReportMetric(metrics.WasteShare, "waste-share")
	b.ReportMetric(metrics.WorstCompletionShare, "worst-completion-share")
	b.ReportMetric(metrics.ExtraPerFirst, "extra/first")
	b.ReportMetric(float64(metrics.LargestQueue), "largest-queue")
	b.ReportMetric(float64(metrics.Ejections), "ejections")
	b.ReportMetric(float64(metrics.Breaches.Total()), "breaches")
}
