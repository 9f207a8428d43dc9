package drill

import (
	"os/exec"
	"runtime"
	"syscall"
)

// spawner starts processes from one thread that lives as long as the drill: the system kills a child when the thread
// that started it ends (Pdeathsig), so no process survives if the drill itself is killed.
type spawner struct{ jobs chan func() }

func newSpawner() *spawner {
	s := &spawner{jobs: make(chan func())}
	go s.run()
	return s
}

func (s *spawner) run() {
	runtime.LockOSThread()
	for job := range s.jobs {
		job()
	}
}

// start starts a command. Starts run one at a time.
func (s *spawner) start(cmd *exec.Cmd) error {
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	started := make(chan error)
	s.jobs <- func() { started <- cmd.Start() }
	return <-started
}

func (s *spawner) close() { close(s.jobs) }
