package fleet

import (
	"context"
	"encoding/json"
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
	// idleSettle is how long a fleet has to come to rest before it is measured.
	idleSettle = 20 * time.Second
	// shortAnswer and longAnswer are the answers' lengths in tokens.
	shortAnswer = 10
	longAnswer  = 100
)

// ControlSample is what hosts use without callers.
type ControlSample struct {
	Hosts int
	// CPUShare is the share of a core, the mean over the hosts.
	CPUShare float64
	// Resident is the mean memory of a host in bytes, and MaxResident the
	// largest one's.
	Resident    float64
	MaxResident uint64
	// PeerBytes is what a host sends and receives to and from peers a second,
	// the mean over the hosts.
	PeerBytes float64
}

// hostDump is the part of a host's dump that the measurement reads.
type hostDump struct {
	Node struct {
		Counters struct {
			BytesSent     uint64 `json:"bytesSent"`
			BytesReceived uint64 `json:"bytesReceived"`
		} `json:"counters"`
	} `json:"node"`
}

// MeasureControl lets the fleet come to rest and measures it for a while.
func (r *Run) MeasureControl(ctx context.Context, length time.Duration) (ControlSample, error) {
	pause(ctx, idleSettle)
	before, bytesBefore, err := r.usages(ctx)
	if err != nil {
		return ControlSample{}, err
	}
	pause(ctx, length)
	after, bytesAfter, err := r.usages(ctx)
	if err != nil {
		return ControlSample{}, err
	}
	sample := ControlSample{
		Hosts: len(r.hosts),
	}
	for i := range after {
		elapsed := after[i].At.Sub(before[i].At).Seconds()
		sample.CPUShare += (after[i].CPU - before[i].CPU).Seconds() / elapsed / float64(len(after))
		sample.PeerBytes += float64(bytesAfter[i]-bytesBefore[i]) / elapsed / float64(len(after))
		sample.Resident += float64(after[i].Resident) / float64(len(after))
		sample.MaxResident = max(sample.MaxResident, after[i].Resident)
	}
	return sample, nil
}

func (r *Run) usages(ctx context.Context) ([]Usage, []uint64, error) {
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
		if usages[i], err = r.HostUsage(i); err != nil {
			return nil, nil, err
		}
	}
	return usages, bytes, nil
}

// PathSample is what one host uses to serve a load.
type PathSample struct {
	// Requests and Tokens are the rates a second.
	Requests float64
	Tokens   float64
	CPUShare float64
	Resident uint64
	// Allocations is the number of objects allocated a second.
	Allocations float64
}

// PathDeployment returns a deployment of fast engines for measuring one host.
func PathDeployment() deployment.Deployment {
	firm := deployment.Kelisim()
	firm.Pools = []deployment.Pool{
		{
			Name:          "drafting",
			Kind:          profile.KindModel,
			Count:         8,
			Slots:         64,
			TokenInterval: 5 * time.Millisecond,
			AnswerTokens:  4 * longAnswer,
		},
	}
	firm.Profiles = []profile.Spec{
		pathProfile("short", shortAnswer),
		pathProfile("long", longAnswer),
	}
	return firm
}

func pathProfile(name string, maxTokens int) profile.Spec {
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

// MeasurePath drives the first host with one profile and measures it. The rest
// that the host uses without callers is part of the sample.
func (r *Run) MeasurePath(ctx context.Context, profileName string, rate float64, length time.Duration) (PathSample, error) {
	config := load.Config{
		Hosts: []string{r.hosts[0].process.addresses["callers"]},
		Firm:  r.config.Firm,
		Streams: []load.Stream{
			{
				Profile: profileName,
				Rate:    rate,
			},
		},
		Duration: length,
		Seed:     1,
	}
	driver, err := load.New(config)
	if err != nil {
		return PathSample{}, err
	}
	before, err := r.HostUsage(0)
	if err != nil {
		return PathSample{}, err
	}
	allocatedBefore, err := r.allocated(ctx)
	if err != nil {
		return PathSample{}, err
	}
	report, err := driver.Run(ctx)
	if err != nil {
		return PathSample{}, err
	}
	after, err := r.HostUsage(0)
	if err != nil {
		return PathSample{}, err
	}
	allocatedAfter, err := r.allocated(ctx)
	if err != nil {
		return PathSample{}, err
	}
	elapsed := after.At.Sub(before.At).Seconds()
	return PathSample{
		Requests:    float64(report.Classes[0].Completed) / elapsed,
		Tokens:      float64(report.TokensDelivered) / elapsed,
		CPUShare:    (after.CPU - before.CPU).Seconds() / elapsed,
		Resident:    after.Resident,
		Allocations: float64(allocatedAfter-allocatedBefore) / elapsed,
	}, nil
}

// hostVars is the part of a host's variables that the measurement reads.
type hostVars struct {
	Mallocs uint64 `json:"mallocs"`
}

// allocated asks the first host how many objects it has allocated.
func (r *Run) allocated(ctx context.Context) (uint64, error) {
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
	err = json.NewDecoder(response.Body).Decode(&vars)
	return vars.Mallocs, trace.Wrap(err)
}
