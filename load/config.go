// Package load generates requests to entry hosts at configured rates with bursts,
// and reports latencies, goodput and breaches of guarantees.
//
// # Usage
//
//	driver, err := load.New(load.Config{
//		Hosts:      []string{"127.0.0.1:8080"},
//		Services:   []string{"127.0.0.1:9001"},
//		Deployment: deployment.Kelisim(),
//		Streams: []load.Stream{
//			{Profile: "schedulingDraft", Rate: 20},
//		},
//		Duration: 30 * time.Second,
//		Seed:     1,
//	})
//	report, err := driver.Run(ctx)
//	report.WriteText(os.Stdout)
//
// The endpoints must be stand-ins: the answer of a stand-in engine shows which
// prompt it belongs to and whether it is complete, and a stand-in service reports
// how often it ran each booking.
package load

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"cactuswell/deployment"
)

// Limits on a run.
const (
	// MaxRate is the maximum rate of one stream in requests per second.
	MaxRate = 5000
	// MaxDuration is the maximum duration of a run.
	MaxDuration = time.Hour
	// DefaultMaxOpen is the default limit on requests in flight.
	DefaultMaxOpen = 4000
)

// Config describes a run.
type Config struct {
	// Hosts are the addresses on which entry hosts serve callers.
	Hosts []string
	// Services are the addresses of the stand-in plain services that are queried
	// at the end for how often each booking was run.
	Services []string
	// Engines are the addresses of the stand-in engines that are queried before
	// and after the run for the number of generated tokens.
	Engines []string
	// Deployment is the deployment whose profiles and teams are used.
	Deployment deployment.Deployment
	Streams    []Stream
	// Duration is the time during which requests are started. The run then waits
	// for those in flight.
	Duration time.Duration
	// Seed is the seed of the arrivals.
	Seed uint64
	// RunID makes the references and keys of this run differ from those of other
	// runs with the same seed against the same services.
	RunID string
	// KeyShare is the share of the bookings, from 0 to 1, that carry an idempotency
	// key of the caller and are retried at another host until the outcome is known.
	KeyShare float64
	// MaxOpen limits the requests in flight. Zero means DefaultMaxOpen.
	MaxOpen int
}

// Stream describes the requests of one profile.
type Stream struct {
	Profile string
	// Rate is the mean rate in requests per second.
	Rate   float64
	Bursts []Burst
}

// Burst multiplies a stream's rate by Factor for Length, beginning at Start after the
// start of the run.
type Burst struct {
	Start  time.Duration
	Length time.Duration
	Factor float64
}

// ConfigError reports an invalid value in a Config.
type ConfigError struct {
	Field   string
	Value   any
	Allowed string
}

// Error returns the message with the field, its value and the allowed values.
func (e *ConfigError) Error() string {
	return fmt.Sprintf("load setting %s is %v; allowed: %s", e.Field, e.Value, e.Allowed)
}

func configError(field string, value any, allowed string) *ConfigError {
	return &ConfigError{
		Field:   field,
		Value:   value,
		Allowed: allowed,
	}
}

// check returns a *ConfigError for the first invalid value.
func (c *Config) check() error {
	switch {
	case len(c.Hosts) == 0:
		return configError("hosts", 0, "at least one address")
	case len(c.Streams) == 0:
		return configError("streams", 0, "at least one stream")
	case c.Duration <= 0 || c.Duration > MaxDuration:
		return configError("duration", c.Duration, "up to 1h")
	case c.KeyShare < 0 || c.KeyShare > 1:
		return configError("keyShare", c.KeyShare, "0 to 1")
	}
	for _, stream := range c.Streams {
		if _, ok := c.Deployment.Profile(stream.Profile); !ok {
			return configError("stream", stream.Profile, "a profile of "+c.Deployment.Name)
		}
		if stream.Rate <= 0 || stream.Rate > MaxRate {
			return configError("rate", stream.Rate, "above 0, up to 5000 a second")
		}
	}
	return nil
}

// ParseStream parses a stream written as profile=rate, followed by any number of
// bursts written as @start+length*factor, such as
// "schedulingDraft=20@10s+5s*3". The error is a *ConfigError.
func ParseStream(text string) (Stream, error) {
	head, bursts, _ := strings.Cut(text, "@")
	name, rate, ok := strings.Cut(head, "=")
	if !ok {
		return Stream{}, configError("stream", text, "profile=rate[@start+length*factor]")
	}
	stream := Stream{
		Profile: name,
	}
	var err error
	if stream.Rate, err = strconv.ParseFloat(rate, 64); err != nil {
		return Stream{}, configError("rate", rate, "a number")
	}
	for bursts != "" {
		var next string
		next, bursts, _ = strings.Cut(bursts, "@")
		burst, err := parseBurst(next)
		if err != nil {
			return Stream{}, err
		}
		stream.Bursts = append(stream.Bursts, burst)
	}
	return stream, nil
}

func parseBurst(text string) (Burst, error) {
	invalid := configError("burst", text, "start+length*factor, such as 10s+5s*3")
	start, rest, ok := strings.Cut(text, "+")
	if !ok {
		return Burst{}, invalid
	}
	length, factor, ok := strings.Cut(rest, "*")
	if !ok {
		return Burst{}, invalid
	}
	var burst Burst
	var err error
	if burst.Start, err = time.ParseDuration(start); err != nil {
		return Burst{}, invalid
	}
	if burst.Length, err = time.ParseDuration(length); err != nil {
		return Burst{}, invalid
	}
	if burst.Factor, err = strconv.ParseFloat(factor, 64); err != nil || burst.Factor <= 0 {
		return Burst{}, invalid
	}
	return burst, nil
}

// rateAt returns the stream's rate at a time after the start.
func (s *Stream) rateAt(at time.Duration) float64 {
	rate := s.Rate
	for _, burst := range s.Bursts {
		if at >= burst.Start && at < burst.Start+burst.Length {
			rate *= burst.Factor
		}
	}
	return rate
}
