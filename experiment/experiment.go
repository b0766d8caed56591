// Package experiment measures the decisions under load and faults: the real
// state machines of core run in virtual time against small fake engines and
// plain services, beside three baselines on the same arrivals.
//
// # Usage
//
//	results := experiment.All(1)
//	err := results.WriteTable(os.Stdout)
//	data, err := results.JSON()
//
// One run of one policy:
//
//	figures := experiment.Run(experiment.Kelisim(), experiment.Calm(), experiment.Product(), 1)
//
// A run reads no clock and starts no goroutine. The same seed gives the same
// figures.
package experiment

// DefaultSeed is the seed of the published figures.
const DefaultSeed = 1

// All runs every scenario of every deployment under every policy.
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

// Compare runs one scenario under every policy on the same arrivals.
func Compare(deployment Deployment, scenario Scenario, seed uint64) []RunMetrics {
	figures := make([]RunMetrics, 0, len(Policies()))
	for _, policy := range Policies() {
		figures = append(figures, Run(deployment, scenario, policy, seed))
	}
	return figures
}

// Run runs one scenario under one policy.
func Run(deployment Deployment, scenario Scenario, policy Policy, seed uint64) RunMetrics {
	s := newSimulation(deployment, scenario, policy, seed)
	s.run()
	return s.figures()
}
