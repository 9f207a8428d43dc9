package drill

import "time"

// isServing reports whether clients should send requests to the proxy.
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

// mayDial reports whether clients may connect to the proxy: it is serving, or SIGTERM was sent so recently that clients
// do not know of it yet.
func (p *proxy) mayDial() bool { return p.isServing() || p.sinceTerm() < p.cluster.Plan.DialAfterTerm }

// sinceTerm returns how long ago SIGTERM was sent to the running process; forever if it was not sent, the process was
// not ready before, or it has been killed.
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

// isDraining reports whether clients continue on their open connections: after SIGTERM, until these are closed.
func (p *proxy) isDraining() bool { return p.cluster.Plan.DialAfterTerm > 0 && p.sinceTerm() < forever }

// wasDrainingAt reports whether the last process had been sent SIGTERM but not SIGKILL at a time, so that it closed
// connections in an orderly way then.
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

// lastRun returns the process that is running or was the last to run; nil: none has been started.
func (p *proxy) lastRun() *ProcessRun {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.run
}
