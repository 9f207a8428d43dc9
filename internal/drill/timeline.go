package drill

import (
	"encoding/json"
	"time"
)

// Timeline is what a drill's charts show: figures by second, in panels of lines.
type Timeline struct {
	Title  string
	Panels []Panel
}

// Panel is lines over one another.
type Panel struct {
	Title string
	Lines []Series
}

// Series is a figure for each second.
type Series struct {
	Name   string
	Values []float64
}

// JSON is the form in which it is kept in a report's folder.
func (t Timeline) JSON() []byte {
	text, _ := json.MarshalIndent(t, "", " ")
	return text
}

// Timeline counts the record by seconds: requests, calls to the list service, connections, and doormans that are ready.
func (r *Result) Timeline() Timeline {
	rec := r.Cluster.Record
	rec.mu.Lock()
	defer rec.mu.Unlock()
	seconds := max(1, int(r.Cluster.Plan.Lasts/time.Second)) // whole ones: a part of one would look like a fall
	count := func(name string, each func(add func(time.Duration))) Series {
		l := Series{name, make([]float64, seconds)}
		each(func(at time.Duration) {
			if i := int(at / time.Second); i >= 0 && i < seconds {
				l.Values[i]++
			}
		})
		return l
	}
	requests := func(name, end string) Series {
		return count(name, func(add func(time.Duration)) {
			for _, q := range rec.Requests {
				if end == "" || q.End == end {
					add(q.Sent)
				}
			}
		})
	}
	ready := Series{"ready", make([]float64, seconds)}
	for i := range ready.Values {
		at := time.Duration(i+1) * time.Second
		for _, l := range rec.ProcessRuns {
			if l.Ready > 0 && l.Ready <= at && (l.End == 0 || l.End > at) {
				ready.Values[i]++
			}
		}
	}
	return Timeline{r.Cluster.Plan.File, []Panel{
		{"requests a second", []Series{requests("sent", ""), requests("served", "served"), requests("refused", "refused"), requests("failed", "failed")}},
		{"calls to the list service a second", []Series{count("calls", func(add func(time.Duration)) {
			for _, c := range rec.Calls {
				add(c.At)
			}
		})}},
		{"new connections to boxes a second", []Series{count("connections", func(add func(time.Duration)) {
			for _, m := range rec.Made {
				if toBox(m.To) {
					add(m.At)
				}
			}
		})}},
		{"doormans ready", []Series{ready}},
	}}
}
