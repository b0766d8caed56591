// Package settings holds the settings of an entry host. Each is a flag and an
// environment variable; all are validated together at startup.
//
// # Usage
//
//	var s settings.Settings
//	parser := flags.NewParser(&s, flags.Default)
//	...
//	if err := s.Check(); err != nil {
//		// err is an *InvalidError that lists all invalid settings
//	}
package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"strings"
	"time"
)

// Settings holds the settings of one entry host.
type Settings struct {
	Name   string `long:"name" env:"CACTUSWELL_NAME" description:"name of this host, unique in the fleet" required:"yes"`
	Zone   string `long:"zone" env:"CACTUSWELL_ZONE" description:"availability zone of this host" required:"yes"`
	Region string `long:"region" env:"CACTUSWELL_REGION" description:"region of this host" default:"default"`

	CallerListen   string `long:"caller-listen" env:"CACTUSWELL_CALLER_LISTEN" description:"IP:port on which callers are served" default:"127.0.0.1:8080"`
	PeerListen     string `long:"peer-listen" env:"CACTUSWELL_PEER_LISTEN" description:"IP:port on which other hosts are served" default:"127.0.0.1:8081"`
	OperatorListen string `long:"operator-listen" env:"CACTUSWELL_OPERATOR_LISTEN" description:"IP:port on which operators are served" default:"127.0.0.1:8082"`

	LogURL      string   `long:"log-url" env:"CACTUSWELL_LOG_URL" description:"base URL of the platform's log service" required:"yes"`
	HostListURL string   `long:"host-list-url" env:"CACTUSWELL_HOST_LIST_URL" description:"base URL of the platform's host list" required:"yes"`
	Peers       []string `long:"peer" env:"CACTUSWELL_PEERS" env-delim:"," description:"IP:port of another host's peer listener; may be given many times"`

	MemoryMB int `long:"memory-mb" env:"CACTUSWELL_MEMORY_MB" description:"memory that this process may use, in MB, which bounds callers' connections; 0 if not limited" default:"0"`
	MaxFDs   int `long:"max-fds" env:"CACTUSWELL_MAX_FDS" description:"file descriptors that this process may use; 0 for the operating system's limit" default:"0"`

	BodyLimit      int64         `long:"body-limit" env:"CACTUSWELL_BODY_LIMIT" description:"largest body of a request, in bytes" default:"1048576"`
	BodyTime       time.Duration `long:"body-time" env:"CACTUSWELL_BODY_TIME" description:"longest time for a body to arrive" default:"10s"`
	BalancerLag    time.Duration `long:"balancer-lag" env:"CACTUSWELL_BALANCER_LAG" description:"how long the balancer goes on sending requests to a host that is no longer ready" default:"5s"`
	StopTimeout    time.Duration `long:"stop-timeout" env:"CACTUSWELL_STOP_TIMEOUT" description:"longest wait for requests in flight at a stop" default:"10m"`
	StaleBound     time.Duration `long:"stale-bound" env:"CACTUSWELL_STALE_BOUND" description:"how long hosts that agree among themselves stay ready without word from the log" default:"1h"`
	LogRetention   time.Duration `long:"log-retention" env:"CACTUSWELL_LOG_RETENTION" description:"how long the log keeps records" default:"24h"`
	ListInterval   time.Duration `long:"list-interval" env:"CACTUSWELL_LIST_INTERVAL" description:"time between two reads of the host list" default:"1s"`
	ReportInterval time.Duration `long:"report-interval" env:"CACTUSWELL_REPORT_INTERVAL" description:"time between two reads of an endpoint's load" default:"500ms"`

	ReportReads int `long:"report-reads" env:"CACTUSWELL_REPORT_READS" description:"most reads of endpoints' load a second; with more endpoints each is read less often" default:"64"`

	TLSCert        string `long:"tls-cert" env:"CACTUSWELL_TLS_CERT" description:"file with this host's certificate chain, PEM"`
	TLSKey         string `long:"tls-key" env:"CACTUSWELL_TLS_KEY" description:"file with the certificate's key, PEM"`
	TLSCA          string `long:"tls-ca" env:"CACTUSWELL_TLS_CA" description:"file with the certificates that hosts and operators must be signed by, PEM"`
	EndpointTLS    bool   `long:"endpoint-tls" env:"CACTUSWELL_ENDPOINT_TLS" description:"speak TLS to the endpoints; needs --tls-cert"`
	AllowPlaintext bool   `long:"allow-plaintext" env:"CACTUSWELL_ALLOW_PLAINTEXT" description:"listen beyond loopback without TLS"`
}

// Violation describes one invalid setting.
type Violation struct {
	Flag    string
	Value   string
	Allowed string
}

// InvalidError lists all invalid settings.
type InvalidError struct {
	Violations []Violation
}

// Error lists the invalid settings, one per line.
func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Violations)+1)
	lines = append(lines, "settings are not valid:")
	for _, violation := range e.Violations {
		lines = append(lines, fmt.Sprintf("  --%s is %q; allowed: %s", violation.Flag, violation.Value, violation.Allowed))
	}
	return strings.Join(lines, "\n")
}

// UsesTLS reports whether the host uses TLS.
func (s *Settings) UsesTLS() bool {
	return s.TLSCert != ""
}

// Check returns an *InvalidError that lists all invalid settings, or nil.
func (s *Settings) Check() error {
	c := &checker{}
	c.checkName("name", s.Name)
	c.checkName("zone", s.Zone)
	c.checkName("region", s.Region)
	c.checkListen("caller-listen", s.CallerListen, s)
	c.checkListen("peer-listen", s.PeerListen, s)
	c.checkListen("operator-listen", s.OperatorListen, s)
	c.checkURL("log-url", s.LogURL)
	c.checkURL("host-list-url", s.HostListURL)
	for _, peer := range s.Peers {
		c.checkAddress("peer", peer)
	}
	if s.MemoryMB != 0 {
		c.checkInt("memory-mb", int64(s.MemoryMB), minMemoryMB, maxMemoryMB, "0 or 32 to 1048576 MB")
	}
	c.checkInt("max-fds", int64(s.MaxFDs), 0, maxMaxFDs, "0 to 1048576")
	c.checkInt("body-limit", s.BodyLimit, 1024, 64<<20, "1024 to 67108864 bytes")
	c.checkDuration("body-time", s.BodyTime, time.Second, 5*time.Minute)
	c.checkDuration("balancer-lag", s.BalancerLag, 0, 5*time.Minute)
	c.checkDuration("stop-timeout", s.StopTimeout, time.Second, time.Hour)
	c.checkDuration("stale-bound", s.StaleBound, 10*time.Second, 24*time.Hour)
	c.checkDuration("log-retention", s.LogRetention, time.Second, 365*24*time.Hour)
	c.checkDuration("list-interval", s.ListInterval, 100*time.Millisecond, time.Minute)
	c.checkDuration("report-interval", s.ReportInterval, 50*time.Millisecond, time.Minute)
	c.checkInt("report-reads", int64(s.ReportReads), 1, 10000, "1 to 10000")
	c.checkTLS(s)
	if len(c.violations) == 0 {
		return nil
	}
	return &InvalidError{Violations: c.violations}
}

type checker struct {
	violations []Violation
}

func (c *checker) add(flag, value, allowed string) {
	c.violations = append(c.violations, Violation{
		Flag:    flag,
		Value:   value,
		Allowed: allowed,
	})
}

func (c *checker) checkName(flag, value string) {
	valid := value != "" && len(value) <= 64
	for _, char := range value {
		if !strings.ContainsRune("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789.-_", char) {
			valid = false
		}
	}
	if !valid {
		c.add(flag, value, "1 to 64 letters, digits, '.', '-' or '_'")
	}
}

func (c *checker) checkAddress(flag, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.add(flag, value, "IP:port")
	}
}

func (c *checker) checkListen(flag, value string, s *Settings) {
	address, err := netip.ParseAddrPort(value)
	switch {
	case err != nil:
		c.add(flag, value, "IP:port")
	case !address.Addr().IsLoopback() && !s.UsesTLS() && !s.AllowPlaintext:
		c.add(flag, value, "a loopback address, unless --tls-cert or --allow-plaintext is set")
	}
}

func (c *checker) checkURL(flag, value string) {
	parsed, err := url.Parse(value)
	if err != nil || (parsed.Scheme != "http" && parsed.Scheme != "https") || parsed.Host == "" {
		c.add(flag, value, "an http or https URL")
	}
}

func (c *checker) checkInt(flag string, value, lowest, highest int64, allowed string) {
	if value < lowest || value > highest {
		c.add(flag, fmt.Sprint(value), allowed)
	}
}

func (c *checker) checkDuration(flag string, value, lowest, highest time.Duration) {
	if value < lowest || value > highest {
		c.add(flag, value.String(), fmt.Sprintf("%v to %v", lowest, highest))
	}
}

func (c *checker) checkFloat(flag string, value, highest float64) {
	if !(value >= 0 && value <= highest) {
		c.add(flag, fmt.Sprint(value), fmt.Sprintf("0 to %v", highest))
	}
}

func (c *checker) checkTLS(s *Settings) {
	if s.EndpointTLS && !s.UsesTLS() {
		c.add("endpoint-tls", "true", "false, unless --tls-cert is set")
	}
	if s.TLSCert == "" && s.TLSKey == "" && s.TLSCA == "" {
		return
	}
	if s.TLSCert == "" {
		c.add("tls-cert", "", "a file, since another TLS setting is given")
	}
	if s.TLSKey == "" {
		c.add("tls-key", "", "a file, since another TLS setting is given")
	}
	if s.TLSCA == "" {
		c.add("tls-ca", "", "a file, since another TLS setting is given")
	}
}

// Defaults returns the default values of all settings that have one.
func Defaults() Settings {
	return Settings{
		Region:         "default",
		CallerListen:   "127.0.0.1:8080",
		PeerListen:     "127.0.0.1:8081",
		OperatorListen: "127.0.0.1:8082",
		BodyLimit:      1 << 20,
		BodyTime:       10 * time.Second,
		BalancerLag:    5 * time.Second,
		StopTimeout:    10 * time.Minute,
		StaleBound:     time.Hour,
		LogRetention:   24 * time.Hour,
		ListInterval:   time.Second,
		ReportInterval: 500 * time.Millisecond,
		ReportReads:    64,
	}
}
