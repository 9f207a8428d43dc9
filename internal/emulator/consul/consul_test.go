package consul

import (
	"testing"
	"time"

	"github.com/hashicorp/consul/api"
)

// TestOfficialClientUnderstandsEmulator checks the emulator, which is written from the API's documentation, against
// Consul's own API client.
func TestOfficialClientUnderstandsEmulator(t *testing.T) {
	cluster := NewCluster()
	agent, err := cluster.NewAgent("n1")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(agent.Close)
	client, err := api.NewClient(&api.Config{Address: agent.Address()})
	if err != nil {
		t.Fatal(err)
	}
	must := func(err error) {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
	}
	status := func(options *api.QueryOptions) (string, *api.QueryMeta) {
		t.Helper()
		entries, meta, err := client.Health().Service("web", "", false, options)
		must(err)
		if len(entries) == 0 {
			return "none", meta
		}
		return entries[0].Checks.AggregatedStatus(), meta
	}
	must(client.Agent().ServiceRegister(&api.AgentServiceRegistration{ID: "w1", Name: "web", Port: 80,
		Tags: []string{"x"}, Check: &api.AgentServiceCheck{CheckID: "ttl", TTL: "400ms"}}))
	got, first := status(nil)
	if got != api.HealthCritical || first.LastIndex == 0 || !first.KnownLeader {
		t.Errorf("registered without a renewal: got status %s and %+v, want critical, an index and a known leader",
			got, first)
	}
	must(client.Agent().UpdateTTL("ttl", "", api.HealthPassing))
	got, next := status(&api.QueryOptions{WaitIndex: first.LastIndex, WaitTime: 5 * time.Second})
	if got != api.HealthPassing || next.LastIndex <= first.LastIndex {
		t.Errorf("renewed: got status %s at index %d, want passing at an index above %d",
			got, next.LastIndex, first.LastIndex)
	}
	shortWait := &api.QueryOptions{WaitIndex: next.LastIndex, WaitTime: 50 * time.Millisecond}
	if _, same := status(shortWait); same.LastIndex != next.LastIndex {
		t.Errorf("after a wait without a change: got index %d, want %d", same.LastIndex, next.LastIndex)
	}
	must(client.Agent().EnableServiceMaintenance("w1", ""))
	if got, _ := status(nil); got != api.HealthMaint {
		t.Errorf("instance in maintenance: got status %s, want maintenance", got)
	}
	must(client.Agent().DisableServiceMaintenance("w1"))
	must(client.Agent().EnableNodeMaintenance(""))
	if got, _ := status(nil); got != api.HealthMaint {
		t.Errorf("node in maintenance: got status %s, want maintenance", got)
	}
	must(client.Agent().DisableNodeMaintenance())
	for deadline := time.Now().Add(5 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		if got, _ := status(nil); got == api.HealthCritical {
			break
		}
		if time.Now().After(deadline) {
			t.Fatal("the TTL check did not turn critical within 5 s")
		}
	}
	if entries, _, err := client.Health().Service("web", "y", false, nil); err != nil || len(entries) != 0 {
		t.Errorf("query for a tag that no instance has: got %d entries and error %v, want no entries and no error",
			len(entries), err)
	}
	instances, _, err := client.Catalog().Service("web", "", nil)
	if err != nil || len(instances) != 1 || instances[0].ServicePort != 80 {
		t.Errorf("catalogue: got instances %+v and error %v, want one with port 80", instances, err)
	}
	if services, _, err := client.Catalog().Services(nil); err != nil || len(services["web"]) != 1 {
		t.Errorf("catalogue: got services %v and error %v, want web with one tag", services, err)
	}
	_, err = client.KV().Put(&api.KVPair{Key: "a/b", Value: []byte("1")}, nil)
	must(err)
	pairs, meta, err := client.KV().List("a/", nil)
	if err != nil || len(pairs) != 1 || string(pairs[0].Value) != "1" || meta.LastIndex == 0 {
		t.Errorf("keys after Put: got %v and error %v, want one key with value 1 and an index", pairs, err)
	}
	_, err = client.KV().Delete("a/b", nil)
	must(err)
	if pairs, _, err := client.KV().List("a/", nil); err != nil || len(pairs) != 0 {
		t.Errorf("keys after Delete: got %v and error %v, want no keys and no error", pairs, err)
	}
	must(client.Agent().ServiceDeregister("w1"))
	if got, _ := status(nil); got != "none" {
		t.Errorf("deregistered: got status %s, want no instance", got)
	}
	if leader, err := client.Status().Leader(); err != nil || leader == "" {
		t.Errorf("leader: got %q and error %v, want an address", leader, err)
	}
	if err := client.Agent().ServiceDeregister("w1"); err == nil {
		t.Error("deregistering an unknown instance: got no error, want one")
	}
	cluster.Put(Instance{Node: "n1", Service: "web", ID: "w2", Port: 1})
	cluster.SetTokens(map[string][]string{"good": {"web"}})
	if got, meta := status(nil); got != "none" || !meta.ResultsFilteredByACLs {
		t.Errorf("without a token: got status %s, filtered %v, want no instance, filtered true",
			got, meta.ResultsFilteredByACLs)
	}
	if got, meta := status(&api.QueryOptions{Token: "good"}); got != api.HealthPassing || meta.ResultsFilteredByACLs {
		t.Errorf("with its token: got status %s, filtered %v, want passing, filtered false",
			got, meta.ResultsFilteredByACLs)
	}
}
