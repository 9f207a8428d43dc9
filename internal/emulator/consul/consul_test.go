package consul

import (
	"testing"
	"time"

	"github.com/hashicorp/consul/api"
)

// TestByTheOfficialClient holds the emulator to what the API's own client expects of the pages it was written from.
func TestByTheOfficialClient(t *testing.T) {
	c := NewCluster()
	a, err := c.NewAgent("n1")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(a.Close)
	client, err := api.NewClient(&api.Config{Address: a.Address()})
	if err != nil {
		t.Fatal(err)
	}
	must := func(err error) {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
	}
	status := func(q *api.QueryOptions) (string, *api.QueryMeta) {
		t.Helper()
		entries, meta, err := client.Health().Service("web", "", false, q)
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
		t.Errorf("registered without a renewal: %s, %+v", got, first)
	}
	must(client.Agent().UpdateTTL("ttl", "", api.HealthPassing))
	got, next := status(&api.QueryOptions{WaitIndex: first.LastIndex, WaitTime: 5 * time.Second})
	if got != api.HealthPassing || next.LastIndex <= first.LastIndex {
		t.Errorf("renewed: %s at %d, before %d", got, next.LastIndex, first.LastIndex)
	}
	shortWait := &api.QueryOptions{WaitIndex: next.LastIndex, WaitTime: 50 * time.Millisecond}
	if _, same := status(shortWait); same.LastIndex != next.LastIndex {
		t.Errorf("after a wait without a change the index is %d, want %d", same.LastIndex, next.LastIndex)
	}
	must(client.Agent().EnableServiceMaintenance("w1", ""))
	if got, _ := status(nil); got != api.HealthMaint {
		t.Errorf("in maintenance: %s", got)
	}
	must(client.Agent().DisableServiceMaintenance("w1"))
	must(client.Agent().EnableNodeMaintenance(""))
	if got, _ := status(nil); got != api.HealthMaint {
		t.Errorf("the node in maintenance: %s", got)
	}
	must(client.Agent().DisableNodeMaintenance())
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		if got, _ := status(nil); got == api.HealthCritical {
			break
		}
		if time.Now().After(end) {
			t.Fatal("the TTL never runs out")
		}
	}
	if entries, _, err := client.Health().Service("web", "y", false, nil); err != nil || len(entries) != 0 {
		t.Errorf("with a tag that it has not: %d entries, %v", len(entries), err)
	}
	list, _, err := client.Catalog().Service("web", "", nil)
	if err != nil || len(list) != 1 || list[0].ServicePort != 80 {
		t.Errorf("the catalogue has %+v, %v", list, err)
	}
	if names, _, err := client.Catalog().Services(nil); err != nil || len(names["web"]) != 1 {
		t.Errorf("the catalogue has the services %v, %v", names, err)
	}
	_, err = client.KV().Put(&api.KVPair{Key: "a/b", Value: []byte("1")}, nil)
	must(err)
	pairs, meta, err := client.KV().List("a/", nil)
	if err != nil || len(pairs) != 1 || string(pairs[0].Value) != "1" || meta.LastIndex == 0 {
		t.Errorf("keys: %v %v", pairs, err)
	}
	_, err = client.KV().Delete("a/b", nil)
	must(err)
	if pairs, _, err := client.KV().List("a/", nil); err != nil || len(pairs) != 0 {
		t.Errorf("after deleting: %v %v", pairs, err)
	}
	must(client.Agent().ServiceDeregister("w1"))
	if got, _ := status(nil); got != "none" {
		t.Errorf("deregistered: %s", got)
	}
	if leader, err := client.Status().Leader(); err != nil || leader == "" {
		t.Errorf("leader %q, %v", leader, err)
	}
	if err := client.Agent().ServiceDeregister("w1"); err == nil {
		t.Error("what is not there is deregistered")
	}
	c.Put(Instance{Node: "n1", Service: "web", ID: "w2", Port: 1})
	c.SetTokens(map[string][]string{"good": {"web"}})
	if got, meta := status(nil); got != "none" || !meta.ResultsFilteredByACLs {
		t.Errorf("without a token: %s, filtered %v", got, meta.ResultsFilteredByACLs)
	}
	if got, meta := status(&api.QueryOptions{Token: "good"}); got != api.HealthPassing || meta.ResultsFilteredByACLs {
		t.Errorf("with its token: %s, filtered %v", got, meta.ResultsFilteredByACLs)
	}
}
