package experiment

import (
	"time"

	"cactuswell/core/profile"
)

// Deployment describes one installation: its zones, hosts, endpoints and request
// classes.
type Deployment struct {
	Name  string
	Zones []string
	// ZoneDelay is the one-way delay between hosts and endpoints.
	ZoneDelay time.Duration
	// ClientDelay is the one-way delay between callers and hosts.
	ClientDelay time.Duration
	Hosts       int
	Teams       int
	Engines     EngineSettings
	Services    ServiceSettings
	Classes     []Class
}

// EngineSettings describes the model engines of a deployment, which are identical.
type EngineSettings struct {
	Count int
	Pool  string
	// Slots is the number of sequences that one engine runs concurrently.
	Slots int
	// TokenTime is the time to generate one token of a sequence that runs alone.
	TokenTime time.Duration
	// BatchSlowdown is the relative increase of TokenTime in a full batch. With fewer
	// sequences the increase is proportional to their number.
	BatchSlowdown float64
	// PrefillSlowdown is the relative increase of TokenTime during the prefill of any
	// prompt.
	PrefillSlowdown float64
	// PrefillTokensPerSecond is the prefill rate of an engine. A prefill gets an even
	// share of it, given the number of prefills at its start.
	PrefillTokensPerSecond float64
	// CacheBlocks is the capacity of the prefix cache in blocks.
	CacheBlocks int
	// ReportInterval is the time between two load reports, and ReportLag is the delay
	// until a report and its cache events arrive at the hosts.
	ReportInterval time.Duration
	ReportLag      time.Duration
	// CacheEventLoss is the share of the batches of cache events that do not arrive.
	CacheEventLoss float64
}

// ServiceSettings describes the plain services of a deployment, which are identical.
type ServiceSettings struct {
	Count          int
	Pool           string
	Slots          int
	ReportInterval time.Duration
	ReportLag      time.Duration
}

// Class describes the requests of one class.
type Class struct {
	Spec profile.Spec
	// ArrivalsPerSecond is the arrival rate without a burst.
	ArrivalsPerSecond float64
	// PromptTokens and OutputTokens are mean lengths.
	PromptTokens int
	OutputTokens int
	// SharedPrefixTokens is the length of the prompt prefix that a request shares with
	// others.
	SharedPrefixTokens int
	// PrefixesPerTeam is the number of different shared prefixes of each team.
	PrefixesPerTeam int
	// ServiceTime is the mean run time of a call to a plain service.
	ServiceTime time.Duration
	// RunTimeout is how long a caller waits for the complete answer in addition to
	// the profile's wait limit.
	RunTimeout time.Duration
}

// Deployments returns the two deployments.
func Deployments() []Deployment {
	return []Deployment{Kelisim(), Lindqvist()}
}

// Kelisim returns the deployment of a firm that books mediation rooms.
func Kelisim() Deployment {
	return Deployment{
		Name:        "kelisim",
		Zones:       []string{"alm-a", "alm-b", "shy-a", "shy-b"},
		ZoneDelay:   time.Millisecond,
		ClientDelay: time.Millisecond,
		Hosts:       9,
		Teams:       10,
		Engines:     engineSettings(12, "drafting"),
		Services:    serviceSettings(4, "booking"),
		Classes: []Class{
			{
				Spec:               modelSpec("briefing", "drafting", profile.TierBulk, 10*time.Second, 40*time.Second, 5, 0.2),
				ArrivalsPerSecond:  2,
				PromptTokens:       6000,
				OutputTokens:       400,
				SharedPrefixTokens: 4000,
				PrefixesPerTeam:    6,
				RunTimeout:         60 * time.Second,
			},
			{
				Spec:               modelSpec("hearingSummary", "drafting", profile.TierStandard, 5*time.Second, 20*time.Second, 2, 0.15),
				ArrivalsPerSecond:  3.5,
				PromptTokens:       3000,
				OutputTokens:       250,
				SharedPrefixTokens: 1500,
				PrefixesPerTeam:    6,
				RunTimeout:         40 * time.Second,
			},
			{
				Spec:               modelSpec("schedulingDraft", "drafting", profile.TierInteractive, time.Second, 3*time.Second, 1, 0.15),
				ArrivalsPerSecond:  10,
				PromptTokens:       500,
				OutputTokens:       80,
				SharedPrefixTokens: 256,
				PrefixesPerTeam:    2,
				RunTimeout:         15 * time.Second,
			},
			{
				Spec:              serviceSpec("roomSearch", "booking", profile.TierInteractive, time.Second, true, 0.5, 0.15),
				ArrivalsPerSecond: 25,
				ServiceTime:       200 * time.Millisecond,
				RunTimeout:        2 * time.Second,
			},
			{
				Spec:              serviceSpec("roomHold", "booking", profile.TierUrgent, 2*time.Second, false, 10, 0.3),
				ArrivalsPerSecond: 10,
				ServiceTime:       200 * time.Millisecond,
				RunTimeout:        2 * time.Second,
			},
		},
	}
}

// Lindqvist returns the deployment of a firm that serves brides and make-up artists.
func Lindqvist() Deployment {
	return Deployment{
		Name:        "lindqvist",
		Zones:       []string{"svea-a", "svea-b", "svea-c"},
		ZoneDelay:   500 * time.Microsecond,
		ClientDelay: 3 * time.Millisecond,
		Hosts:       9,
		Teams:       10,
		Engines:     engineSettings(18, "advice"),
		Services:    serviceSettings(3, "calendar"),
		Classes: []Class{
			{
				Spec:               modelSpec("consultation", "advice", profile.TierBulk, 10*time.Second, 40*time.Second, 4, 0.15),
				ArrivalsPerSecond:  4,
				PromptTokens:       5000,
				OutputTokens:       500,
				SharedPrefixTokens: 3000,
				PrefixesPerTeam:    8,
				RunTimeout:         60 * time.Second,
			},
			{
				Spec:               modelSpec("stylistReply", "advice", profile.TierInteractive, 1500*time.Millisecond, 5*time.Second, 2, 0.12),
				ArrivalsPerSecond:  12,
				PromptTokens:       1200,
				OutputTokens:       120,
				SharedPrefixTokens: 600,
				PrefixesPerTeam:    4,
				RunTimeout:         20 * time.Second,
			},
			{
				Spec:               modelSpec("weddingMorningAnswer", "advice", profile.TierUrgent, time.Second, 3*time.Second, 10, 0.1),
				ArrivalsPerSecond:  6,
				PromptTokens:       400,
				OutputTokens:       40,
				SharedPrefixTokens: 256,
				PrefixesPerTeam:    1,
				RunTimeout:         10 * time.Second,
			},
			{
				Spec:              serviceSpec("trialBooking", "calendar", profile.TierStandard, 3*time.Second, false, 6, 0.2),
				ArrivalsPerSecond: 15,
				ServiceTime:       200 * time.Millisecond,
				RunTimeout:        2 * time.Second,
			},
			{
				Spec:              serviceSpec("weddingMorningCheck", "calendar", profile.TierUrgent, time.Second, true, 10, 0.3),
				ArrivalsPerSecond: 12,
				ServiceTime:       150 * time.Millisecond,
				RunTimeout:        2 * time.Second,
			},
		},
	}
}

func engineSettings(count int, pool string) EngineSettings {
	return EngineSettings{
		Count:                  count,
		Pool:                   pool,
		Slots:                  16,
		TokenTime:              20 * time.Millisecond,
		BatchSlowdown:          1,
		PrefillSlowdown:        1,
		PrefillTokensPerSecond: 8000,
		CacheBlocks:            2048,
		ReportInterval:         time.Second,
		ReportLag:              500 * time.Millisecond,
		CacheEventLoss:         0.1,
	}
}

func serviceSettings(count int, pool string) ServiceSettings {
	return ServiceSettings{
		Count:          count,
		Pool:           pool,
		Slots:          4,
		ReportInterval: time.Second,
		ReportLag:      500 * time.Millisecond,
	}
}

func modelSpec(name, pool string, tier profile.Tier, target, waitLimit time.Duration, value, minShare float64) profile.Spec {
	return profile.Spec{
		Name:        name,
		Class:       name,
		Kind:        profile.KindModel,
		Pool:        pool,
		Tier:        tier,
		TargetMs:    target.Milliseconds(),
		Measure:     profile.MeasureFirstToken,
		WaitLimitMs: waitLimit.Milliseconds(),
		Idempotent:  true,
		Value:       value,
		MinShare:    minShare,
	}
}

func serviceSpec(name, pool string, tier profile.Tier, target time.Duration, idempotent bool, value, minShare float64) profile.Spec {
	return profile.Spec{
		Name:        name,
		Class:       name,
		Kind:        profile.KindService,
		Pool:        pool,
		Tier:        tier,
		TargetMs:    target.Milliseconds(),
		Measure:     profile.MeasureCompletion,
		WaitLimitMs: (2 * target).Milliseconds(),
		Idempotent:  idempotent,
		Value:       value,
		MinShare:    minShare,
	}
}

// slotTimeIterations is the number of fixed-point iterations of slotTime.
const slotTimeIterations = 20

// slotTime returns the mean time for which a request of the class occupies a slot of
// an endpoint that is fully used by this class. Prefill slows down the token
// generation of the other requests, so the time depends on the request rate, which in
// turn depends on the time. It is found by fixed-point iteration.
func (d *Deployment) slotTime(class *Class) time.Duration {
	if class.Spec.Kind == profile.KindService {
		return class.ServiceTime
	}
	settings := &d.Engines
	prefill := float64(class.PromptTokens-class.SharedPrefixTokens) / settings.PrefillTokensPerSecond
	decode := settings.TokenTime.Seconds() * (1 + settings.BatchSlowdown) * float64(class.OutputTokens)
	total := prefill + decode
	for range slotTimeIterations {
		prefilling := min(float64(settings.Slots)/total*prefill, 1)
		next := prefill + decode*(1+settings.PrefillSlowdown*prefilling/(1+settings.BatchSlowdown))
		total = (total + next) / 2
	}
	return time.Duration(total * float64(time.Second))
}

// poolSlots returns the number of slots in the class's pool when all endpoints are
// alive.
func (d *Deployment) poolSlots(class *Class) int {
	if class.Spec.Kind == profile.KindService {
		return d.Services.Count * d.Services.Slots
	}
	return d.Engines.Count * d.Engines.Slots
}

// poolCapacity returns the number of requests per second that the class's pool can
// serve when all endpoints are alive and serve only this class.
func (d *Deployment) poolCapacity(class *Class) float64 {
	return float64(d.poolSlots(class)) / d.slotTime(class).Seconds()
}

// callerTimeout returns how long a caller waits for the complete answer before it
// cancels the request.
func (c *Class) callerTimeout() time.Duration {
	return time.Duration(c.Spec.WaitLimitMs)*time.Millisecond + c.RunTimeout
}
