package drill

import (
	"bytes"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

const (
	// maxStartTime is how long reload waits for a process to have started, and startPollInterval how often it checks.
	maxStartTime      = 3 * time.Second
	startPollInterval = 5 * time.Millisecond
)

// finish ends the process as in a planned restart: SIGTERM, and SIGKILL at the protocol's earliest time if it is still
// running. It returns once the process has ended.
func (p *proxy) finish() error {
	p.mu.Lock()
	running, ended := p.cmd != nil, p.ended
	p.mu.Unlock()
	if !running {
		return nil
	}
	p.terminate(syscall.SIGTERM)
	select {
	case <-ended:
	case <-time.After(p.cluster.Plan.earliestKill()):
		p.terminate(syscall.SIGKILL)
		<-ended
	}
	return nil
}

// reload sends SIGHUP to the process, if one is running, once it handles signals: a process that has just been started
// would be terminated by SIGHUP, like any program without a handler.
func (p *proxy) reload() error {
	p.mu.Lock()
	running, ended, logOffset := p.cmd != nil, p.ended, p.logOffset
	p.mu.Unlock()
	for deadline := time.Now().Add(maxStartTime); running && time.Now().Before(deadline) && !p.hasStarted(logOffset); {
		select {
		case <-ended:
			return nil
		case <-time.After(startPollInterval):
		}
	}
	p.signal(syscall.SIGHUP)
	return nil
}

// hasStarted reports whether the log contains a start event after an offset.
func (p *proxy) hasStarted(offset int64) bool {
	text, err := os.ReadFile(filepath.Join(p.dir, logFile))
	return err == nil && int64(len(text)) > offset && bytes.Contains(text[offset:], []byte("event=started"))
}

// signal sends a signal that the process, if one is running, survives.
func (p *proxy) signal(signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(signal)
	}
}

// terminate sends a signal that ends the process, if one is running, and records that it was told to end.
func (p *proxy) terminate(signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	run, at := p.run, p.cluster.now()
	p.cluster.Record.update(func() {
		run.EndRequested = true
		switch {
		case signal == syscall.SIGKILL && !run.Killed:
			run.Killed = true
			run.KilledAt = at
		case signal == syscall.SIGTERM && run.TermAt == 0:
			run.TermAt = at
		}
	})
	_ = p.cmd.Process.Signal(signal)
}

// pause stops the process, if one has run, until resume.
func (p *proxy) pause() {
	at, run := p.cluster.now(), p.lastRun()
	if run == nil {
		return
	}
	p.signal(syscall.SIGSTOP)
	p.cluster.Record.update(func() { run.Pauses = append(run.Pauses, Span{From: at}) })
}

func (p *proxy) resume() {
	at, run := p.cluster.now(), p.lastRun()
	if run == nil {
		return
	}
	p.signal(syscall.SIGCONT)
	p.cluster.Record.update(func() {
		if n := len(run.Pauses); n > 0 {
			run.Pauses[n-1].To = at
		}
	})
}

// close kills the process.
func (p *proxy) close() {
	p.terminate(syscall.SIGKILL)
	p.wait()
	if p.relay != nil {
		p.relay.close()
	}
}

// wait returns once no process is running.
func (p *proxy) wait() {
	p.mu.Lock()
	ended := p.ended
	p.mu.Unlock()
	if ended != nil {
		<-ended
	}
}
