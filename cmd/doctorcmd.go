package cmd

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net"
	"net/http"
	"text/tabwriter"
	"time"

	"github.com/go-kit/log"
	"github.com/gravitational/trace"

	"cactuswell/certificate"
	"cactuswell/core/record"
	"cactuswell/io/engine"
	"cactuswell/io/hostlist"
	"cactuswell/io/logservice"
	"cactuswell/settings"
	"cactuswell/timer"
)

const (
	// checkTimeout is the timeout of each request and dial.
	checkTimeout = 5 * time.Second
	// maxClockSkew is the largest accepted difference from the clock of the log
	// service.
	maxClockSkew = 5 * time.Second
	// maxReportAge is the age above which a load report is stale.
	maxReportAge = 10 * time.Second
	// expiryWarningPeriod is the remaining validity of a certificate below which
	// the check warns.
	expiryWarningPeriod = 14 * 24 * time.Hour
)

// The results of a check.
const (
	resultOK      = "ok"
	resultWarning = "warning"
	resultFailed  = "failed"
)

// doctorCommand checks the external dependencies of a host.
type doctorCommand struct {
	settings.Settings

	console *console
	checks  []doctorCheck
}

// doctorCheck is the result of one check.
type doctorCheck struct {
	name   string
	result string
	text   string
}

// DoctorError reports that checks failed.
type DoctorError struct {
	FailedChecks int
}

// Error returns the message with the number of failed checks.
func (e *DoctorError) Error() string {
	return fmt.Sprintf("%d checks failed", e.FailedChecks)
}

func newDoctorCommand(c *console) subcommand {
	return subcommand{
		name:  "doctor",
		short: "Check what a host with these settings needs",
		long: "Checks, from the machine it runs on and with the settings of the serve command: the settings " +
			"themselves, the log, the host list, the peers, the endpoints, the clock and the " +
			"certificates. Exits with 1 if a check failed.",
		command: &doctorCommand{
			console: c,
		},
	}
}

// Execute runs the command.
func (d *doctorCommand) Execute([]string) error {
	if err := d.Check(); err != nil {
		return err
	}
	d.addResult("settings", resultOK, "valid")
	client := &http.Client{
		Timeout: checkTimeout,
	}
	ctx := context.Background()
	d.checkLog(ctx, client)
	d.checkClock(ctx, client)
	d.checkHostList(ctx, client)
	d.checkPeers()
	d.checkCertificates()
	return d.printResults()
}

func (d *doctorCommand) addResult(name, result, format string, values ...any) {
	d.checks = append(d.checks, doctorCheck{
		name:   name,
		result: result,
		text:   fmt.Sprintf(format, values...),
	})
}

func (d *doctorCommand) checkLog(ctx context.Context, client *http.Client) {
	service := logservice.New(d.LogURL, client)
	for _, stream := range []record.Stream{
		record.StreamConfiguration, record.StreamSnapshots, record.StreamClaims, record.StreamHosts,
	} {
		name := "log stream " + string(stream)
		response, err := service.Read(ctx, stream, math.MaxInt64, logservice.ReadOptions{Limit: 1})
		var truncated *logservice.TruncatedError
		if err != nil && !errors.As(err, &truncated) {
			d.addResult(name, resultFailed, "%s", trace.UserMessage(err))
			continue
		}
		retained := response.NextOffset - response.OldestOffset
		d.addResult(name, resultOK, "offsets %d to %d, %d records retained", response.OldestOffset, response.NextOffset, retained)
	}
}

// checkClock compares the local clock with the Date header of the log service.
func (d *doctorCommand) checkClock(ctx context.Context, client *http.Client) {
	request, err := http.NewRequestWithContext(ctx, http.MethodHead, d.LogURL, nil)
	if err != nil {
		d.addResult("clock", resultFailed, "%s", err)
		return
	}
	response, err := client.Do(request)
	if err != nil {
		d.addResult("clock", resultWarning, "not compared: the log service does not respond")
		return
	}
	_ = response.Body.Close()
	serverTime, err := http.ParseTime(response.Header.Get("Date"))
	if err != nil {
		d.addResult("clock", resultWarning, "not compared: the log service sends no valid Date header")
		return
	}
	difference := time.Since(serverTime).Round(time.Second)
	if difference.Abs() > maxClockSkew {
		d.addResult("clock", resultFailed, "differs by %v from the clock of the log service", difference)
		return
	}
	d.addResult("clock", resultOK, "within %v of the clock of the log service", maxClockSkew)
}

func (d *doctorCommand) checkHostList(ctx context.Context, client *http.Client) {
	list, err := hostlist.New(d.HostListURL, client).Fetch(ctx)
	if err != nil {
		d.addResult("host list", resultFailed, "%s", trace.UserMessage(err))
		return
	}
	if len(list.Entries) == 0 {
		d.addResult("host list", resultWarning, "revision %d has no endpoint", list.Revision)
		return
	}
	d.addResult("host list", resultOK, "revision %d with %d endpoints", list.Revision, len(list.Entries))
	for _, entry := range list.Entries {
		d.checkAddress("endpoint "+entry.Name, entry.Address, "%s in %s, %s", entry.Pool, entry.Zone, entry.State)
		d.checkLoadReport(ctx, client, entry)
	}
}

// checkLoadReport warns about a load report that is stale or unavailable.
func (d *doctorCommand) checkLoadReport(ctx context.Context, client *http.Client, entry hostlist.Entry) {
	scheme := "http://"
	if d.EndpointTLS {
		scheme = "https://"
	}
	name := "load report of " + entry.Name
	report, err := engine.FetchLoad(ctx, client, scheme+entry.Address)
	if err != nil {
		d.addResult(name, resultWarning, "%s", trace.UserMessage(err))
		return
	}
	if age := time.Duration(report.AgeMs) * time.Millisecond; age > maxReportAge {
		d.addResult(name, resultWarning, "stale: %v old", age)
	}
}

func (d *doctorCommand) checkPeers() {
	if len(d.Peers) == 0 {
		d.addResult("peers", resultWarning, "no peer is configured; the host discovers others through the log only")
		return
	}
	for _, peer := range d.Peers {
		d.checkAddress("peer "+peer, peer, "reachable")
	}
}

// checkAddress checks that an address accepts connections.
func (d *doctorCommand) checkAddress(name, address, format string, values ...any) {
	conn, err := net.DialTimeout("tcp", address, checkTimeout)
	if err != nil {
		d.addResult(name, resultFailed, "%s", err)
		return
	}
	_ = conn.Close()
	d.addResult(name, resultOK, format, values...)
}

func (d *doctorCommand) checkCertificates() {
	if !d.UsesTLS() {
		d.addResult("certificates", resultWarning, "TLS is off")
		return
	}
	store, err := certificate.New(certificate.Files{
		Cert: d.TLSCert,
		Key:  d.TLSKey,
		CA:   d.TLSCA,
	}, timer.New(), log.NewNopLogger())
	if err != nil {
		d.addResult("certificates", resultFailed, "%s", trace.UserMessage(err))
		return
	}
	remaining := time.Until(store.NotAfter())
	switch {
	case remaining <= 0:
		d.addResult("certificates", resultFailed, "expired at %v", store.NotAfter())
	case remaining < expiryWarningPeriod:
		d.addResult("certificates", resultWarning, "expire at %v", store.NotAfter())
	default:
		d.addResult("certificates", resultOK, "valid until %v", store.NotAfter())
	}
}

func (d *doctorCommand) printResults() error {
	table := tabwriter.NewWriter(d.console.out, 0, 0, 2, ' ', 0)
	failed := 0
	for _, check := range d.checks {
		if check.result == resultFailed {
			failed++
		}
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\n", check.result, check.name, check.text)
	}
	if err := table.Flush(); err != nil {
		return trace.Wrap(err)
	}
	if failed > 0 {
		return trace.Wrap(&DoctorError{FailedChecks: failed})
	}
	return nil
}
