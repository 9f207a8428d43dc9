package drill

import (
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"

	"sloequay/internal/emulator"
)

const (
	// readyPollInterval is how often a starting process is polled for readiness.
	readyPollInterval = 20 * time.Millisecond
	// processorLimit limits the garbage collector's threads of each process: hundreds of processes share one machine,
	// and would slow each other down with as many threads each as it has cores.
	processorLimit = "GOMAXPROCS=2"
)

// The files in a proxy's folder.
const (
	configurationFile = "config.json"
	settingsFile      = "sloequay.conf"
	logFile           = "log"
)

// proxy is a slot for a process of the program: it keeps its address and folder while processes come and go.
type proxy struct {
	cluster     *Cluster
	number      int // from 0
	name        string
	ip          string
	listen      string
	zone        int // from 1
	dir, disk   string
	clockOffset time.Duration // of its Unix clock, from its next start
	peerListen  string        // the address on which it listens for its peers
	relay       *relay        // through which its peers reach it; nil: no peers

	settingsWritten int // how often its files have been written

	mu    sync.Mutex
	cmd   *exec.Cmd // nil: no process is running
	run   *ProcessRun
	ended chan struct{} // closed when the process has ended
	// logOffset is the length of the log when the process was started.
	logOffset int64
}

func (c *Cluster) newProxy(number int) (*proxy, error) {
	p := &proxy{
		cluster: c,
		number:  number,
		name:    fmt.Sprintf("d%03d", number),
		ip:      c.hostAddress(firstProxySubnet, number),
		zone:    1 + number%c.Plan.Zones,
	}
	p.dir = filepath.Join(c.Dir, p.name)
	p.disk = filepath.Join(p.dir, "disk")
	if err := os.MkdirAll(p.disk, 0o700); err != nil {
		return nil, err
	}
	c.network.join(p.ip, p.name)
	var err error
	p.listen, err = freeAddress(p.ip)
	return p, err
}

// listenBoth listens on one port of an IP address for both TCP and UDP.
func listenBoth(ip string) (tcp net.Listener, udp net.PacketConn, err error) {
	for range portAttempts {
		tcp, err = net.Listen("tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			return nil, nil, err
		}
		udp, err = net.ListenPacket("udp", tcp.Addr().String())
		if err == nil {
			return tcp, udp, nil
		}
		_ = tcp.Close()
	}
	return nil, nil, fmt.Errorf("%s: found no port that is free for both TCP and UDP", ip)
}

// freeAddress finds a port of an IP address that is free for TCP and UDP. The IP address belongs to one proxy, so the
// port stays free.
func freeAddress(ip string) (string, error) {
	tcp, udp, err := listenBoth(ip)
	if err != nil {
		return "", err
	}
	_ = tcp.Close()
	return tcp.Addr().String(), udp.Close()
}

// start starts a process, if none is running, without waiting until it is ready.
func (p *proxy) start(disk diskMode) error {
	p.mu.Lock()
	running := p.cmd != nil
	p.mu.Unlock()
	if running {
		return nil
	}
	if err := p.prepareDisk(disk); err != nil {
		return err
	}
	if err := p.writeSettings(); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(p.dir, logFile), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	logOffset, err := log.Seek(0, io.SeekEnd)
	if err != nil {
		return err
	}
	cmd := exec.Command(p.cluster.Program, "serve", "--config", filepath.Join(p.dir, configurationFile),
		"--conf", filepath.Join(p.dir, settingsFile))
	cmd.Stderr = log
	cmd.Env = append(append(os.Environ(), processorLimit), p.cluster.Plan.Environment...)
	run := &ProcessRun{Proxy: p.number, StartedAt: p.cluster.now()}
	if err := p.cluster.spawner.start(cmd); err != nil {
		return err
	}
	ended := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.run, p.ended, p.logOffset = cmd, run, ended, logOffset
	p.mu.Unlock()
	record := p.cluster.Record
	record.update(func() { record.ProcessRuns = append(record.ProcessRuns, run) })
	go p.recordEnd(cmd, run, ended)
	go p.recordReady(run, ended)
	return nil
}

// prepareDisk puts the disk into the state that the mode requires.
func (p *proxy) prepareDisk(disk diskMode) error {
	if disk == withDisk {
		return nil
	}
	if err := os.RemoveAll(p.disk); err != nil {
		return err
	}
	if err := os.MkdirAll(p.disk, 0o700); err != nil {
		return err
	}
	if disk == oldDisk {
		if err := os.CopyFS(p.disk, os.DirFS(p.savedDisk())); err != nil {
			return fmt.Errorf("%s: can't restore the saved disk: %w", p.name, err)
		}
	}
	return nil
}

// recordEnd waits for a process and records its end.
func (p *proxy) recordEnd(cmd *exec.Cmd, run *ProcessRun, ended chan struct{}) {
	err := cmd.Wait()
	at := p.cluster.now()
	p.cluster.Record.update(func() {
		run.EndedAt = at
		if err != nil && !run.EndRequested {
			run.Error = err.Error()
		}
	})
	p.mu.Lock()
	p.cmd = nil
	p.mu.Unlock()
	close(ended)
}

// recordReady polls a process until it is ready or has ended, and records when it became ready.
func (p *proxy) recordReady(run *ProcessRun, ended chan struct{}) {
	for {
		if emulator.Ready(p.listen) {
			at := p.cluster.now()
			p.cluster.Record.update(func() { run.ReadyAt = at })
			return
		}
		select {
		case <-ended:
			return
		case <-time.After(readyPollInterval):
		}
	}
}

// keepDisk saves the disk's current contents for oldDisk.
func (p *proxy) keepDisk() error {
	_ = os.RemoveAll(p.savedDisk())
	return os.CopyFS(p.savedDisk(), os.DirFS(p.disk))
}

func (p *proxy) savedDisk() string { return p.disk + ".kept" }
