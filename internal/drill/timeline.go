package drill

import (
	"encoding/json"
	"time"
)

// Timeline is the data of a drill's charts: figures per second, in panels of lines.
type Timeline struct {
	Title  string  `json:"Title"`
	Panels []Panel `json:"Panels"`
}

// Panel is a chart of several lines.
type Panel struct {
	Title string   `json:"Title"`
	Lines []Series `json:"Lines"`
}

// Series is one line of a panel, with a value for each second.
type Series struct {
	Name   string    `json:"Name"`
	Values []float64 `json:"Values"`
}

// JSON encodes the timeline for the file in a report's folder.
func (t Timeline) JSON() []byte {
	text, _ := json.MarshalIndent(t, "", " ") // all of its values can be encoded
	return text
}

// Timeline counts the record's requests, calls to the list service, connections and ready proxies by second.
func (r *Result) Timeline() Timeline {
	record := r.Cluster.Record
	record.mu.Lock()
	defer record.mu.Unlock()
	seconds := max(1, int(r.Cluster.Plan.Duration/time.Second)) // whole ones: a partial one would look like a drop
	sent := newSeries("sent", seconds)
	byOutcome := map[Outcome]Series{}
	for _, outcome := range []Outcome{OutcomeServed, OutcomeRejected, OutcomeFailed} {
		byOutcome[outcome] = newSeries(string(outcome), seconds)
	}
	for _, request := range record.Requests {
		sent.count(request.SentAt)
		if series, ok := byOutcome[request.Outcome]; ok {
			series.count(request.SentAt)
		}
	}
	calls := newSeries("calls", seconds)
	for _, call := range record.ListCalls {
		calls.count(call.At)
	}
	connections := newSeries("connections", seconds)
	for _, connection := range record.Connections {
		if isEndpoint(connection.To) {
			connections.count(connection.At)
		}
	}
	requests := []Series{sent, byOutcome[OutcomeServed], byOutcome[OutcomeRejected], byOutcome[OutcomeFailed]}
	return Timeline{r.Cluster.Plan.File, []Panel{
		{"requests a second", requests},
		{"calls to the list service a second", []Series{calls}},
		{"new connections to endpoints a second", []Series{connections}},
		{"proxies ready", []Series{record.readySeries(seconds)}},
	}}
}

func newSeries(name string, seconds int) Series { return Series{name, make([]float64, seconds)} }

// count adds one to the value of the second that contains a time, if the series covers it.
func (s Series) count(at time.Duration) {
	if second := int(at / time.Second); second >= 0 && second < len(s.Values) {
		s.Values[second]++
	}
}

// readySeries counts the processes that are ready at the end of each second.
func (r *Record) readySeries(seconds int) Series {
	ready := newSeries("ready", seconds)
	for second := range ready.Values {
		at := time.Duration(second+1) * time.Second
		for _, run := range r.ProcessRuns {
			if run.ReadyAt > 0 && run.ReadyAt <= at && (run.EndedAt == 0 || run.EndedAt > at) {
				ready.Values[second]++
			}
		}
	}
	return ready
}
