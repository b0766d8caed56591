package experiment

import (
	"time"

	"cactuswell/core/profile"
)

// Deployment is one installation: its places, endpoints and classes.
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

// EngineSettings describes the model engines, which are alike.
type EngineSettings struct {
	Count int
	Pool  string
	// Slots is how many sequences one engine runs at once.
	Slots int
	// TokenTime is the time for one token of a sequence that runs alone.
	TokenTime time.Duration
	// BatchSlowdown is the part by which TokenTime grows up to a full batch.
	BatchSlowdown float64
	// PrefillSlowdown is the part by which TokenTime grows while a prompt is read.
	PrefillSlowdown float64
	// PrefillTokensPerSecond is the rate at which one prompt is read.
	PrefillTokensPerSecond float64
	// CacheBlocks bounds the prefix cache.
	CacheBlocks int
	// ReportInterval and ReportLag shape the load reports and cache events.
	ReportInterval time.Duration
	ReportLag      time.Duration
	// CacheEventLoss is the share of cache event batches that get lost.
	CacheEventLoss float64
}

// ServiceSettings describes the plain services, which are alike.
type ServiceSettings struct {
	Count          int
	Pool           string
	Slots          int
	ReportInterval time.Duration
	ReportLag      time.Duration
}

// Class is one class of request.
type Class struct {
	Spec profile.Spec
	// ArrivalsPerSecond is the arrival rate in calm.
	ArrivalsPerSecond float64
	// PromptTokens and OutputTokens are means.
	PromptTokens int
	OutputTokens int
	// SharedPrefixTokens is the part of the prompt that the requests of one matter
	// share, and Matters is the number of matters of each team.
	SharedPrefixTokens int
	PrefixesPerTeam    int
	// ServiceTime is the mean time of a plain service's call.
	ServiceTime time.Duration
	// RunTimeout is how long a caller waits for the whole answer beyond the
	// profile's wait limit.
	RunTimeout time.Duration
}

// Deployments returns the two deployments.
func Deployments() []Deployment {
	return []Deployment{Kelisim(), Lindqvist()}
}

// Kelisim returns the deployment that books mediation rooms.
func Kelisim() Deployment {
	return Deployment{
		Name:        "kelisim",
		Zones:       []string{"alm-a", "alm-b", "shy-a", "shy-b"},
		ZoneDelay:   time.Millisecond,
		ClientDelay: time.Millisecond,
		Hosts:       9,
		Teams:       10,
		Engines:     engines(12, "drafting"),
		Services:    services(4, "booking"),
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

// Lindqvist returns the deployment that serves brides and artists.
func Lindqvist() Deployment {
	return Deployment{
		Name:        "lindqvist",
		Zones:       []string{"svea-a", "svea-b", "svea-c"},
		ZoneDelay:   500 * time.Microsecond,
		ClientDelay: 3 * time.Millisecond,
		Hosts:       9,
		Teams:       10,
		Engines:     engines(18, "advice"),
		Services:    services(3, "calendar"),
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

func engines(count int, pool string) EngineSettings {
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

func services(count int, pool string) ServiceSettings {
	return ServiceSettings{
		Count:          count,
		Pool:           pool,
		Slots:          4,
		ReportInterval: time.Second,
		ReportLag:      500 * time.Millisecond,
	}
}

func modelSpec(name, pool string, tier profile.Tier, target, wait time.Duration, value, share float64) profile.Spec {
	return profile.Spec{
		Name:        name,
		Class:       name,
		Kind:        profile.KindModel,
		Pool:        pool,
		Tier:        tier,
		TargetMs:    target.Milliseconds(),
		Measure:     profile.MeasureFirstToken,
		WaitLimitMs: wait.Milliseconds(),
		Idempotent:  true,
		Value:       value,
		MinShare:    share,
	}
}

func serviceSpec(name, pool string, tier profile.Tier, target time.Duration, idempotent bool, value, share float64) profile.Spec {
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
		MinShare:    share,
	}
}

// slotTimeRounds is how often slotTime corrects its estimate.
const slotTimeRounds = 20

// slotTime returns the mean time that a request of the class holds a slot of an
// endpoint that is fully used by the class. Reading a prompt slows the other
// requests' tokens, so the time depends on the rate that follows from it.
func (d *Deployment) slotTime(class *Class) time.Duration {
	if class.Spec.Kind == profile.KindService {
		return class.ServiceTime
	}
	settings := &d.Engines
	prefill := float64(class.PromptTokens-class.SharedPrefixTokens) / settings.PrefillTokensPerSecond
	decode := settings.TokenTime.Seconds() * (1 + settings.BatchSlowdown) * float64(class.OutputTokens)
	total := prefill + decode
	for range slotTimeRounds {
		prefilling := min(float64(settings.Slots)/total*prefill, 1)
		next := prefill + decode*(1+settings.PrefillSlowdown*prefilling/(1+settings.BatchSlowdown))
		total = (total + next) / 2
	}
	return time.Duration(total * float64(time.Second))
}

// slots returns the slots of the class's pool with all endpoints alive.
func (d *Deployment) slots(class *Class) int {
	if class.Spec.Kind == profile.KindService {
		return d.Services.Count * d.Services.Slots
	}
	return d.Engines.Count * d.Engines.Slots
}

// capacity returns how many requests of the class alone the pool can serve a
// second with all endpoints alive.
func (d *Deployment) capacity(class *Class) float64 {
	return float64(d.slots(class)) / d.slotTime(class).Seconds()
}

// patience returns how long a caller waits for the whole answer.
func (c *Class) patience() time.Duration {
	return time.Duration(c.Spec.WaitLimitMs)*time.Millisecond + c.RunTimeout
}
