package fleet

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/gravitational/trace"

	"cactuswell/core/profile"
	"cactuswell/deployment"
	"cactuswell/io/operator/operatorv1"
	"cactuswell/load"
)

const (
	// idleSettleTime is the time between the start of a fleet and the measurement of
	// its idle usage.
	idleSettleTime = 20 * time.Second
	// shortAnswerTokens and longAnswerTokens are the answer lengths in tokens.
	shortAnswerTokens = 10
	longAnswerTokens  = 100
)

// IdleUsage is the resource usage of hosts without callers.
type IdleUsage struct {
	Hosts int
	// CPUShare is the mean use of processor time of a host, as a fraction of a core.
	CPUShare float64
	// MeanResident is the mean resident memory of a host in bytes, and MaxResident the
	// largest resident memory of any host.
	MeanResident float64
	MaxResident  uint64
	// PeerBytesPerSecond is the mean number of bytes per second that a host exchanges
	// with its peers, in both directions.
	PeerBytesPerSecond float64
}

// hostDump decodes the counters of a host's dump that the measurement reads.
type hostDump struct {
	Node struct {
		Counters struct {
			BytesSent     uint64 `json:"bytesSent"`
			BytesReceived uint64 `json:"bytesReceived"`
		} `json:"counters"`
	} `json:"node"`
}

// MeasureIdleUsage waits for idleSettleTime, then measures the usage of all hosts over
// the given duration.
func (r *Run) MeasureIdleUsage(ctx context.Context, duration time.Duration) (IdleUsage, error) {
	pause(ctx, idleSettleTime)
	before, bytesBefore, err := r.measureHosts(ctx)
	if err != nil {
		return IdleUsage{}, err
	}
	pause(ctx, duration)
	after, bytesAfter, err := r.measureHosts(ctx)
	if err != nil {
		return IdleUsage{}, err
	}
	sample := IdleUsage{
		Hosts: len(r.hosts),
	}
	for i := range after {
		elapsed := after[i].MeasuredAt.Sub(before[i].MeasuredAt).Seconds()
		sample.CPUShare += (after[i].CPU - before[i].CPU).Seconds() / elapsed / float64(len(after))
		sample.PeerBytesPerSecond += float64(bytesAfter[i]-bytesBefore[i]) / elapsed / float64(len(after))
		sample.MeanResident += float64(after[i].Resident) / float64(len(after))
		sample.MaxResident = max(sample.MaxResident, after[i].Resident)
	}
	return sample, nil
}

// measureHosts returns, for each host, its usage and the number of bytes that it has
// exchanged with its peers.
func (r *Run) measureHosts(ctx context.Context) ([]Usage, []uint64, error) {
	usages := make([]Usage, len(r.hosts))
	bytes := make([]uint64, len(r.hosts))
	for i := range r.hosts {
		response, err := r.operator(i).Service().Dump(ctx, connect.NewRequest(&operatorv1.DumpRequest{}))
		if err != nil {
			return nil, nil, trace.Wrap(err)
		}
		var dump hostDump
		if err := json.Unmarshal([]byte(response.Msg.GetJson()), &dump); err != nil {
			return nil, nil, trace.Wrap(err)
		}
		bytes[i] = dump.Node.Counters.BytesSent + dump.Node.Counters.BytesReceived
		if usages[i], err = r.ReadHostUsage(i); err != nil {
			return nil, nil, err
		}
	}
	return usages, bytes, nil
}

// ServingUsage is the load that one host served and the host's resource usage.
type ServingUsage struct {
	// RequestsPerSecond counts completed requests, and TokensPerSecond the tokens of
	// complete answers.
	RequestsPerSecond float64
	TokensPerSecond   float64
	// CPUShare is the use of processor time as a fraction of a core.
	CPUShare float64
	// Resident is the resident memory in bytes.
	Resident uint64
	// AllocationsPerSecond is the number of objects allocated per second.
	AllocationsPerSecond float64
}

// ServingDeployment returns a deployment with fast engines, for measuring one host.
func ServingDeployment() deployment.Deployment {
	kelisim := deployment.Kelisim()
	kelisim.Pools = []deployment.Pool{
		{
			Name:          "drafting",
			Kind:          profile.KindModel,
			Count:         8,
			Slots:         64,
			TokenInterval: 5 * time.Millisecond,
			AnswerTokens:  4 * longAnswerTokens,
		},
	}
	kelisim.Profiles = []profile.Spec{
		servingProfile("short", shortAnswerTokens),
		servingProfile("long", longAnswerTokens),
	}
	return kelisim
}

func servingProfile(name string, maxTokens int) profile.Spec {
	return profile.Spec{
		Name:        name,
		Class:       name,
		Kind:        profile.KindModel,
		Pool:        "drafting",
		Tier:        profile.TierInteractive,
		TargetMs:    1000,
		WaitLimitMs: 10000,
		Idempotent:  true,
		MaxTokens:   maxTokens,
	}
}

// MeasureServingUsage sends requests of one profile to the first host and measures the host.
// The sample includes what the host uses without callers.
func (r *Run) MeasureServingUsage(ctx context.Context, profileName string, rate float64, duration time.Duration) (ServingUsage, error) {
	config := load.Config{
		Hosts:      []string{r.hosts[0].process.addresses["callers"]},
		Deployment: r.config.Deployment,
		Streams: []load.Stream{
			{
				Profile: profileName,
				Rate:    rate,
			},
		},
		Duration: duration,
		Seed:     1,
	}
	driver, err := load.New(config)
	if err != nil {
		return ServingUsage{}, err
	}
	before, err := r.ReadHostUsage(0)
	if err != nil {
		return ServingUsage{}, err
	}
	mallocsBefore, err := r.fetchMallocCount(ctx)
	if err != nil {
		return ServingUsage{}, err
	}
	report, err := driver.Run(ctx)
	if err != nil {
		return ServingUsage{}, err
	}
	after, err := r.ReadHostUsage(0)
	if err != nil {
		return ServingUsage{}, err
	}
	mallocsAfter, err := r.fetchMallocCount(ctx)
	if err != nil {
		return ServingUsage{}, err
	}
	elapsed := after.MeasuredAt.Sub(before.MeasuredAt).Seconds()
	return ServingUsage{
		RequestsPerSecond:    float64(report.Classes[0].Completed) / elapsed,
		TokensPerSecond:      float64(report.TokensDelivered) / elapsed,
		CPUShare:             (after.CPU - before.CPU).Seconds() / elapsed,
		Resident:             after.Resident,
		AllocationsPerSecond: float64(mallocsAfter-mallocsBefore) / elapsed,
	}, nil
}

// hostVars decodes the exported variable of a host that the measurement reads.
type hostVars struct {
	Mallocs uint64 `json:"mallocs"`
}

// fetchMallocCount returns how many objects the first host has allocated.
func (r *Run) fetchMallocCount(ctx context.Context) (uint64, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet,
		"http://"+r.hosts[0].process.addresses["operators"]+"/debug/vars", nil)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	response, err := r.http.Do(request)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	var vars hostVars
	err = json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(&vars)
	return vars.Mallocs, trace.Wrap(err)
}
