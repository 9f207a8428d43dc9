package broker_test

import (
	"fmt"
	"hash/fnv"
	"strconv"
	"testing"
	"time"

	"sloequay/internal/broker"
	"sloequay/internal/digesttest"
	"sloequay/internal/policy"
	"sloequay/internal/policy/outlier"
)

const decisionSeeds = 24

// effectText formats an effect for the digests. Its words are fixed and independent of the names in the code.
func (s *simulation) effectText(effect broker.Effect) string {
	switch e := effect.(type) {
	case broker.SendAttempt:
		return attemptText(e.Attempt)
	case broker.CancelAttempt:
		return fmt.Sprintf("quit %s %d %s", e.Attempt.Request.ID, e.Attempt.Number, digesttest.Flags(e.AwaitEnd))
	case broker.Respond:
		return "answer " + e.Request.ID + " " + responseText(e.Response)
	case broker.EndpointChanged:
		return "moved " + endpointText(e.Endpoint) + " " + digesttest.Flags(e.Restarted)
	case broker.RefetchList:
		return fmt.Sprintf("confirm %d", e.Source)
	case broker.LogEntry:
		if text, ok := ejectionText(e); ok {
			return text
		}
		return "line " + e.Event + s.fieldsText(e)
	}
	panic("unknown type of effect: add a case to effectText")
}

// ejectionText formats the log entry of an ejection or readmission as it was when the digests were recorded: a single
// event outlier-detection, whose text named the endpoint by its id, the FNV-1a hash of its name.
func ejectionText(entry broker.LogEntry) (string, bool) {
	if entry.Event != "endpoint-ejected" && entry.Event != "endpoint-readmitted" {
		return "", false
	}
	hash := fnv.New64a()
	hash.Write([]byte(entry.Fields[1].(string)))
	text := fmt.Sprintf("trusted again %x", hash.Sum64())
	if entry.Event == "endpoint-ejected" {
		cause := "failing"
		if entry.Fields[3].(outlier.Cause) == outlier.Unresponsive {
			cause = "silent"
		}
		text = fmt.Sprintf("ejected %x: %s", hash.Sum64(), cause)
	}
	return fmt.Sprintf("line outlier-detection %q %q", "text", text), true
}

func attemptText(a *broker.Attempt) string {
	return fmt.Sprintf("send %s %d %s %s %d %d %s %d",
		a.Request.ID, a.Number, a.Endpoint.Name, a.Source.Name, a.CacheRank, int64(a.MaxAge),
		digesttest.Flags(a.JoinFill, a.CachedOnly, a.BypassParent, a.Revalidate), int64(a.Deadline))
}

func responseText(response broker.Response) string {
	host := "-"
	if response.Endpoint != nil {
		host = response.Endpoint.Name
	}
	text := fmt.Sprintf("%s %s %q %q %d %q %q", kindText(response.Kind), host, response.Address, response.Body,
		int64(response.RetryAfter), response.Budget, response.Reason)
	for _, field := range response.Fields {
		text += fmt.Sprintf(" %q=%q", field.Name, field.Value)
	}
	return text
}

func kindText(kind broker.ResponseKind) string {
	switch kind {
	case broker.ResponseServed:
		return "answered"
	case broker.ResponseNotModified:
		return "same"
	case broker.ResponseRejected:
		return "rejected"
	case broker.ResponseFailed:
		return "failed"
	case broker.ResponseDenied:
		return "denied"
	}
	panic("unknown kind of response: add a case to kindText")
}

func endpointText(e *broker.Endpoint) string {
	state := "gone"
	switch e.State {
	case policy.Ready:
		state = "ready"
	case policy.Draining:
		state = "draining"
	}
	return fmt.Sprintf("%s %s %d %d %d %d %s %s %d",
		e.Name, e.Address, uint64(e.ID), e.Zone, e.Kind, e.Cell, state,
		strconv.FormatFloat(e.Weight, 'g', -1, 64), int64(e.StartedAt))
}

// fieldsText formats the values of a log entry. They include the strings that operators read, which must not change.
func (s *simulation) fieldsText(entry broker.LogEntry) string {
	if entry.Event == "policy-invalid-action" {
		s.t.Error("the policy sent an attempt of a request or to an endpoint that the broker does not know")
		return ""
	}
	text := ""
	for _, field := range entry.Fields {
		switch value := field.(type) {
		case string:
			text += fmt.Sprintf(" %q", value)
		case int:
			text += fmt.Sprintf(" %d", value)
		case time.Duration:
			text += fmt.Sprintf(" %d", int64(value))
		case fmt.Stringer:
			text += fmt.Sprintf(" %q", value.String())
		default:
			panic("unknown type of log value: add a case to fieldsText")
		}
	}
	return text
}

// decisionMinimums gives the minimum number of events of each kind over all seeds. With fewer the digests would not
// cover that kind well enough.
var decisionMinimums = map[string]int{
	"blocked at writing": 300, "cancels": 1000, "cancels that await the end": 30, "changed endpoints": 300,
	"clients that canceled": 300, "refetches": 20, "shutdowns": 6, "drains": 80, "ejections": 100,
	"responses: answered": 5000, "responses: failed": 400, "responses: rejected": 8000,
	"responses: same": 600, "hedges": 300, "ends after cancels": 300, "log endpoint-added": 100,
	"log endpoint-recovered": 40, "log endpoint-draining": 60, "log endpoint-suppressed": 7, "log endpoint-removed": 80,
	"log endpoint-moved": 50, "log endpoint-released": 5, "log endpoint-restarted": 50, "log drain-deadline": 6,
	"log list-loss-suspected": 20, "log list-loss-refuted": 20, "log snapshot-restored": 3, "budget exhausted": 1000,
	"purges": 300, "readmissions": 50, "reloaded lists": 100, "restarted endpoints": 100, "retries": 3000,
	"sends": 10000, "source status changes": 100, "written with a max age": 5000,
}

// TestDecisions plays random event sequences and compares the digests of all effects with the recorded ones.
func TestDecisions(t *testing.T) {
	counts := map[string]int{}
	digesttest.Check(t, decisionSeeds, func(seed uint64, recorder *digesttest.Recorder) {
		s := newSimulation(t, seed, recorder, counts)
		s.run(200 + 40*int(seed))
		s.finish(seed%2 == 1)
	})
	digesttest.CheckCounts(t, counts, decisionMinimums)
}
