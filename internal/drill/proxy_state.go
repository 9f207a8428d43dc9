package drill

import "time"

// isServing reports whether clients are to send there.
func (p *proxy) isServing() bool {
	p.mu.Lock()
	run, running := p.run, p.cmd != nil
	p.mu.Unlock()
	if !running || run == nil {
		return false
	}
	p.cluster.Record.mu.Lock()
	defer p.cluster.Record.mu.Unlock()
	return run.ReadyAt > 0 && !run.EndRequested
}

// mayDial reports whether clients may connect there: the proxy serves, or SIGTERM came so short a time ago that they
// do not know.
func (p *proxy) mayDial() bool { return p.isServing() || p.sinceTerm() < p.cluster.Plan.DialAfterTerm }

// sinceTerm is how long ago the process that runs was sent SIGTERM; forever: it was not, or was not ready before.
func (p *proxy) sinceTerm() time.Duration {
	p.mu.Lock()
	run, running := p.run, p.cmd != nil
	p.mu.Unlock()
	if !running || run == nil {
		return forever
	}
	p.cluster.Record.mu.Lock()
	defer p.cluster.Record.mu.Unlock()
	if run.TermAt == 0 || run.ReadyAt == 0 || run.Killed {
		return forever
	}
	return p.cluster.now() - run.TermAt
}

// isDraining reports whether clients go on by the connections that they have: after SIGTERM, until these are closed.
func (p *proxy) isDraining() bool { return p.cluster.Plan.DialAfterTerm > 0 && p.sinceTerm() < forever }

// wasDrainingAt reports whether at a time the last process had been sent SIGTERM and not SIGKILL: it closed
// connections in good order then.
func (p *proxy) wasDrainingAt(at time.Time) bool {
	run := p.lastRun()
	if run == nil {
		return false
	}
	since := at.Sub(p.cluster.startedAt)
	p.cluster.Record.mu.Lock()
	defer p.cluster.Record.mu.Unlock()
	return run.TermAt > 0 && (!run.Killed || since < run.KilledAt)
}

// lastRun is the process that runs or ran last; nil: none has.
func (p *proxy) lastRun() *ProcessRun {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.run
}
