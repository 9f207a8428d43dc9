package drill

import (
	"errors"
	"fmt"
	"sync"
	"syscall"
	"time"
)

// diskMode is the state of a proxy's disk when its process starts.
type diskMode string

// The disk modes, by their names in plans.
const (
	withDisk    diskMode = "with-disk"    // as the previous process left it
	withoutDisk diskMode = "without-disk" // empty
	oldDisk     diskMode = "old-disk"     // as saved by the step `keep-disk`
)

// maxConcurrentStarts bounds how many processes are being started at the same time.
const maxConcurrentStarts = 8

// startAction starts the processes of proxies that are not running.
type startAction struct {
	selector string
	disk     diskMode
}

func parseStart(words []string) (action, error) {
	start := startAction{selector: words[0], disk: withDisk}
	if len(words) > 1 {
		start.disk = diskMode(words[1])
	}
	switch start.disk {
	case withDisk, withoutDisk, oldDisk:
		return start, nil
	}
	return nil, errUsage
}

func (a startAction) prepare(c *Cluster, _ Step) (operation, error) {
	proxies, err := c.selectProxies(a.selector)
	if err != nil {
		return operation{}, err
	}
	return operation{apply: func() error { return startAll(proxies, a.disk, c.Plan.StartSpread) }}, nil
}

// startAll starts proxies, spread over a time. It starts several concurrently, as separate machines would: if the
// starts ran one after another, forking alone would spread them out.
func startAll(proxies []*proxy, disk diskMode, spread time.Duration) error {
	gap := spread / time.Duration(len(proxies))
	var all sync.WaitGroup
	errs := make([]error, len(proxies))
	slots := make(chan bool, maxConcurrentStarts)
	for i, p := range proxies {
		all.Add(1)
		slots <- true
		go func() {
			defer all.Done()
			errs[i] = p.start(disk)
			<-slots
		}()
		time.Sleep(gap)
	}
	all.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// rollingRestartAction kills and restarts each process, one proxy after another.
type rollingRestartAction struct {
	selector string
	gap      time.Duration
	times    int
}

func parseRollingRestart(words []string) (action, error) {
	gap, err := time.ParseDuration(words[1])
	if err != nil || gap <= 0 {
		return nil, fmt.Errorf("expected a time, got %.40q", words[1])
	}
	restart := rollingRestartAction{selector: words[0], gap: gap, times: 1}
	if len(words) > 2 {
		if restart.times, err = parseCount(words[2], 1, 10); err != nil {
			return nil, err
		}
	}
	return restart, nil
}

func (a rollingRestartAction) prepare(c *Cluster, _ Step) (operation, error) {
	proxies, err := c.selectProxies(a.selector)
	if err != nil {
		return operation{}, err
	}
	restart := func(p *proxy) error {
		p.terminate(syscall.SIGKILL)
		p.wait()
		if err := p.start(withDisk); err != nil {
			return err
		}
		time.Sleep(a.gap)
		return nil
	}
	return operation{apply: func() error {
		for range a.times {
			if err := forEach(proxies, restart); err != nil {
				return err
			}
		}
		return nil
	}}, nil
}

// proxyAction does the same to each selected proxy.
type proxyAction struct {
	who   string
	apply func(p *proxy) error
	undo  func(p *proxy) error // nil: it is not undone
	// concurrent makes apply run for all proxies concurrently, because it takes long.
	concurrent bool
}

func parseKill(words []string) (action, error) {
	return proxyAction{who: words[0], apply: func(p *proxy) error {
		p.terminate(syscall.SIGKILL)
		return nil
	}}, nil
}

func parseTerminate(words []string) (action, error) {
	return proxyAction{who: words[0], apply: func(p *proxy) error {
		p.terminate(syscall.SIGTERM)
		return nil
	}}, nil
}

// parseFinish parses a step that ends processes as in a planned restart: SIGTERM, and then SIGKILL at the earliest time
// that the protocol allows, if a process is still running.
func parseFinish(words []string) (action, error) {
	return proxyAction{who: words[0], concurrent: true, apply: (*proxy).finish}, nil
}

// parseFiles parses a step that rewrites the proxies' configuration files.
func parseFiles(words []string) (action, error) {
	switch {
	case len(words) == 1:
		return proxyAction{who: words[0], apply: (*proxy).writeSettings}, nil
	case words[1] == "broken":
		return proxyAction{who: words[0], apply: (*proxy).breakSettings}, nil
	}
	return nil, errUsage
}

func parseReload(words []string) (action, error) {
	return proxyAction{who: words[0], concurrent: true, apply: (*proxy).reload}, nil
}

func parsePause(words []string) (action, error) {
	pause := func(p *proxy) error {
		p.pause()
		return nil
	}
	resume := func(p *proxy) error {
		p.resume()
		return nil
	}
	return proxyAction{who: words[0], apply: pause, undo: resume}, nil
}

func parseKeepDisk(words []string) (action, error) {
	return proxyAction{who: words[0], apply: (*proxy).keepDisk}, nil
}

func parseClock(words []string) (action, error) {
	offset, err := time.ParseDuration(words[1])
	if err != nil {
		return nil, fmt.Errorf("expected a time, got %.40q", words[1])
	}
	return proxyAction{who: words[0], apply: func(p *proxy) error {
		p.clockOffset = offset
		return nil
	}}, nil
}

func (a proxyAction) prepare(c *Cluster, _ Step) (operation, error) {
	proxies, err := c.selectProxies(a.who)
	if err != nil {
		return operation{}, err
	}
	visit := forEach
	if a.concurrent {
		visit = forEachConcurrently
	}
	op := operation{apply: func() error { return visit(proxies, a.apply) }}
	if a.undo != nil {
		op.undo = func() error { return forEach(proxies, a.undo) }
	}
	return op, nil
}

// forEach calls do for each proxy and stops at the first error.
func forEach(proxies []*proxy, do func(*proxy) error) error {
	for _, p := range proxies {
		if err := do(p); err != nil {
			return err
		}
	}
	return nil
}

// forEachConcurrently calls do for all proxies concurrently, waits for all calls and joins their errors.
func forEachConcurrently(proxies []*proxy, do func(*proxy) error) error {
	var all sync.WaitGroup
	errs := make([]error, len(proxies))
	for i, p := range proxies {
		all.Add(1)
		go func() {
			defer all.Done()
			errs[i] = do(p)
		}()
	}
	all.Wait()
	return errors.Join(errs...)
}
