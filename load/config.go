// Package load drives callers against entry hosts at chosen rates and bursts,
// and reports how well the promises were kept.
//
// # Usage
//
//	driver, err := load.New(load.Config{
//		Hosts:    []string{"127.0.0.1:8080"},
//		Services: []string{"127.0.0.1:9001"},
//		Firm:     deployment.Kelisim(),
//		Streams: []load.Stream{
//			{Profile: "schedulingDraft", Rate: 20},
//		},
//		Duration: 30 * time.Second,
//		Seed:     1,
//	})
//	report, err := driver.Run(ctx)
//	report.WriteText(os.Stdout)
//
// It knows the stand-ins: an engine's answer tells whose it is and whether it
// is whole, and a service tells how often each booking was run.
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
	// MaxRate bounds the requests a second of one stream.
	MaxRate = 5000
	// MaxDuration bounds a run.
	MaxDuration = time.Hour
	// DefaultMaxOpen bounds the requests in flight.
	DefaultMaxOpen = 4000
)

// Config says what to drive.
type Config struct {
	// Hosts are the addresses on which entry hosts serve callers.
	Hosts []string
	// Services are the stand-in plain services that are asked at the end how
	// often each booking was run.
	Services []string
	// Engines are the stand-in engines that are asked at the end how many
	// tokens they generated.
	Engines []string
	Firm    deployment.Deployment
	Streams []Stream
	// Duration is how long requests are started. Those in flight at its end
	// are waited for.
	Duration time.Duration
	// Seed fixes the arrivals.
	Seed uint64
	// RunID distinguishes the references and keys of this run from those of other
	// runs with the same seed against the same services.
	RunID string
	// KeyShare is the part of the bookings, from 0 to 1, that carry a key of
	// the caller's own and are repeated at another host until the outcome is
	// known.
	KeyShare float64
	// MaxOpen bounds the requests in flight, or is zero for DefaultMaxOpen.
	MaxOpen int
}

// Stream is the requests of one profile.
type Stream struct {
	Profile string
	// Rate is the mean of the requests a second.
	Rate   float64
	Bursts []Burst
}

// Burst multiplies a stream's rate for a while.
type Burst struct {
	Start  time.Duration
	Length time.Duration
	Factor float64
}

// ConfigError says what is wrong with a Config.
type ConfigError struct {
	Field   string
	Value   any
	Allowed string
}

// Error names the field, its value and what is allowed.
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

// check returns a *ConfigError for the first fault.
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
		if _, ok := c.Firm.Profile(stream.Profile); !ok {
			return configError("stream", stream.Profile, "a profile of "+c.Firm.Name)
		}
		if stream.Rate <= 0 || stream.Rate > MaxRate {
			return configError("rate", stream.Rate, "above 0, up to 5000 a second")
		}
	}
	return nil
}

// ParseStream reads a stream written as profile=rate, followed by any number of
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
		var one string
		one, bursts, _ = strings.Cut(bursts, "@")
		burst, err := parseBurst(one)
		if err != nil {
			return Stream{}, err
		}
		stream.Bursts = append(stream.Bursts, burst)
	}
	return stream, nil
}

func parseBurst(text string) (Burst, error) {
	wrong := configError("burst", text, "start+length*factor, such as 10s+5s*3")
	start, rest, ok := strings.Cut(text, "+")
	if !ok {
		return Burst{}, wrong
	}
	length, factor, ok := strings.Cut(rest, "*")
	if !ok {
		return Burst{}, wrong
	}
	var burst Burst
	var err error
	if burst.Start, err = time.ParseDuration(start); err != nil {
		return Burst{}, wrong
	}
	if burst.Length, err = time.ParseDuration(length); err != nil {
		return Burst{}, wrong
	}
	if burst.Factor, err = strconv.ParseFloat(factor, 64); err != nil || burst.Factor <= 0 {
		return Burst{}, wrong
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
