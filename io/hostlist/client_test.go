package hostlist_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"cactuswell/io/hostlist"
)

// TestOddEntryLeavesRestOfList guards against a host that stops following the list over one entry that cannot be used.
func TestOddEntryLeavesRestOfList(t *testing.T) {
	const good = `{"name":"a","incarnation":1,"address":"10.0.0.9:80","zone":"z","kind":"engine","pool":"p","state":"live"}`
	entry := func(field string) string { return strings.TrimSuffix(good, "}") + "," + field + "}" }
	for name, test := range map[string]struct {
		entry string
		want  string
	}{
		"incarnation too large": {entry: entry(`"name":"b","incarnation":1e400`), want: "b"},
		"incarnation of 2^64":   {entry: entry(`"name":"b","incarnation":18446744073709551616`), want: "b"},
		"negative incarnation":  {entry: entry(`"name":"b","incarnation":-1`), want: "b"},
		"port out of range":     {entry: entry(`"name":"b","address":"10.0.0.9:70000"`), want: "b"},
		"port 0":                {entry: entry(`"name":"b","address":"10.0.0.9:0"`), want: "b"},
		"host name":             {entry: entry(`"name":"b","address":"host:80"`), want: "b"},
		"unknown state":         {entry: entry(`"name":"b","state":"asleep"`), want: "b"},
		"unknown kind":          {entry: entry(`"name":"b","kind":"other"`), want: "b"},
		"no name":               {entry: entry(`"name":""`)},
		"name as number":        {entry: `{"name":7,"address":"10.0.0.9:80","kind":"engine","state":"live"}`},
		"no object":             {entry: "7"},
		"null":                  {entry: "null"},
		"nested":                {entry: strings.Repeat("[", 9000) + strings.Repeat("]", 9000)},
		"nested field":          {entry: entry(`"name":"b","zone":` + strings.Repeat("[", 9000) + strings.Repeat("]", 9000)), want: "b"},
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(w, `{"revision":3,"entries":[`+test.entry+`,`+good+`]}`)
			}))
			t.Cleanup(server.Close)
			got, err := hostlist.New(server.URL, server.Client()).Fetch(context.Background())
			if err != nil {
				t.Fatal(err)
			}
			want := hostlist.ListResponse{
				Revision: 3,
				Entries: []hostlist.Entry{{
					Name:        "a",
					Incarnation: 1,
					Address:     "10.0.0.9:80",
					Zone:        "z",
					Kind:        hostlist.KindEngine,
					Pool:        "p",
					State:       hostlist.StateLive,
				}},
				Unusable: []string{test.want},
			}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}
