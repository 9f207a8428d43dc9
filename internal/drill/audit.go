package drill

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// slack is what the platform's rules allow beyond each time on sockets.
const slack = 50 * time.Millisecond

// Bounds of standin.Settings that the audit holds the doormans to.
const (
	attemptsCap = 6
	keyedWindow = 3 * time.Second
)

// Audit holds the record against the plan.
func (w *Cluster) Audit() []Verdict {
	w.readViolations()
	w.Record.mu.Lock()
	defer w.Record.mu.Unlock()
	var out []Verdict
	for _, h := range w.Plan.Invariants {
		out = append(out, w.Record.hold(h))
	}
	return out
}

// finding collects what breaks a check.
type finding struct {
	first []string
	count int
}

func (f *finding) add(format string, args ...any) {
	if f.count++; len(f.first) < 3 {
		f.first = append(f.first, fmt.Sprintf(format, args...))
	}
}

func (f *finding) verdict(h Invariant, fine string) Verdict {
	if f.count == 0 {
		return Verdict{h, true, fine}
	}
	text := fmt.Sprintf("%d times: ", f.count)
	for i, s := range f.first {
		if i > 0 {
			text += "; "
		}
		text += s
	}
	return Verdict{h, false, text}
}

// in says whether a time is in the hold's.
func (h Invariant) in(at time.Duration) bool { return at >= h.From && (h.To == 0 || at < h.To) }

// hold judges one line.
func (r *Record) hold(h Invariant) Verdict {
	var f finding
	switch h.Check {
	case "answers":
		n, excused := 0, 0
		for _, q := range r.Requests {
			if !h.in(q.Sent) {
				continue
			}
			n++
			switch {
			case q.Answers > 1:
				f.add("request %s had %d answers", q.ID, q.Answers)
			case q.End == "served" || q.End == "refused" || q.End == "failed" || q.End == "left":
			case r.excused(q):
				excused++
			default:
				f.add("request %s sent at %.2f s to doorman %d: %s", q.ID, q.Sent.Seconds(), q.Proxy, q.fate())
			}
		}
		for range r.Strays {
			f.add("an answer to nothing that was open")
		}
		if n == 0 {
			f.add("nothing was asked")
		}
		return f.verdict(h, fmt.Sprintf("%d requests, %d of them with a doorman that was ended or stopped", n, excused))
	case "repeats":
		r.repeats(&f)
		return f.verdict(h, fmt.Sprintf("%d attempts", len(r.Attempts)))
	case "ledger":
		charges := 0
		for _, q := range r.Requests {
			if q.Key == "" {
				continue
			}
			charges++
			if q.End == "served" && r.Posted[q.Key] == 0 {
				f.add("%s was answered as posted and is not", q.Key)
			}
		}
		for key, n := range r.Posted {
			if n > 1 {
				f.add("%s was posted %d times", key, n)
			}
		}
		return f.verdict(h, fmt.Sprintf("%d charges, %d posted", charges, len(r.Posted)))
	case "drains":
		bound, _ := bound(h)
		limit := time.Duration(bound*float64(time.Second)) + slack
		for _, d := range r.Drains {
			end := time.Duration(1 << 62)
			for _, b := range r.Back {
				if b.Endpoint == d.Endpoint && b.At > d.At {
					end = min(end, b.At)
				}
			}
			for _, a := range r.Attempts {
				if a.Endpoint == d.Endpoint && a.At > d.At+limit && a.At < end {
					f.add("%s drains since %.2f s, and was sent %s at %.2f s by %s", d.Endpoint, d.At.Seconds(), a.ID, a.At.Seconds(), a.From)
				}
			}
		}
		return f.verdict(h, fmt.Sprintf("%d drains", len(r.Drains)))
	case "left":
		limit, _ := bound(h)
		left := r.holdLeft(time.Duration(limit*float64(time.Second)), &f)
		return f.verdict(h, fmt.Sprintf("%d clients left", left))
	case "deadlines":
		excess, _ := bound(h)
		r.holdDeadlines(r.limit, time.Duration(excess*float64(time.Second)), &f)
		return f.verdict(h, fmt.Sprintf("%d attempts", len(r.Attempts)))
	case "monitors":
		for _, violation := range r.Violations {
			f.add("%s", violation)
		}
		return f.verdict(h, "none")
	case "upright":
		for _, b := range r.Falls {
			f.add("%s fell over at %.2f s", b.Endpoint, b.At.Seconds())
		}
		return f.verdict(h, "none fell over")
	case "served":
		want, _ := bound(h)
		ends := map[string]int{}
		n := 0
		for _, q := range r.Requests {
			if h.in(q.Sent) && !r.excused(q) {
				n++
				ends[q.End]++
			}
		}
		share := float64(ends["served"]) / float64(max(1, n))
		if n == 0 || share < want {
			f.add("%.4f of %d requests: %v", share, n, ends)
		}
		return f.verdict(h, fmt.Sprintf("%.4f of %d requests", share, n))
	case "ready":
		want, _ := bound(h)
		share := 1.0
		if len(h.Words) > 1 {
			share, _ = strconv.ParseFloat(h.Words[1], 64)
		}
		var took []time.Duration
		for _, l := range r.ProcessRuns {
			switch {
			case !h.in(l.Start):
			case l.Ready > 0:
				took = append(took, l.Ready-l.Start)
			case !l.Ours:
				took = append(took, 1<<62)
			}
		}
		slices.Sort(took)
		if len(took) == 0 {
			f.add("no doorman was started")
			return f.verdict(h, "")
		}
		at := took[min(len(took)-1, max(0, int(share*float64(len(took))+0.999)-1))]
		if at.Seconds() > want {
			f.add("%s for %g of %d starts", readyText(at), share, len(took))
		}
		return f.verdict(h, fmt.Sprintf("half of %d starts within %s, %g within %s", len(took), readyText(took[(len(took)-1)/2]), share, readyText(at)))
	case "alive":
		for _, l := range r.ProcessRuns {
			if l.End > 0 && !l.Ours {
				f.add("doorman %d ended by itself at %.2f s: %s", l.Proxy, l.End.Seconds(), l.Error)
			}
		}
		return f.verdict(h, fmt.Sprintf("%d processes", len(r.ProcessRuns)))
	case "list-calls", "list-peak":
		var at []time.Duration
		for _, c := range r.Calls {
			if h.in(c.At) {
				at = append(at, c.At)
			}
		}
		n := len(at)
		if h.Check == "list-peak" {
			n = peak(at)
		}
		if want, _ := bound(h); float64(n) > want {
			f.add("%d", n)
		}
		return f.verdict(h, fmt.Sprint(n))
	case "peer-bytes":
		most, which := 0.0, ""
		for from, list := range r.Sent {
			sum, seconds := 0, 0
			for second, n := range list {
				if h.in(time.Duration(second) * time.Second) {
					sum, seconds = sum+n, seconds+1
				}
			}
			if mean := float64(sum) / float64(max(1, seconds)); mean > most {
				most, which = mean, from
			}
		}
		if want, _ := bound(h); most > want || most == 0 {
			f.add("%.0f by %s", most, which)
		}
		return f.verdict(h, fmt.Sprintf("%.0f by %s", most, which))
	case "box-connections":
		by := map[string][]time.Duration{}
		for _, m := range r.Made {
			if h.in(m.At) && toBox(m.To) {
				by[m.To] = append(by[m.To], m.At)
			}
		}
		most, which := 0, ""
		for to, at := range by {
			if n := peak(at); n > most {
				most, which = n, to
			}
		}
		if want, _ := bound(h); float64(most) > want {
			f.add("%d to %s", most, which)
		}
		return f.verdict(h, fmt.Sprintf("%d to %s", most, which))
	}
	f.add("unknown check")
	return f.verdict(h, "")
}

func readyText(d time.Duration) string {
	if d == 1<<62 {
		return "never"
	}
	return d.Round(time.Millisecond).String()
}

// peak is the most times that lie within any one second.
func peak(at []time.Duration) (most int) {
	slices.Sort(at)
	first := 0
	for i := range at {
		for at[i]-at[first] >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

func (q *Request) fate() string {
	switch q.End {
	case "broken":
		return fmt.Sprintf("its connection ended at %.2f s", q.Ended.Seconds())
	case "none":
		return "no answer came"
	}
	return "it is open still"
}

// excused says whether a request may be without a final answer: its doorman was killed or stopped by the plan while it was
// open (one that was told to end has to answer first), or the clients' way to it was disturbed.
func (r *Record) excused(q *Request) bool {
	if q.End == "served" || q.End == "refused" || q.End == "failed" {
		return false
	}
	end := q.Ended
	if end == 0 {
		end = 1 << 62
	}
	open := Span{q.Sent, end}
	for _, s := range r.Upset {
		if s.has(open.From, open.To) {
			return true
		}
	}
	for _, l := range r.ProcessRuns {
		if l.Proxy != q.Proxy {
			continue
		}
		if l.Killed && l.End > 0 && l.End >= q.Sent && l.Start <= q.Sent {
			return true
		}
		for _, s := range l.Stops {
			if s.has(open.From, open.To) {
				return true
			}
		}
	}
	return false
}

// repeats looks at the attempts of each request: never two out together, none after a good end, no more than the cap, and a
// keyed one that may have run is repeated within its window only.
func (r *Record) repeats(f *finding) {
	by := map[string][]*Attempt{}
	for _, a := range r.Attempts {
		by[a.ID] = append(by[a.ID], a)
	}
	for id, list := range by {
		slices.SortStableFunc(list, func(a, b *Attempt) int { return int(a.At - b.At) })
		if len(list) > attemptsCap {
			f.add("%s was sent %d times, at most %d are allowed", id, len(list), attemptsCap)
		}
		for i, a := range list[1:] {
			before := list[i]
			if over := before.over(); over == 0 || over > a.At+slack {
				f.add("%s was out at %s since %.3f s when it was sent to %s at %.3f s", id, before.Endpoint, before.At.Seconds(), a.Endpoint, a.At.Seconds())
			}
			if before.Ended > 0 && before.Ran && before.Ended+slack < a.At && before.Quit == 0 && before.conn.over() == 0 {
				f.add("%s had a good answer of %s and was sent to %s", id, before.Endpoint, a.Endpoint)
			}
		}
		if first := list[0]; first.Key != "" {
			for _, a := range list[1:] {
				if (first.Ended == 0 || first.Ran) && a.At-first.At > keyedWindow+slack {
					f.add("%s may have run at %.2f s and was repeated %.2f s later", first.Key, first.At.Seconds(), (a.At - first.At).Seconds())
				}
			}
		}
	}
}

// toBox says whether an end is a box.
func toBox(end string) bool { return strings.HasPrefix(end, "box:") }
