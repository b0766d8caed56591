package cmd_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"cactuswell/platform"
	"cactuswell/standin/keyedlog"
)

// oddEntries are entries of another writer among those of endpoints. Each names an address at which nothing listens.
func oddEntries() []string {
	entries := []string{
		strings.Repeat("[", 400_000),
		strings.Repeat("[", 100_000) + strings.Repeat("]", 100_000),
		strings.Repeat(`{"service":`, 20_000),
		`{"service":"s","address":"127.0.0.1:1","slots":1,"state":"ready","x":` + strings.Repeat("[", 9000) + strings.Repeat("]", 9000) + `,"slots":[]}`,
		strings.Repeat("x", 260_000),
		"\x00", "\xff\xfe", "null", "7", "[]", "{}", `""`,
	}
	for _, field := range []string{
		`"slots":0`, `"slots":-1`, `"slots":9223372036854775807`, `"slots":9223372036854775808`, `"slots":1e400`,
		`"address":"127.0.0.1:0"`, `"address":"127.0.0.1:65536"`, `"address":"127.0.0.1:70000"`, `"address":"127.0.0.1:-1"`,
		`"address":"[::1%a\r\nX: y]:80"`, `"address":"0.0.0.0:1"`, `"address":7`,
		`"coldRemainingMs":1e300`, `"coldRemainingMs":1e400`, `"born":-9223372036854775808`, `"born":1e400`,
		`"sequence":1e400`, `"sequence":9223372036854775808`, `"state":"asleep"`, `"service":"s\u0000"`,
		`"zone":"` + strings.Repeat("z", 250_000) + `"`, `"version":"` + strings.Repeat("v", 250_000) + `"`,
	} {
		entries = append(entries, `{"service":"s","address":"127.0.0.1:1","zone":"z0","slots":8,"state":"ready","born":1,`+field+`}`)
	}
	return entries
}

// oddRecords are records of another writer in the topics in which hosts keep their own, by topic and key.
func oddRecords() map[string]map[string][]string {
	numbers := []string{"1e400", "1e300", "-1e300", "9223372036854775807", "-9223372036854775808", "-1", `"7"`, "null"}
	odd := []string{strings.Repeat("[", 200_000), "\xff", "{}", "7", "null", "=", "x\r\n", strings.Repeat("=", 250_000)}
	roster, quarantines := odd, odd
	for _, number := range numbers {
		roster = append(roster, fmt.Sprintf(`{"address":"127.0.0.1:9","zone":"z0","born":%s,"linkMbps":%s}`, number, number))
		quarantines = append(quarantines, fmt.Sprintf(`[{"requestHash":"1","since":%s,"until":%s}]`, number, number))
	}
	for _, address := range []string{"127.0.0.1:70000", "127.0.0.1:0", "0.0.0.0:1", "", "x", "[::1%a]:9"} {
		roster = append(roster, fmt.Sprintf(`{"address":%q,"zone":"z0","linkMbps":1e308}`, address))
	}
	return map[string]map[string][]string{
		"keyed.cactuswellHosts": {
			"odd":             roster,
			"\xff":            odd,
			"quarantines/odd": quarantines,
		},
		"keyed.cactuswellStreams": {
			"a":                       odd,
			"base/s":                  odd,
			"base/\xff":               odd,
			"stream/0000000000000001": odd,
		},
	}
}

// TestOddRecordsEndNoHost guards against processes that end, or stop following the store, over entries of another writer.
func TestOddRecordsEndNoHost(t *testing.T) {
	log := keyedlog.New()
	log.Append(platform.ConfigurationTopic, platform.ConfigurationKey, []byte(memoryConfiguration))
	startEndpoint(t, log, "i-0")
	startEndpoint(t, log, "i-1")
	start := func(name string) *gatewayProcess {
		return startGateway(t, log, "--name", name, "--peer-listen", freePort(t), "--memory-mb", "112")
	}
	hosts := []*gatewayProcess{start("host-1"), start("host-2")}
	for topic, records := range oddRecords() {
		for key, values := range records {
			for i, value := range values {
				log.Append(topic, fmt.Sprintf("%s%d", key, i), []byte(value))
				log.Append(topic, key, []byte(value))
			}
		}
	}
	for i, value := range oddEntries() {
		log.Append(platform.EndpointTopic, fmt.Sprintf("odd-%d", i), []byte(value))
		log.Append(platform.EndpointTopic, "i-1", []byte(value))
	}
	for _, key := range []string{"", "\xff", "a\r\nb", "\x00"} {
		log.Append(platform.EndpointTopic, key, []byte(`{"service":"s","address":"127.0.0.1:1","zone":"z0","slots":8,"state":"ready","born":1}`))
	}
	hosts = append(hosts, start("host-3"))
	added := startEndpoint(t, log, "i-2")
	for _, host := range hosts {
		host.out.awaitText(t, `"endpoint":"i-2"`)
	}
	for n, host := range hosts {
		for i := range 20 {
			if status, err := post(host.callerAddress, fmt.Sprintf("/hold/%d-%d", n, i), 5000); err != nil || status != http.StatusOK {
				t.Errorf("call %d of host %d: status %d, error %v", i, n+1, status, err)
			}
		}
		text := host.out.String()
		for _, line := range strings.Split(text, "\n") {
			isUsed := strings.Contains(line, `"event":"endpointAppeared"`) || strings.Contains(line, `"event":"callSent"`)
			if isUsed && !strings.Contains(line, `"endpoint":"i-`) {
				t.Errorf("host %d uses an odd entry: %.300s", n+1, line)
			}
		}
		if strings.Contains(text, "dutyRestarted") || !strings.Contains(text, `"event":"entryUnreadable"`) {
			t.Errorf("host %d: a duty failed, or no entry was refused:\n%.5000s", n+1, text)
		}
	}
	if len(added.Runs()) == 0 {
		t.Error("no call ran at the endpoint that was added last")
	}
	for _, host := range hosts {
		stopProcess(t, host.process, host.exited)
	}
}
