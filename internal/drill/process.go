package drill

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
	"time"

	"sloequay/internal/emulator"
)

// spawner starts processes on one thread that lives as long as the drill: the system kills a child when the thread that
// started it ends (Pdeathsig), so that nothing is left if the rig itself is killed.
type spawner struct{ jobs chan func() }

func newSpawner() *spawner {
	s := &spawner{jobs: make(chan func())}
	go func() {
		runtime.LockOSThread()
		for job := range s.jobs {
			job()
		}
	}()
	return s
}

func (s *spawner) start(cmd *exec.Cmd) error {
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	done := make(chan error)
	s.jobs <- func() { done <- cmd.Start() }
	return <-done
}

func (s *spawner) close() { close(s.jobs) }

// doorman is one place for a process of the program: its address and folder stay, processes come and go.
type doorman struct {
	w                *Cluster
	n                int
	name, ip, listen string
	plaza            int // its zone, from 1
	dir, disk        string
	ahead            time.Duration // of its Unix clock, at its next start
	peers            string        // where it listens for other doormans
	relay            *Relay        // by which they reach it; nil: no peers

	mu      sync.Mutex
	cmd     *exec.Cmd // nil: none runs
	life    *ProcessRun
	stopped bool
	ended   chan struct{} // closed when the process has
}

func (w *Cluster) newDoorman(n int) (*doorman, error) {
	d := &doorman{w: w, n: n, name: fmt.Sprintf("d%03d", n), ip: fmt.Sprintf("%s.%d.%d", w.base, 1+n/200, 1+n%200), plaza: 1 + n%w.Plan.Plazas}
	d.dir = filepath.Join(w.Dir, d.name)
	d.disk = filepath.Join(d.dir, "disk")
	if err := os.MkdirAll(d.disk, 0o700); err != nil {
		return nil, err
	}
	w.fabric.Join(d.ip, d.name)
	var err error
	d.listen, err = vacant(d.ip)
	return d, err
}

// vacant finds a port of an address that is free for TCP and UDP. The address is of one doorman alone, so that it stays free.
func vacant(ip string) (string, error) {
	for range 20 {
		ln, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			return "", err
		}
		address := ln.Addr().String()
		p, err := net.ListenPacket("udp", address)
		_ = ln.Close()
		if err == nil {
			return address, p.Close()
		}
	}
	return "", fmt.Errorf("%s has no port that is free for TCP and UDP", ip)
}

// start starts a process. disk is with-disk, without-disk or old-disk.
func (d *doorman) start(disk string) error {
	d.mu.Lock()
	running := d.cmd != nil
	d.mu.Unlock()
	if running {
		return nil
	}
	switch disk {
	case "without-disk", "old-disk":
		if err := os.RemoveAll(d.disk); err != nil {
			return err
		}
		if err := os.MkdirAll(d.disk, 0o700); err != nil {
			return err
		}
		if disk == "old-disk" {
			if err := os.CopyFS(d.disk, os.DirFS(d.disk+".kept")); err != nil {
				return fmt.Errorf("%s: no disk was kept: %w", d.name, err)
			}
		}
	}
	if err := d.w.write(d); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(d.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(d.w.Program, "serve", "--config", filepath.Join(d.dir, "config.json"), "--conf", filepath.Join(d.dir, "sloequay.conf"))
	cmd.Stderr = log
	// Hundreds of processes share this machine: with as many collector threads each as it has cores they would get in each
	// other's way.
	cmd.Env = append(append(os.Environ(), "GOMAXPROCS=2"), d.w.Plan.Environment...)
	life := &ProcessRun{Proxy: d.n, Start: d.w.now()}
	if err := d.w.spawn.start(cmd); err != nil {
		return err
	}
	// The links, boxes and clients are in this process: they must not starve beside hundreds of others, as a network would not.
	_ = syscall.Setpriority(syscall.PRIO_PROCESS, cmd.Process.Pid, 10)
	ended := make(chan struct{})
	d.mu.Lock()
	d.cmd, d.life, d.ended, d.stopped = cmd, life, ended, false
	d.mu.Unlock()
	d.w.Record.add(func() { d.w.Record.ProcessRuns = append(d.w.Record.ProcessRuns, life) })
	go func() {
		err := cmd.Wait()
		at := d.w.now()
		d.w.Record.add(func() {
			life.End = at
			if err != nil && !life.Ours {
				life.Error = err.Error()
			}
		})
		d.mu.Lock()
		d.cmd = nil
		d.mu.Unlock()
		close(ended)
	}()
	go d.await(life, ended)
	return nil
}

// await asks the process until it says that it is ready.
func (d *doorman) await(life *ProcessRun, ended chan struct{}) {
	for {
		if emulator.Ready(d.listen) {
			at := d.w.now()
			d.w.Record.add(func() { life.Ready = at })
			return
		}
		select {
		case <-ended:
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// serving says whether clients are to be sent there.
func (d *doorman) serving() bool {
	d.mu.Lock()
	life, running := d.life, d.cmd != nil
	d.mu.Unlock()
	if !running || life == nil {
		return false
	}
	d.w.Record.mu.Lock()
	defer d.w.Record.mu.Unlock()
	return life.Ready > 0 && !life.Ours
}

// signal sends one to the process; not ours: it is to live on.
func (d *doorman) signal(s syscall.Signal, ours bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd == nil {
		return
	}
	if ours {
		life := d.life
		d.w.Record.add(func() {
			life.Ours = true
			life.Killed = life.Killed || s == syscall.SIGKILL
		})
	}
	_ = d.cmd.Process.Signal(s)
}

// stop has the process stand still, go on has it go on.
func (d *doorman) stop() {
	at, life := d.w.now(), d.life
	d.signal(syscall.SIGSTOP, false)
	d.w.Record.add(func() { life.Stops = append(life.Stops, Span{From: at}) })
}

func (d *doorman) goOn() {
	at, life := d.w.now(), d.life
	d.signal(syscall.SIGCONT, false)
	d.w.Record.add(func() {
		if n := len(life.Stops); n > 0 {
			life.Stops[n-1].To = at
		}
	})
}

// keepDisk remembers the disk as it is now.
func (d *doorman) keepDisk() error {
	_ = os.RemoveAll(d.disk + ".kept")
	return os.CopyFS(d.disk+".kept", os.DirFS(d.disk))
}

// close ends the process, at once.
func (d *doorman) close() {
	d.signal(syscall.SIGKILL, true)
	d.wait()
	if d.relay != nil {
		d.relay.Close()
	}
}

// wait returns once no process runs there.
func (d *doorman) wait() {
	d.mu.Lock()
	ended := d.ended
	d.mu.Unlock()
	if ended != nil {
		<-ended
	}
}
