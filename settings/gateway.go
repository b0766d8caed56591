package settings

import (
	"slices"
	"time"
)

// Gateway holds the settings of a gateway host, which serves the routes of a
// configuration kept in a store.
type Gateway struct {
	EnvironmentFile string `long:"environment-file" env:"CACTUSWELL_ENVIRONMENT_FILE" description:"file of lines NAME=value that go before the environment and are read again when they change"`

	Name string `long:"name" env:"CACTUSWELL_NAME" description:"name of this host, unique in the fleet"`
	Zone string `long:"zone" env:"CACTUSWELL_ZONE" description:"availability zone of this host"`

	CallerListen string   `long:"caller-listen" env:"CACTUSWELL_CALLER_LISTEN" description:"IP:port on which callers are served"`
	ReadyListen  string   `long:"ready-listen" env:"CACTUSWELL_READY_LISTEN" description:"IP:port on which readiness and metrics are served"`
	ReadyPath    string   `long:"ready-path" env:"CACTUSWELL_READY_PATH" description:"path of the readiness check" default:"/ready"`
	PeerListen   string   `long:"peer-listen" env:"CACTUSWELL_PEER_LISTEN" description:"IP:port on which other hosts are served, over TCP and UDP; empty for none"`
	Peers        []string `long:"peer" env:"CACTUSWELL_PEERS" env-delim:"," description:"IP:port of another host's peer listener; may be given many times"`
	HeaderNames  string   `long:"header-names" env:"CACTUSWELL_HEADER_NAMES" description:"names of the headers in which calls say what they are: own or platform" default:"own"`
	StoreAddress string   `long:"store-address" env:"CACTUSWELL_STORE_ADDRESS" description:"IP:port of the platform's metadata store"`

	MemoryMB      int           `long:"memory-mb" env:"CACTUSWELL_MEMORY_MB" description:"memory that this process may use, in MB" default:"128"`
	MaxResponseMB int           `long:"max-response-mb" env:"CACTUSWELL_MAX_RESPONSE_MB" description:"largest answer of an endpoint, in MB; a larger one is cut" default:"64"`
	LinkMbps      float64       `long:"link-mbps" env:"CACTUSWELL_LINK_MBPS" description:"bandwidth of this host's network link, in Mbit/s; the hosts with the fastest links become relays; 0 if not known" default:"0"`
	BalancerLag   time.Duration `long:"balancer-lag" env:"CACTUSWELL_BALANCER_LAG" description:"how long the balancer goes on sending connections to a host that is no longer ready" default:"3s"`
	StopTimeout   time.Duration `long:"stop-timeout" env:"CACTUSWELL_STOP_TIMEOUT" description:"longest time from the signal to stop to the end" default:"7600ms"`
	IdleTimeout   time.Duration `long:"idle-timeout" env:"CACTUSWELL_IDLE_TIMEOUT" description:"longest time that a caller's connection may be idle" default:"75s"`

	BudgetWindow time.Duration `long:"budget-window" env:"CACTUSWELL_BUDGET_WINDOW" description:"length of the windows of the fleet's retry budget" default:"10s"`
	BudgetRatio  float64       `long:"budget-ratio" env:"CACTUSWELL_BUDGET_RATIO" description:"repeats for each call that the fleet's retry budget allows in a window" default:"0.1"`
	BudgetSlack  float64       `long:"budget-slack" env:"CACTUSWELL_BUDGET_SLACK" description:"repeats that the fleet's retry budget allows in a window besides" default:"20"`

	MaxFDs int `long:"max-fds" env:"CACTUSWELL_MAX_FDS" description:"file descriptors that this process may use; 0 if not limited" default:"0"`

	ControlAddress  string        `long:"control-address" env:"CACTUSWELL_CONTROL_ADDRESS" description:"IP:port of the platform's control API; empty for none"`
	SingletonDuties []string      `long:"singleton-duty" env:"CACTUSWELL_SINGLETON_DUTIES" env-delim:"," description:"duty that one host of the fleet performs at a time: usage or autoscale; may be given many times"`
	ControlRate     float64       `long:"control-rate" env:"CACTUSWELL_CONTROL_RATE" description:"calls a second that the control API accepts from the whole fleet" default:"10"`
	LeaseTime       time.Duration `long:"lease-time" env:"CACTUSWELL_LEASE_TIME" description:"length of the lease on the singleton duties" default:"3s"`
	UsageWindow     time.Duration `long:"usage-window" env:"CACTUSWELL_USAGE_WINDOW" description:"length of the windows of usage reports" default:"5s"`
	UsageDelay      time.Duration `long:"usage-delay" env:"CACTUSWELL_USAGE_DELAY" description:"time from the end of a window until its usage report is due" default:"10s"`
}

// Values of Gateway.SingletonDuties.
const (
	DutyUsage     = "usage"
	DutyAutoscale = "autoscale"
)

// HasDuty reports whether the fleet performs a singleton duty.
func (g *Gateway) HasDuty(duty string) bool {
	return g.ControlAddress != "" && slices.Contains(g.SingletonDuties, duty)
}

// Values of Gateway.HeaderNames.
const (
	HeaderNamesOwn      = "own"
	HeaderNamesPlatform = "platform"
)

// Bounds of Gateway.MemoryMB.
const (
	minMemoryMB = 32
	maxMemoryMB = 1 << 20
)

// Bounds of Gateway.MaxResponseMB.
const (
	minResponseMB = 1
	maxResponseMB = 1 << 20
)

// maxLinkMbps bounds Gateway.LinkMbps.
const maxLinkMbps = 1e7

// Check returns an *InvalidError that lists all invalid settings, or nil.
func (g *Gateway) Check() error {
	c := &checker{}
	c.checkName("name", g.Name)
	c.checkName("zone", g.Zone)
	c.checkAddress("caller-listen", g.CallerListen)
	c.checkAddress("ready-listen", g.ReadyListen)
	c.checkAddress("store-address", g.StoreAddress)
	if g.PeerListen != "" {
		c.checkAddress("peer-listen", g.PeerListen)
	}
	if g.HeaderNames != HeaderNamesOwn && g.HeaderNames != HeaderNamesPlatform {
		c.add("header-names", g.HeaderNames, "own or platform")
	}
	for _, peer := range g.Peers {
		c.checkAddress("peer", peer)
	}
	if len(g.ReadyPath) == 0 || g.ReadyPath[0] != '/' {
		c.add("ready-path", g.ReadyPath, "a path that begins with a slash")
	}
	c.checkInt("memory-mb", int64(g.MemoryMB), minMemoryMB, maxMemoryMB, "32 to 1048576 MB")
	c.checkInt("max-response-mb", int64(g.MaxResponseMB), minResponseMB, maxResponseMB, "1 to 1048576 MB")
	c.checkFloat("link-mbps", g.LinkMbps, maxLinkMbps)
	c.checkDuration("balancer-lag", g.BalancerLag, 0, 5*time.Minute)
	c.checkDuration("stop-timeout", g.StopTimeout, time.Second, time.Hour)
	c.checkDuration("idle-timeout", g.IdleTimeout, time.Second, time.Hour)
	c.checkDuration("budget-window", g.BudgetWindow, time.Second, time.Hour)
	c.checkFloat("budget-ratio", g.BudgetRatio, 1)
	c.checkFloat("budget-slack", g.BudgetSlack, 1e6)
	c.checkInt("max-fds", int64(g.MaxFDs), 0, maxMaxFDs, "0 to 1048576")
	g.checkControl(c)
	if len(c.violations) == 0 {
		return nil
	}
	return &InvalidError{Violations: c.violations}
}

// maxMaxFDs bounds Gateway.MaxFDs, and maxControlRate Gateway.ControlRate.
const (
	maxMaxFDs      = 1 << 20
	maxControlRate = 1e6
)

func (g *Gateway) checkControl(c *checker) {
	if g.ControlAddress == "" {
		return
	}
	c.checkAddress("control-address", g.ControlAddress)
	for _, duty := range g.SingletonDuties {
		if duty != DutyUsage && duty != DutyAutoscale {
			c.add("singleton-duty", duty, "usage or autoscale")
		}
	}
	c.checkFloat("control-rate", g.ControlRate, maxControlRate)
	c.checkDuration("lease-time", g.LeaseTime, 500*time.Millisecond, time.Hour)
	c.checkDuration("usage-window", g.UsageWindow, time.Second, 24*time.Hour)
	c.checkDuration("usage-delay", g.UsageDelay, time.Second, 24*time.Hour)
}
