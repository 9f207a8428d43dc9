package drill

import (
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Result is what a drill came to.
type Result struct {
	Checks  []Verdict
	Cluster *Cluster
	Took    time.Duration
}

// Verdict is one `hold` line with what became of it.
type Verdict struct {
	Invariant Invariant
	OK        bool
	Found     string // figures, or the first things that broke it
}

// OK says whether all held.
func (r *Result) OK() bool {
	return !slices.ContainsFunc(r.Checks, func(v Verdict) bool { return !v.OK })
}

// Run plays a plan and audits it. progress gets a line each second; nil: none.
func Run(p *Plan, program, dir string, seed uint64, progress io.Writer) (*Result, error) {
	w, err := New(p, program, dir, seed)
	if err != nil {
		return nil, err
	}
	defer w.Close()
	if err := w.play(progress); err != nil {
		return nil, err
	}
	r := &Result{Cluster: w, Took: w.now()}
	r.Checks = w.Audit()
	return r, nil
}

// deed is an act or the end of one, at its time.
type deed struct {
	at   time.Duration
	line string
	do   func() error
}

// play carries out the time line.
func (w *Cluster) play(progress io.Writer) error {
	var deeds []deed
	for _, a := range w.Plan.Steps {
		ds, err := w.deeds(a)
		if err != nil {
			return fmt.Errorf("%s: at %s: %w", w.Plan.File, a.Line, err)
		}
		deeds = append(deeds, ds...)
	}
	slices.SortStableFunc(deeds, func(a, b deed) int { return int(a.at - b.at) })
	w.began = time.Now()
	w.fabric.began = w.began
	for z := range w.Plan.Plazas {
		w.clients.run(z + 1)
	}
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	end := time.NewTimer(w.Plan.Lasts)
	defer end.Stop()
	var failed error
	var mu sync.Mutex
	for {
		wait := time.Hour
		if len(deeds) > 0 {
			wait = deeds[0].at - w.now()
		}
		next := time.NewTimer(wait)
		select {
		case <-next.C:
			d := deeds[0]
			deeds = deeds[1:]
			if progress != nil {
				fmt.Fprintf(progress, "%6.1f s  -- %s\n", w.now().Seconds(), d.line)
			}
			go func() { // a start of hundreds takes a while, and nothing else waits for it
				if err := d.do(); err != nil {
					mu.Lock()
					failed = fmt.Errorf("%s: %w", d.line, err)
					mu.Unlock()
				}
			}()
		case <-tick.C:
			if progress != nil {
				fmt.Fprintln(progress, w.progress())
			}
		case <-end.C:
			next.Stop()
			w.clients.finish()
			mu.Lock()
			defer mu.Unlock()
			return failed
		}
		next.Stop()
	}
}

func (w *Cluster) progress() string {
	up := 0
	for _, d := range w.doormans {
		if d.serving() {
			up++
		}
	}
	w.Record.mu.Lock()
	defer w.Record.mu.Unlock()
	served := 0
	for _, r := range w.Record.Requests {
		if r.End == "served" {
			served++
		}
	}
	return fmt.Sprintf("%6.1f s  %d of %d doormans ready, %d requests, %d served, %d list calls, %d connections", w.now().Seconds(), up,
		len(w.doormans), len(w.Record.Requests), served, len(w.Record.Calls), len(w.Record.Made))
}

// who resolves a selector to names of ends: doormans, doormans:SHARE, doorman:N, plaza:N, hub, boxes, box:ID, list, clients,
// joined by +. A share is drawn by the drill's seed, the same each time.
func (w *Cluster) who(text string) (map[string]bool, error) {
	out := map[string]bool{}
	for _, part := range strings.Split(text, "+") {
		kind, arg, _ := strings.Cut(part, ":")
		n, numErr := strconv.ParseFloat(arg, 64)
		found := len(out)
		switch {
		case kind == "doormans" && arg == "":
			for _, d := range w.doormans {
				out[d.name] = true
			}
		case kind == "doormans" && numErr == nil && n > 0 && n <= 1:
			h := fnv.New64a()
			_, _ = h.Write([]byte(part))
			order := rand.New(rand.NewPCG(w.seed, h.Sum64())).Perm(len(w.doormans))
			for _, i := range order[:max(1, int(n*float64(len(order))))] {
				out[w.doormans[i].name] = true
			}
		case kind == "doorman" && numErr == nil && int(n) >= 0 && int(n) < len(w.doormans):
			out[w.doormans[int(n)].name] = true
		case kind == "plaza" && numErr == nil:
			for _, d := range w.doormans {
				if d.plaza == int(n) {
					out[d.name] = true
				}
			}
			for _, b := range w.order {
				if b.site == "p"+arg {
					out["box:"+b.id] = true
				}
			}
		case kind == "hub" || kind == "boxes":
			for _, b := range w.order {
				if kind == "boxes" || b.site == "hub" {
					out["box:"+b.id] = true
				}
			}
		case kind == "box" && w.boxes[arg] != nil:
			out["box:"+arg] = true
		case (kind == "list" || kind == "clients") && arg == "":
			out[kind] = true
		}
		if len(out) == found && len(strings.Split(text, "+")) == 1 {
			return nil, fmt.Errorf("nobody is %.40q; there are doormans, doormans:SHARE, doorman:N (of %d), plaza:N, hub, boxes, box:ID, list and clients", part, len(w.doormans))
		}
	}
	return out, nil
}

// places gives the doormans that a selector names.
func (w *Cluster) places(text string) ([]*doorman, error) {
	ends, err := w.who(text)
	if err != nil {
		return nil, err
	}
	var out []*doorman
	for _, d := range w.doormans {
		if ends[d.name] {
			out = append(out, d)
		}
	}
	if len(out) == 0 {
		return nil, fmt.Errorf("%.40q names no doorman", text)
	}
	return out, nil
}

// deeds resolves an act to what is done and, with a time, what takes it back.
func (w *Cluster) deeds(a Step) ([]deed, error) {
	one := func(do func() error) []deed { return []deed{{a.At, a.Line, do}} }
	back := func(ds []deed, undo func() error) []deed {
		if a.For == 0 {
			return ds
		}
		return append(ds, deed{a.At + a.For, "over: " + a.Line, undo})
	}
	each := func(list []*doorman, do func(*doorman) error) func() error {
		return func() error {
			for _, d := range list {
				if err := do(d); err != nil {
					return err
				}
			}
			return nil
		}
	}
	switch a.Do {
	case "start", "kill", "term", "stop", "hup", "keep-disk", "roll", "clock":
		list, err := w.places(a.Words[0])
		if err != nil {
			return nil, err
		}
		disk := "with-disk"
		if len(a.Words) > 1 {
			disk = a.Words[1]
		}
		switch a.Do {
		case "start":
			return one(func() error {
				gap := w.Plan.Spread / time.Duration(len(list))
				// Several start at once, as their machines would; one after another their forks alone would spread them.
				var all sync.WaitGroup
				errs := make([]error, len(list))
				places := make(chan bool, 8)
				for i, d := range list {
					all.Add(1)
					places <- true
					go func() { defer all.Done(); errs[i] = d.start(disk); <-places }()
					time.Sleep(gap)
				}
				all.Wait()
				for _, err := range errs {
					if err != nil {
						return err
					}
				}
				return nil
			}), nil
		case "roll":
			gap, _ := time.ParseDuration(a.Words[1])
			times := 1
			if len(a.Words) > 2 {
				times, _ = strconv.Atoi(a.Words[2])
			}
			return one(func() error {
				for range times {
					for _, d := range list {
						d.signal(syscall.SIGKILL, true)
						d.wait()
						if err := d.start(disk); err != nil {
							return err
						}
						time.Sleep(gap)
					}
				}
				return nil
			}), nil
		case "clock":
			by, _ := time.ParseDuration(a.Words[1])
			return one(each(list, func(d *doorman) error { d.ahead = by; return nil })), nil
		case "kill":
			return one(each(list, func(d *doorman) error { d.signal(syscall.SIGKILL, true); return nil })), nil
		case "term":
			return one(each(list, func(d *doorman) error { d.signal(syscall.SIGTERM, true); return nil })), nil
		case "hup":
			return one(each(list, func(d *doorman) error { d.signal(syscall.SIGHUP, false); return nil })), nil
		case "keep-disk":
			return one(each(list, (*doorman).keepDisk)), nil
		}
		return back(one(each(list, func(d *doorman) error { d.stop(); return nil })),
			each(list, func(d *doorman) error { d.goOn(); return nil })), nil
	case "cut", "refuse", "delay", "lose", "double", "reorder", "slow", "reset":
		x, err := w.who(a.Words[0])
		if err != nil {
			return nil, err
		}
		y, err := w.who(a.Words[1])
		if err != nil {
			return nil, err
		}
		if x["clients"] || y["clients"] {
			w.Record.Upset = append(w.Record.Upset, Span{a.At, a.At + a.For})
		}
		if a.Do == "reset" {
			return one(func() error { w.fabric.Reset(x, y); return nil }), nil
		}
		l, err := linkOf(a)
		if err != nil {
			return nil, err
		}
		var lifts []func()
		return back(one(func() error {
			lifts = append(lifts, w.fabric.Set(x, y, l))
			if len(a.Words) < 3 || a.Words[2] != "one-way" {
				lifts = append(lifts, w.fabric.Set(y, x, l))
			}
			return nil
		}), func() error {
			for _, lift := range lifts {
				lift()
			}
			return nil
		}), nil
	case "list":
		kind, amount, err := listFault(a.Words)
		if err != nil {
			return nil, err
		}
		return back(one(func() error { w.list.fault(kind, amount); return nil }),
			func() error { w.list.fault("well", 0); return nil }), nil
	case "liar":
		plaza, _ := strconv.Atoi(a.Words[0])
		var l *byzantinePeer
		return back(one(func() (err error) {
			if l, err = w.newLiar(plaza, a.Words[1]); err == nil {
				w.liars = append(w.liars, l)
			}
			return err
		}), func() error {
			w.liars = slices.DeleteFunc(w.liars, func(o *byzantinePeer) bool { return o == l })
			l.close()
			return nil
		}), nil
	case "same-address":
		n, _ := strconv.Atoi(a.Words[0])
		return one(func() error { w.list.stuff(n, w.order[0].address); return nil }), nil
	}
	b := w.boxes[strings.TrimPrefix(a.Words[0], "box:")]
	if b == nil {
		return nil, fmt.Errorf("there is no box %.40q", a.Words[0])
	}
	switch a.Do {
	case "drain":
		return back(one(func() error { w.mark(b, "draining"); return nil }), func() error { w.mark(b, "up"); return nil }), nil
	case "up":
		return one(func() error { w.mark(b, "up"); return nil }), nil
	}
	return one(func() error { w.die(b, max(a.For, time.Second)); return nil }), nil
}

// finish sends nothing more and waits until what is open has its end.
func (c *clients) finish() {
	close(c.stop)
	c.done.Wait()
	for end := time.Now().Add(c.w.Plan.Limit + 2*patience); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		open := 0
		c.mu.Lock()
		for _, list := range c.conn {
			for _, k := range list {
				k.mu.Lock()
				open += len(k.open)
				k.mu.Unlock()
			}
		}
		c.mu.Unlock()
		if open == 0 {
			return
		}
	}
}
