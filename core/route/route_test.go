package route_test

import (
	"errors"
	"testing"

	"cactuswell/core/route"
)

func spec() route.Spec {
	return route.Spec{
		Version: 3,
		Services: []route.Service{
			{Name: "models"},
			{Name: "booking"},
		},
		Routes: []route.Route{
			{
				Name:        "short",
				Host:        "firm.example",
				PathPrefix:  "/a/",
				MaxAttempts: 1,
				Targets:     []route.Target{{Service: "models", Weight: 1}},
			},
			{
				Name:        "long",
				Host:        "firm.example",
				PathPrefix:  "/a/b/",
				MaxAttempts: 1,
				Targets: []route.Target{
					{Service: "models", Weight: 90},
					{Service: "booking", Weight: 10},
				},
			},
		},
		Teams: []route.Team{{Name: "clerks", Keys: []string{"k1", "k2"}}},
	}
}

func TestLookup(t *testing.T) {
	table, err := route.New(spec())
	if err != nil {
		t.Fatal(err)
	}
	for name, test := range map[string]struct {
		host string
		path string
		want string
	}{
		"longest prefix":           {host: "firm.example", path: "/a/b/c", want: "long"},
		"shorter prefix":           {host: "firm.example", path: "/a/bc", want: "short"},
		"host in capitals":         {host: "Firm.Example", path: "/a/x", want: "short"},
		"host with port":           {host: "firm.example:8080", path: "/a/x", want: "short"},
		"prefix without its slash": {host: "firm.example", path: "/a"},
		"other host":               {host: "other.example", path: "/a/x"},
	} {
		t.Run(name, func(t *testing.T) {
			found, ok := table.Lookup(test.host, test.path)
			if ok != (test.want != "") || ok && found.Name != test.want {
				t.Errorf("found %v %v, want %q", found, ok, test.want)
			}
		})
	}
}

func TestServiceFollowsTheWeights(t *testing.T) {
	table, err := route.New(spec())
	if err != nil {
		t.Fatal(err)
	}
	found, _ := table.Lookup("firm.example", "/a/b/")
	for draw, want := range map[float64]string{0: "models", 0.89: "models", 0.91: "booking", 1: "booking"} {
		if got := found.PickService(draw); got != want {
			t.Errorf("draw %v went to %s, want %s", draw, got, want)
		}
	}
}

func TestTeams(t *testing.T) {
	table, err := route.New(spec())
	if err != nil {
		t.Fatal(err)
	}
	for key, want := range map[string]bool{"k1": true, "k2": true, "k3": false, "": false} {
		if _, ok := table.TeamByKey(key); ok != want {
			t.Errorf("key %q is known: %v, want %v", key, ok, want)
		}
	}
}

func TestNewRefuses(t *testing.T) {
	for name, change := range map[string]func(*route.Spec){
		"prefix without end":   func(s *route.Spec) { s.Routes[0].PathPrefix = "/a" },
		"no service":           func(s *route.Spec) { s.Routes[0].Targets = nil },
		"unknown service":      func(s *route.Spec) { s.Routes[0].Targets[0].Service = "other" },
		"no attempt":           func(s *route.Spec) { s.Routes[0].MaxAttempts = 0 },
		"weight below nothing": func(s *route.Spec) { s.Routes[1].Targets[0].Weight = -1 },
	} {
		t.Run(name, func(t *testing.T) {
			s := spec()
			change(&s)
			_, err := route.New(s)
			var refused *route.SpecError
			if !errors.As(err, &refused) || refused.Version != 3 {
				t.Errorf("error is %v", err)
			}
		})
	}
}

func TestRetryable(t *testing.T) {
	for name, test := range map[string]struct {
		route route.Route
		want  bool
	}{
		"safe":             {route: route.Route{Kind: route.Safe}, want: true},
		"once":             {route: route.Route{Kind: route.AtMostOnce}},
		"stream":           {route: route.Route{Kind: route.Stream}},
		"resumable stream": {route: route.Route{Kind: route.Stream, Resumable: true}, want: true},
		"resumable once":   {route: route.Route{Kind: route.AtMostOnce, Resumable: true}},
	} {
		t.Run(name, func(t *testing.T) {
			if got := test.route.Retryable(); got != test.want {
				t.Errorf("repeatable: %v, want %v", got, test.want)
			}
		})
	}
}
