package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"cactuswell/platform"
)

const (
	callerHost = "ficu95.example"
	streamPath = "/lohu930/"
	// summaryPath is that of streams that may be resumed.
	summaryPath = "/pufi791/"
	apiKey      = "n2ctnfzs989anu6wsjnb"
	// clientTime is how long a client waits for a stream, and routeTimeout the same of the route.
	clientTime = 12 * time.Second
	loadSpread = 5 * time.Second
)

// configuration is what the operator writes: a route of streams that may not be resumed, and one of streams
// that may.
func configuration(service string) string {
	return `{"version":4,"routes":[{"name":"r-2yhvz3p","host":"` + callerHost + `","pathPrefix":"` + streamPath + `",` +
		`"kind":"streaming","timeoutMs":12000,"targetLatencyMs":2000,"priority":2,"service":"` + service + `",` +
		`"maxAttempts":1,"public":false,"sticky":true,"resumable":false,"targetGapMs":800},` +
		`{"name":"r-fi6y7z5","host":"` + callerHost + `","pathPrefix":"` + summaryPath + `",` +
		`"kind":"streaming","timeoutMs":6000,"targetLatencyMs":600,"priority":1,"service":"` + service + `",` +
		`"maxAttempts":2,"public":false,"sticky":true,"resumable":true,"targetGapMs":300}],` +
		`"services":[{"name":"` + service + `","healthPath":"/health","maxConnections":360,"protocol":"h1","tls":false,` +
		`"engine":{"slots":64,"kvCapacity":568234,"tokenKvBytes":163840,"linkMbps":550000.0,"moves":true,"backups":true,` +
		`"stride":3,"most":12,"pinMs":4000.0,"holdMs":2000.0,"handleS":5.0,"models":[{"name":"m"}]}}],` +
		`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},` +
		`"tenants":[{"name":"hule930","apiKeys":["` + apiKey + `"]}]}`
}

// configure writes the configuration.
func (r *rig) configure(service string) {
	r.log.Append(platform.ConfigurationTopic, platform.ConfigurationKey, []byte(configuration(service)))
}

// streamResult is what a client has got of a stream.
type streamResult struct {
	id     string
	host   string
	status int
	events int
	// foreign is the first event that names another request, or empty.
	foreign string
	// isComplete is set if the answer has ended as a complete one.
	isComplete bool
	err        error
	took       time.Duration
}

// askStream asks a host for a stream and reads it to its end.
func askStream(h *process, path, id string) (result streamResult) {
	startedAt := time.Now()
	result = streamResult{
		id:   id,
		host: h.name,
	}
	defer func() { result.took = time.Since(startedAt) }()
	request, err := http.NewRequest(http.MethodPost, "http://"+h.address+path+"2f", strings.NewReader(`{"prompt":"`+id+`"}`))
	check(err)
	request.Host = callerHost
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Model", "m")
	request.Header.Set("X-Token-Counts", "1460,120")
	request.Header.Set("X-Prompt-Prefix", fmt.Sprintf("%x:1460", id))
	request.Header.Set("X-Timeout-Ms", fmt.Sprint(clientTime.Milliseconds()))
	request.Header.Set("Authorization", "Bearer "+apiKey)
	request.Close = true
	client := &http.Client{Timeout: clientTime}
	response, err := client.Do(request)
	if err != nil {
		result.err = err
		return result
	}
	defer func() { _ = response.Body.Close() }()
	result.status = response.StatusCode
	var body bytes.Buffer
	_, err = body.ReadFrom(io.LimitReader(response.Body, maxBodyBytes))
	result.events = strings.Count("\n"+body.String(), "\nid: ")
	for event := range strings.SplitSeq(strings.TrimSuffix(body.String(), "\n\n"), "\n\n") {
		if result.foreign == "" && !strings.Contains(event, " answers "+id+" piece ") {
			result.foreign = event
		}
	}
	result.err = err
	result.isComplete = err == nil
	return result
}

// load has clients at each host that ask for one stream after the other until the load is stopped.
type load struct {
	rig     *rig
	path    string
	clients sync.WaitGroup
	stop    chan struct{}
	mu      sync.Mutex
	results []streamResult
}

// startLoad starts clients at each host, one after the other within loadSpread.
func (r *rig) startLoad(path string, clientsPerHost int) *load {
	l := &load{
		rig:  r,
		path: path,
		stop: make(chan struct{}),
	}
	between := loadSpread / time.Duration(clientsPerHost*len(r.hosts))
	for c := range clientsPerHost {
		for i, h := range r.hosts {
			l.clients.Go(func() { l.loop(h, fmt.Sprintf("%d-%d", i+1, c+1)) })
			time.Sleep(between)
		}
	}
	return l
}

func (l *load) loop(h *process, name string) {
	for n := 1; ; n++ {
		select {
		case <-l.stop:
			return
		default:
		}
		result := askStream(h, l.path, fmt.Sprintf("%s-%d", name, n))
		l.rig.say("client %s at %s: status %d, %d events, complete %v, after %.3f s: %v",
			result.id, result.host, result.status, result.events, result.isComplete, result.took.Seconds(), result.err)
		l.mu.Lock()
		l.results = append(l.results, result)
		l.mu.Unlock()
		if result.err != nil || result.status != http.StatusOK {
			time.Sleep(100 * time.Millisecond)
		}
	}
}

// end stops the load and returns what the clients have got.
func (l *load) end() []streamResult {
	close(l.stop)
	l.clients.Wait()
	return l.results
}
