package consul

import (
	"encoding/json"
	"math"
	"testing"

	"github.com/hashicorp/consul/api"

	"sloequay/internal/membership"
)

// FuzzEntries: an agent's response never makes the program panic, and each endpoint converted from it is usable.
func FuzzEntries(f *testing.F) {
	f.Add([]byte(`[{"Node":{"Node":"n","Address":"10.0.0.1"},
		"Service":{"ID":"c1","Port":8443,"Meta":{"site":"edge","class":"std"},"Weights":{"Passing":4}},
		"Checks":[{"CheckID":"a","Status":"passing"}]}]`))
	f.Add([]byte(`[null,{"Node":null},{"Service":{"ID":"","Port":-1}},
		{"Node":{},"Service":{"ID":"a b","Port":1},"Checks":[null,{"Status":"x"}]}]`))
	f.Add([]byte(`[{"Node":{"Address":"::1"},"Service":{"ID":"c","Port":1,
		"Meta":{"site":"hub","class":"parent","capacity":"1e400","born_ms":"-1"}}}]`))
	service := parseConfig(f, "agent 127.0.0.1:1\nservice cache {\n}").Services[0]
	f.Fuzz(func(t *testing.T, data []byte) {
		var entries []*api.ServiceEntry
		if json.Unmarshal(data, &entries) != nil {
			return
		}
		for _, entry := range entries {
			endpoint, err := service.endpoint(entry, testNames)
			switch {
			case err != nil && err.Error() == "":
				t.Fatal("got an error without a text")
			case err == nil && !isUsable(endpoint):
				t.Fatalf("got unusable endpoint %+v", endpoint)
			}
		}
	})
}

// isUsable reports whether an endpoint has what the table needs. A gone endpoint needs no zone, kind or address.
func isUsable(endpoint membership.Endpoint) bool {
	if endpoint.ID == "" || endpoint.StartedAt < 0 || math.IsNaN(endpoint.Weight) {
		return false
	}
	return endpoint.State == membership.Gone ||
		endpoint.Zone >= 0 && endpoint.Kind >= 0 && endpoint.Address != ""
}
