package settings

import "time"

// Gateway are the settings of a host that serves routes of a configuration kept
// in a store.
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

	MemoryMB    int           `long:"memory-mb" env:"CACTUSWELL_MEMORY_MB" description:"memory that this process may use, in MB" default:"128"`
	BalancerLag time.Duration `long:"balancer-lag" env:"CACTUSWELL_BALANCER_LAG" description:"how long the balancer goes on sending connections to a host that is no longer ready" default:"3s"`
	StopTimeout time.Duration `long:"stop-timeout" env:"CACTUSWELL_STOP_TIMEOUT" description:"longest time from the signal to stop to the end" default:"7600ms"`
	IdleTimeout time.Duration `long:"idle-timeout" env:"CACTUSWELL_IDLE_TIMEOUT" description:"longest time that a caller's connection may be idle" default:"75s"`

	BudgetWindow time.Duration `long:"budget-window" env:"CACTUSWELL_BUDGET_WINDOW" description:"length of the windows of the fleet's retry budget" default:"10s"`
	BudgetRatio  float64       `long:"budget-ratio" env:"CACTUSWELL_BUDGET_RATIO" description:"repeats for each call that the fleet's retry budget allows in a window" default:"0.1"`
	BudgetSlack  float64       `long:"budget-slack" env:"CACTUSWELL_BUDGET_SLACK" description:"repeats that the fleet's retry budget allows in a window besides" default:"20"`
}

// The values of Gateway.HeaderNames.
const (
	HeaderNamesOwn      = "own"
	HeaderNamesPlatform = "platform"
)

// The bounds on settings of a gateway.
const (
	minMemoryMB = 32
	maxMemoryMB = 1 << 20
)

// Check returns an *InvalidError that names every fault, or nil.
func (g *Gateway) Check() error {
	c := &checker{}
	c.name("name", g.Name)
	c.name("zone", g.Zone)
	c.address("caller-listen", g.CallerListen)
	c.address("ready-listen", g.ReadyListen)
	c.address("store-address", g.StoreAddress)
	if g.PeerListen != "" {
		c.address("peer-listen", g.PeerListen)
	}
	if g.HeaderNames != HeaderNamesOwn && g.HeaderNames != HeaderNamesPlatform {
		c.add("header-names", g.HeaderNames, "own or platform")
	}
	for _, peer := range g.Peers {
		c.address("peer", peer)
	}
	if len(g.ReadyPath) == 0 || g.ReadyPath[0] != '/' {
		c.add("ready-path", g.ReadyPath, "a path that begins with a slash")
	}
	c.between("memory-mb", int64(g.MemoryMB), minMemoryMB, maxMemoryMB, "32 to 1048576 MB")
	c.duration("balancer-lag", g.BalancerLag, 0, 5*time.Minute)
	c.duration("stop-timeout", g.StopTimeout, time.Second, time.Hour)
	c.duration("idle-timeout", g.IdleTimeout, time.Second, time.Hour)
	c.duration("budget-window", g.BudgetWindow, time.Second, time.Hour)
	c.share("budget-ratio", g.BudgetRatio, 1)
	c.share("budget-slack", g.BudgetSlack, 1e6)
	if len(c.faults) == 0 {
		return nil
	}
	return &InvalidError{Violations: c.faults}
}
