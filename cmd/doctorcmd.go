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
	// doctorTimeout bounds each check.
	doctorTimeout = 5 * time.Second
	// maxClockError is the largest difference from the log's clock that is
	// taken for sane.
	maxClockError = 5 * time.Second
	// maxReportAge is the age from which a load report is called stale.
	maxReportAge = 10 * time.Second
	// expirySoon is how near the end of a certificate is worth a warning.
	expirySoon = 14 * 24 * time.Hour
)

// The results of a check.
const (
	resultOK      = "ok"
	resultWarning = "warning"
	resultFailed  = "failed"
)

// doctorCommand checks what a host needs from outside.
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

// DoctorError says that a check failed.
type DoctorError struct {
	FailedChecks int
}

// Error names the number of failed checks.
func (e *DoctorError) Error() string {
	return fmt.Sprintf("%d checks failed", e.FailedChecks)
}

func newDoctorCommand(c *console) subcommand {
	return subcommand{
		name:  "doctor",
		short: "Check what a host with these settings needs",
		long: "Checks, from where it is run and with the settings that serve would be given: the settings " +
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
	d.add("settings", resultOK, "valid")
	client := &http.Client{
		Timeout: doctorTimeout,
	}
	ctx := context.Background()
	d.checkLog(ctx, client)
	d.checkClock(ctx, client)
	d.checkHostList(ctx, client)
	d.checkPeers()
	d.checkCertificates()
	return d.print()
}

func (d *doctorCommand) add(name, result, format string, values ...any) {
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
			d.add(name, resultFailed, "%s", trace.UserMessage(err))
			continue
		}
		kept := response.NextOffset - response.OldestOffset
		d.add(name, resultOK, "offsets %d to %d, %d records kept", response.OldestOffset, response.NextOffset, kept)
	}
}

// checkClock compares the clock with the one that the log service tells.
func (d *doctorCommand) checkClock(ctx context.Context, client *http.Client) {
	request, err := http.NewRequestWithContext(ctx, http.MethodHead, d.LogURL, nil)
	if err != nil {
		d.add("clock", resultFailed, "%s", err)
		return
	}
	response, err := client.Do(request)
	if err != nil {
		d.add("clock", resultWarning, "not compared: the log service does not answer")
		return
	}
	_ = response.Body.Close()
	told, err := http.ParseTime(response.Header.Get("Date"))
	if err != nil {
		d.add("clock", resultWarning, "not compared: the log service tells no time")
		return
	}
	difference := time.Since(told).Round(time.Second)
	if difference.Abs() > maxClockError {
		d.add("clock", resultFailed, "%v away from the log service's", difference)
		return
	}
	d.add("clock", resultOK, "within %v of the log service's", maxClockError)
}

func (d *doctorCommand) checkHostList(ctx context.Context, client *http.Client) {
	list, err := hostlist.New(d.HostListURL, client).Fetch(ctx)
	if err != nil {
		d.add("host list", resultFailed, "%s", trace.UserMessage(err))
		return
	}
	if len(list.Entries) == 0 {
		d.add("host list", resultWarning, "revision %d has no endpoint", list.Revision)
		return
	}
	d.add("host list", resultOK, "revision %d with %d endpoints", list.Revision, len(list.Entries))
	for _, entry := range list.Entries {
		d.checkAddress("endpoint "+entry.Name, entry.Address, "%s in %s, %s", entry.Pool, entry.Zone, entry.State)
		d.checkReport(ctx, client, entry)
	}
}

// checkReport tells of a load report that is stale or can't be had.
func (d *doctorCommand) checkReport(ctx context.Context, client *http.Client, entry hostlist.Entry) {
	scheme := "http://"
	if d.EndpointTLS {
		scheme = "https://"
	}
	name := "load report of " + entry.Name
	report, err := engine.FetchLoad(ctx, client, scheme+entry.Address)
	if err != nil {
		d.add(name, resultWarning, "%s", trace.UserMessage(err))
		return
	}
	if age := time.Duration(report.AgeMs) * time.Millisecond; age > maxReportAge {
		d.add(name, resultWarning, "stale: %v old", age)
	}
}

func (d *doctorCommand) checkPeers() {
	if len(d.Peers) == 0 {
		d.add("peers", resultWarning, "no peer is set; the host finds others through the log only")
		return
	}
	for _, peer := range d.Peers {
		d.checkAddress("peer "+peer, peer, "reachable")
	}
}

// checkAddress checks that an address takes connections.
func (d *doctorCommand) checkAddress(name, address, format string, values ...any) {
	conn, err := net.DialTimeout("tcp", address, doctorTimeout)
	if err != nil {
		d.add(name, resultFailed, "%s", err)
		return
	}
	_ = conn.Close()
	d.add(name, resultOK, format, values...)
}

func (d *doctorCommand) checkCertificates() {
	if !d.UsesTLS() {
		d.add("certificates", resultWarning, "TLS is off")
		return
	}
	store, err := certificate.New(certificate.Files{
		Cert: d.TLSCert,
		Key:  d.TLSKey,
		CA:   d.TLSCA,
	}, timer.New(), log.NewNopLogger())
	if err != nil {
		d.add("certificates", resultFailed, "%s", trace.UserMessage(err))
		return
	}
	left := time.Until(store.NotAfter())
	switch {
	case left <= 0:
		d.add("certificates", resultFailed, "ended at %v", store.NotAfter())
	case left < expirySoon:
		d.add("certificates", resultWarning, "end at %v", store.NotAfter())
	default:
		d.add("certificates", resultOK, "valid until %v", store.NotAfter())
	}
}

func (d *doctorCommand) print() error {
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
