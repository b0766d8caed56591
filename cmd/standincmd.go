package cmd

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"cactuswell/standin/engine"
	"cactuswell/standin/hostlist"
	"cactuswell/standin/logservice"
	"cactuswell/standin/service"
)

// standInCommand groups the subcommands that run stand-ins.
type standInCommand struct {
	Engine   engineStandIn   `command:"engine" description:"Run a stand-in model engine"`
	Service  serviceStandIn  `command:"service" description:"Run a stand-in plain service"`
	Log      logStandIn      `command:"log" description:"Run a stand-in log service"`
	HostList hostListStandIn `command:"host-list" description:"Run a stand-in host list"`
}

// listenFlag is the flag that all stand-ins have in common.
type listenFlag struct {
	Listen string `long:"listen" env:"CACTUSWELL_STANDIN_LISTEN" description:"IP:port to listen on" default:"127.0.0.1:0"`

	console *console
}

func newStandInCommand(c *console) subcommand {
	common := listenFlag{
		console: c,
	}
	return subcommand{
		name:  "standin",
		short: "Run a stand-in for an endpoint or a part of the platform",
		long: "Runs a small stand-in as a separate process, for tests. PUT /faults sets its injected faults " +
			"while it runs, and GET /faults returns them.",
		command: &standInCommand{
			Engine:   engineStandIn{listenFlag: common},
			Service:  serviceStandIn{listenFlag: common},
			Log:      logStandIn{listenFlag: common},
			HostList: hostListStandIn{listenFlag: common},
		},
	}
}

// serve serves handler until the first stop signal.
func (l *listenFlag) serve(handler http.Handler) error {
	listener, err := net.Listen("tcp", l.Listen)
	if err != nil {
		return trace.Wrap(err)
	}
	signals := newStopSignals()
	defer signals.close()
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: time.Minute,
	}
	stop := context.AfterFunc(signals.stop, func() { _ = server.Close() })
	defer stop()
	l.console.printf("listening on %s\n", listener.Addr())
	if err := server.Serve(listener); err != nil && signals.stop.Err() == nil {
		return trace.Wrap(err)
	}
	return nil
}

type engineStandIn struct {
	listenFlag

	Name          string        `long:"name" env:"CACTUSWELL_STANDIN_NAME" description:"name of the engine" default:"engine-1"`
	Incarnation   uint64        `long:"incarnation" env:"CACTUSWELL_STANDIN_INCARNATION" description:"life of the engine" default:"1"`
	Model         string        `long:"model" env:"CACTUSWELL_STANDIN_MODEL" description:"model that the engine runs" default:"drafting"`
	Version       string        `long:"model-version" env:"CACTUSWELL_STANDIN_MODEL_VERSION" description:"version of the model" default:"v1"`
	Slots         int           `long:"slots" env:"CACTUSWELL_STANDIN_SLOTS" description:"sequences run at once" default:"8"`
	TokenInterval time.Duration `long:"token-interval" env:"CACTUSWELL_STANDIN_TOKEN_INTERVAL" description:"time between two tokens" default:"10ms"`
	AnswerTokens  int           `long:"answer-tokens" env:"CACTUSWELL_STANDIN_ANSWER_TOKENS" description:"usual length of an answer" default:"24"`
	LoadTime      time.Duration `long:"load-time" env:"CACTUSWELL_STANDIN_LOAD_TIME" description:"how long an ordered version is loaded" default:"0s"`
	ChecksFencing bool          `long:"checks-fencing" env:"CACTUSWELL_STANDIN_CHECKS_FENCING" description:"refuse orders with an old fencing number"`
}

// Execute runs the command.
func (s *engineStandIn) Execute([]string) error {
	return s.serve(engine.New(engine.Settings{
		Name:          s.Name,
		Incarnation:   s.Incarnation,
		Model:         s.Model,
		Version:       s.Version,
		Slots:         s.Slots,
		TokenInterval: s.TokenInterval,
		AnswerTokens:  s.AnswerTokens,
		LoadTime:      s.LoadTime,
		ChecksFencing: s.ChecksFencing,
	}).Handler())
}

type serviceStandIn struct {
	listenFlag

	Name        string        `long:"name" env:"CACTUSWELL_STANDIN_NAME" description:"name of the service" default:"service-1"`
	Incarnation uint64        `long:"incarnation" env:"CACTUSWELL_STANDIN_INCARNATION" description:"life of the service" default:"1"`
	Slots       int           `long:"slots" env:"CACTUSWELL_STANDIN_SLOTS" description:"calls run at once" default:"16"`
	WorkTime    time.Duration `long:"work-time" env:"CACTUSWELL_STANDIN_WORK_TIME" description:"how long a call runs" default:"20ms"`
}

// Execute runs the command.
func (s *serviceStandIn) Execute([]string) error {
	return s.serve(service.New(service.Settings{
		Name:        s.Name,
		Incarnation: s.Incarnation,
		Slots:       s.Slots,
		WorkTime:    s.WorkTime,
	}).Handler())
}

type logStandIn struct {
	listenFlag

	Seed uint64 `long:"seed" env:"CACTUSWELL_STANDIN_SEED" description:"seed of the faults" default:"1"`
}

// Execute runs the command.
func (s *logStandIn) Execute([]string) error {
	return s.serve(logservice.New(time.Now, s.Seed).Handler())
}

type hostListStandIn struct {
	listenFlag
}

// Execute runs the command.
func (s *hostListStandIn) Execute([]string) error {
	return s.serve(hostlist.New().Handler())
}
