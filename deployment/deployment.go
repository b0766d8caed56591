// Package deployment describes the two firms that cactuswell serves first: their
// availability zones, endpoints, teams and profiles, at today's sizes.
//
// # Usage
//
//	firm := deployment.Kelisim()
//	for _, spec := range firm.Profiles {
//		...
//	}
package deployment

import (
	"fmt"
	"time"

	"cactuswell/core/profile"
)

// Deployment is one firm's surroundings.
type Deployment struct {
	Name     string
	Zones    []string
	Pools    []Pool
	Profiles []profile.Spec
	Teams    []Team
}

// Pool is a group of like endpoints.
type Pool struct {
	Name  string
	Kind  profile.Kind
	Count int
	// Slots is how many requests one endpoint runs at once.
	Slots int
	// TokenInterval is the time between two tokens of an engine, or the run
	// time of a service's call.
	TokenInterval time.Duration
	// AnswerTokens is about how long an engine's answer is.
	AnswerTokens int
	// ChecksFencing reports whether the engines refuse old orders.
	ChecksFencing bool
}

// Team is a group of callers with its part of the traffic.
type Team struct {
	Name   string
	Weight float64
}

// Endpoint is one endpoint of a pool.
type Endpoint struct {
	Name string
	Zone string
	Pool Pool
}

// UnknownError says that there is no deployment of that name.
type UnknownError struct {
	Name string
}

// Error names the deployment.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("no deployment is named %q; there are kelisim and lindqvist", e.Name)
}

// ByName returns the deployment of that name. The error is an *UnknownError.
func ByName(name string) (Deployment, error) {
	for _, d := range []Deployment{Kelisim(), Lindqvist()} {
		if d.Name == name {
			return d, nil
		}
	}
	return Deployment{}, &UnknownError{Name: name}
}

// Endpoints returns the endpoints of all pools, spread over the zones.
func (d Deployment) Endpoints() []Endpoint {
	var endpoints []Endpoint
	for _, pool := range d.Pools {
		for i := range pool.Count {
			endpoints = append(endpoints, Endpoint{
				Name: fmt.Sprintf("%s-%d", pool.Name, i+1),
				Zone: d.Zones[i%len(d.Zones)],
				Pool: pool,
			})
		}
	}
	return endpoints
}

// Profile returns the profile of that name and whether there is one.
func (d Deployment) Profile(name string) (profile.Spec, bool) {
	for _, spec := range d.Profiles {
		if spec.Name == name {
			return spec, true
		}
	}
	return profile.Spec{}, false
}

// teams returns ten teams of which two are large.
func teams(firm string) []Team {
	const count = 10
	const large = 2
	list := make([]Team, 0, count)
	for i := range count {
		weight := 1.0
		if i < large {
			weight = 6
		}
		list = append(list, Team{
			Name:   fmt.Sprintf("%s-team-%d", firm, i+1),
			Weight: weight,
		})
	}
	return list
}

// Kelisim returns the deployment of Kelisim Rooms.
func Kelisim() Deployment {
	return Deployment{
		Name:  "kelisim",
		Zones: []string{"alm-a", "alm-b", "shy-a", "shy-b"},
		Teams: teams("kelisim"),
		Pools: []Pool{
			{
				Name:          "drafting",
				Kind:          profile.KindModel,
				Count:         12,
				Slots:         8,
				TokenInterval: 20 * time.Millisecond,
				AnswerTokens:  60,
				ChecksFencing: true,
			},
			{
				Name:          "booking",
				Kind:          profile.KindService,
				Count:         4,
				Slots:         16,
				TokenInterval: 30 * time.Millisecond,
			},
		},
		Profiles: []profile.Spec{
			{
				Name:        "roomHold",
				Class:       "roomHold",
				Kind:        profile.KindService,
				Pool:        "booking",
				Tier:        profile.TierUrgent,
				TargetMs:    1000,
				WaitLimitMs: 5000,
				Value:       10,
				MinShare:    0.5,
			},
			{
				Name:        "roomAvailability",
				Class:       "roomAvailability",
				Kind:        profile.KindService,
				Pool:        "booking",
				Tier:        profile.TierInteractive,
				TargetMs:    1000,
				WaitLimitMs: 3000,
				Idempotent:  true,
				MinShare:    0.1,
			},
			{
				Name:        "schedulingDraft",
				Class:       "schedulingDraft",
				Kind:        profile.KindModel,
				Pool:        "drafting",
				Tier:        profile.TierInteractive,
				TargetMs:    800,
				WaitLimitMs: 4000,
				Idempotent:  true,
				Value:       1,
				MinShare:    0.15,
				MaxTokens:   200,
			},
			{
				Name:        "hearingSummary",
				Class:       "hearingSummary",
				Kind:        profile.KindModel,
				Pool:        "drafting",
				Tier:        profile.TierStandard,
				TargetMs:    3000,
				WaitLimitMs: 15000,
				Idempotent:  true,
				Value:       3,
				MinShare:    0.2,
				MaxTokens:   800,
			},
			{
				Name:        "caseFileBriefing",
				Class:       "caseFileBriefing",
				Kind:        profile.KindModel,
				Pool:        "drafting",
				Tier:        profile.TierBulk,
				TargetMs:    8000,
				WaitLimitMs: 40000,
				Idempotent:  true,
				Value:       5,
				MinShare:    0.25,
				MaxTokens:   2000,
			},
		},
	}
}

// Lindqvist returns the deployment of Lindqvist Brudsminkning.
func Lindqvist() Deployment {
	return Deployment{
		Name:  "lindqvist",
		Zones: []string{"svea-a", "svea-b", "svea-c"},
		Teams: teams("lindqvist"),
		Pools: []Pool{
			{
				Name:          "bridalAdvice",
				Kind:          profile.KindModel,
				Count:         18,
				Slots:         8,
				TokenInterval: 20 * time.Millisecond,
				AnswerTokens:  60,
			},
			{
				Name:          "calendar",
				Kind:          profile.KindService,
				Count:         3,
				Slots:         16,
				TokenInterval: 30 * time.Millisecond,
			},
		},
		Profiles: []profile.Spec{
			{
				Name:        "weddingMorningCheck",
				Class:       "calendarCheck",
				Kind:        profile.KindService,
				Pool:        "calendar",
				Tier:        profile.TierUrgent,
				TargetMs:    800,
				WaitLimitMs: 4000,
				Idempotent:  true,
				Value:       10,
				MinShare:    0.4,
			},
			{
				Name:        "trialBooking",
				Class:       "trialBooking",
				Kind:        profile.KindService,
				Pool:        "calendar",
				Tier:        profile.TierInteractive,
				TargetMs:    1500,
				WaitLimitMs: 6000,
				Value:       8,
				MinShare:    0.2,
			},
			{
				Name:        "weddingMorningAdvice",
				Class:       "morningAdvice",
				Kind:        profile.KindModel,
				Pool:        "bridalAdvice",
				Tier:        profile.TierUrgent,
				TargetMs:    600,
				WaitLimitMs: 3000,
				Idempotent:  true,
				Value:       10,
				MinShare:    0.2,
				MaxTokens:   120,
			},
			{
				Name:        "stylistReply",
				Class:       "stylistReply",
				Kind:        profile.KindModel,
				Pool:        "bridalAdvice",
				Tier:        profile.TierInteractive,
				TargetMs:    1000,
				WaitLimitMs: 5000,
				Idempotent:  true,
				Value:       2,
				MinShare:    0.2,
				MaxTokens:   300,
			},
			{
				Name:        "lookBookConsultation",
				Class:       "lookBookConsultation",
				Kind:        profile.KindModel,
				Pool:        "bridalAdvice",
				Tier:        profile.TierBulk,
				TargetMs:    5000,
				WaitLimitMs: 30000,
				Idempotent:  true,
				Value:       3,
				MinShare:    0.2,
				MaxTokens:   2000,
			},
		},
	}
}
