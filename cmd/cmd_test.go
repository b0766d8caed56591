package cmd_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/rogpeppe/go-internal/testscript"

	"cactuswell/cmd"
	"cactuswell/demo"
	"cactuswell/deployment"
	"cactuswell/io/hostlist"
	"cactuswell/standin/fault"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"cactuswell": func() { os.Exit(cmd.Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr)) },
	})
}

// TestScripts runs the scripts against a demo of two hosts.
func TestScripts(t *testing.T) {
	d, err := demo.New(deployment.Kelisim(), 2, log.NewNopLogger())
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- d.Run(ctx, context.Background()) }()
	t.Cleanup(func() {
		stop()
		if err := <-done; err != nil {
			t.Errorf("stop: %v", err)
		}
	})
	if err := d.PublishProfiles(ctx); err != nil {
		t.Fatal(err)
	}
	for _, h := range d.Hosts() {
		if err := h.AwaitProfile(ctx, "caseFileBriefing"); err != nil {
			t.Fatal(err)
		}
	}
	for _, service := range d.Services() {
		if service.Name() == "booking-4" {
			service.Faults().Set(fault.Faults{ReportLagMs: 30000})
		}
	}
	first := d.Hosts()[0]
	ask(t, first.CallerAddress())
	services := serviceAddresses(t, first.Settings().HostListURL)
	broken := httptest.NewServer(http.NotFoundHandler())
	t.Cleanup(broken.Close)
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Setup: func(env *testscript.Env) error {
			env.Setenv("CACTUSWELL_OPERATOR", first.OperatorAddress())
			env.Setenv("CALLERS", first.CallerAddress())
			env.Setenv("SERVICES", services)
			env.Setenv("LOG", first.Settings().LogURL)
			env.Setenv("HOSTLIST", first.Settings().HostListURL)
			env.Setenv("PEER", first.PeerAddress())
			env.Setenv("BROKEN", broken.URL)
			return nil
		},
	})
}

// serviceAddresses returns the addresses of the plain services, with commas.
func serviceAddresses(t *testing.T, hostListURL string) string {
	t.Helper()
	list, err := hostlist.New(hostListURL, http.DefaultClient).Fetch(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	var addresses []string
	for _, entry := range list.Entries {
		if entry.Kind == hostlist.KindService {
			addresses = append(addresses, entry.Address)
		}
	}
	if len(addresses) == 0 {
		t.Fatal("the host list names no plain service")
	}
	return strings.Join(addresses, ",")
}

// ask makes one request for the scripts to explain.
func ask(t *testing.T, address string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	body := `{"model":"schedulingDraft","max_tokens":3,"messages":[{"role":"user","content":"hello"}]}`
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions",
		strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("X-Request-Id", "hearing-17")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		t.Fatalf("status %d", response.StatusCode)
	}
}
