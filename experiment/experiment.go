// Package experiment measures dispatch decisions under load and faults. The product's
// state machines from core run in virtual time against simulated engines and plain
// services, and are compared with three baselines on the same arrivals.
//
// # Usage
//
//	results := experiment.All(1)
//	err := results.WriteTable(os.Stdout)
//	data, err := results.JSON()
//
// One run of one policy:
//
//	metrics := experiment.Run(experiment.Kelisim(), experiment.Calm(), experiment.Product(), 1)
//
// A run reads no clock and starts no goroutine, so the same seed gives the same
// results.
package experiment

// DefaultSeed is the seed of the published results.
const DefaultSeed = 1

// All runs every scenario of every deployment with every policy.
func All(seed uint64) Results {
	var results Results
	for _, deployment := range Deployments() {
		for _, scenario := range Scenarios() {
			results.Runs = append(results.Runs, Compare(deployment, scenario, seed)...)
		}
	}
	results.Seed = seed
	return results
}

// Compare runs one scenario with every policy on the same arrivals. The product's
// results come first.
func Compare(deployment Deployment, scenario Scenario, seed uint64) []RunMetrics {
	metrics := make([]RunMetrics, 0, len(Policies()))
	for _, policy := range Policies() {
		metrics = append(metrics, Run(deployment, scenario, policy, seed))
	}
	return metrics
}

// Run runs one scenario with one policy.
func Run(deployment Deployment, scenario Scenario, policy Policy, seed uint64) RunMetrics {
	s := newSimulation(deployment, scenario, policy, seed)
	s.run()
	return s.metrics()
}
