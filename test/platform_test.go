package test

import (
	"debug/elf"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"runtime"
	"strings"
	"syscall"
	"testing"

	"golang.org/x/net/bpf"
	"golang.org/x/sys/unix"

	"sloequay/internal/cli"
)

// The fleet's platform runs each proxy under a system-call filter of its own: no other program, no fork, no io_uring,
// splice or sendfile, and sockets of IPv4 alone. The test binary plays the proxy under a filter of that kind, set by
// seccomp on itself (no rights are needed for that, only no_new_privs), and the test talks to it as to any other. The
// loop used to learn its event loop by a Unix socket pair, and under the platform's filter every proxy exited at its
// start; this test fails so with that code.

// filterVariable in the environment has the test binary, started by a test, install the filter and serve.
const filterVariable = "SLOEQUAY_TEST_PLATFORM_FILTER"

// spinVariable has the test binary serve with a goroutine beside it that never waits, so that the check for that is
// seen to fail.
const spinVariable = "SLOEQUAY_TEST_SPIN"

// serveUnderFilter runs in the child: it installs the filter, shows that it holds, and runs the command line.
func serveUnderFilter() {
	if err := installFilter(); err != nil {
		fmt.Fprintln(os.Stderr, "filter:", err)
		os.Exit(3)
	}
	// A filter that does not hold would let the test pass for nothing.
	if fd, err := unix.Socket(unix.AF_UNIX, unix.SOCK_STREAM, 0); !errors.Is(err, unix.EAFNOSUPPORT) {
		_ = unix.Close(fd)
		fmt.Fprintln(os.Stderr, "filter: a Unix socket was not refused:", err)
		os.Exit(3)
	}
	if err := exec.Command("/bin/true").Run(); err == nil {
		fmt.Fprintln(os.Stderr, "filter: another program could be started")
		os.Exit(3)
	}
	cli.Main()
	os.Exit(0)
}

// installFilter refuses, for all threads of the process: sockets of other families than IPv4 (EAFNOSUPPORT); execve,
// execveat, fork, vfork, a clone that makes no thread, io_uring and sendfile (ENOSYS); splice (EINVAL). clone3 says
// ENOSYS too, so that the C library falls back to clone, whose flags a filter can read.
func installFilter() error {
	if runtime.GOARCH != "amd64" {
		return errors.New("the filter is written for amd64")
	}
	const (
		archX8664   = 0xc000003e // AUDIT_ARCH_X86_64
		allow       = 0x7fff0000 // SECCOMP_RET_ALLOW
		retErrno    = 0x00050000 // SECCOMP_RET_ERRNO
		cloneThread = 0x00010000
	)
	refused := []struct {
		nr    uint32
		errno syscall.Errno
	}{
		{unix.SYS_EXECVE, unix.ENOSYS}, {unix.SYS_EXECVEAT, unix.ENOSYS}, {unix.SYS_FORK, unix.ENOSYS},
		{unix.SYS_VFORK, unix.ENOSYS}, {unix.SYS_CLONE3, unix.ENOSYS}, {unix.SYS_IO_URING_SETUP, unix.ENOSYS},
		{unix.SYS_IO_URING_ENTER, unix.ENOSYS}, {unix.SYS_IO_URING_REGISTER, unix.ENOSYS},
		{unix.SYS_SENDFILE, unix.ENOSYS}, {unix.SYS_SPLICE, unix.EINVAL},
	}
	program := []bpf.Instruction{
		bpf.LoadAbsolute{Off: 4, Size: 4},
		bpf.JumpIf{Cond: bpf.JumpEqual, Val: archX8664, SkipTrue: 1},
		bpf.RetConstant{Val: allow},
		bpf.LoadAbsolute{Off: 0, Size: 4},
	}
	for _, r := range refused {
		program = append(program, bpf.JumpIf{Cond: bpf.JumpNotEqual, Val: r.nr, SkipTrue: 1},
			bpf.RetConstant{Val: retErrno | uint32(r.errno)})
	}
	// Then socket and socketpair go to the check of the family, clone to the check of its flags.
	program = append(program,
		bpf.JumpIf{Cond: bpf.JumpEqual, Val: unix.SYS_SOCKET, SkipTrue: 3},
		bpf.JumpIf{Cond: bpf.JumpEqual, Val: unix.SYS_SOCKETPAIR, SkipTrue: 2},
		bpf.JumpIf{Cond: bpf.JumpEqual, Val: unix.SYS_CLONE, SkipTrue: 5},
		bpf.RetConstant{Val: allow},
		// the family
		bpf.LoadAbsolute{Off: 16, Size: 4},
		bpf.JumpIf{Cond: bpf.JumpEqual, Val: unix.AF_INET, SkipTrue: 1},
		bpf.RetConstant{Val: retErrno | uint32(unix.EAFNOSUPPORT)},
		bpf.RetConstant{Val: allow},
		// the flags of clone
		bpf.LoadAbsolute{Off: 16, Size: 4},
		bpf.JumpIf{Cond: bpf.JumpBitsSet, Val: cloneThread, SkipTrue: 1},
		bpf.RetConstant{Val: retErrno | uint32(unix.ENOSYS)},
		bpf.RetConstant{Val: allow},
	)
	_, err := installSeccomp(program, unix.SECCOMP_FILTER_FLAG_TSYNC)
	return err
}

// TestServesUnderThePlatformFilter starts the proxy under the fleet platform's system-call filter: it must start,
// serve, and end by itself after SIGTERM.
func TestServesUnderThePlatformFilter(t *testing.T) {
	if runtime.GOOS != "linux" || runtime.GOARCH != "amd64" {
		t.Skip("the filter is written for Linux on amd64")
	}
	bed := newTestbed(t, nil)
	bed.startTestBinary(filterVariable)
	client := bed.dial()
	if answer := client.call(5, "footage", nil); answer.Error != "" || answer.Body != "7f3a9c21e0b4d655" {
		t.Fatalf("answer %+v, want the body served", answer)
	}
	bed.signal(syscall.SIGTERM)
	bed.waitExit()
}

// TestBuildLinksDynamically checks that the deploy file builds with external linking and cgo on, and, where a C
// compiler is at hand, that the program so built asks for the dynamic loader: the platform's library is loaded into
// it.
func TestBuildLinksDynamically(t *testing.T) {
	text := readFile(t, "../deploy/balancer.toml")
	build := regexp.MustCompile(`(?m)^build\s*=\s*"(.*)"`).FindStringSubmatch(text)
	if build == nil {
		t.Fatal("deploy/balancer.toml: no build line")
	}
	for _, part := range []string{"CGO_ENABLED=1", "-ldflags=-linkmode=external"} {
		if !strings.Contains(build[1], part) {
			t.Errorf("deploy/balancer.toml: build: %q lacks %s", build[1], part)
		}
	}
	if _, err := exec.LookPath("cc"); err != nil || runtime.GOOS != "linux" {
		t.Skip("no C compiler here, so no external linking")
	}
	out := filepath.Join(t.TempDir(), "sloequay")
	cmd := exec.Command("go", "build", "-ldflags=-linkmode=external", "-o", out, "../cmd/sloequay")
	cmd.Env = append(os.Environ(), "CGO_ENABLED=1")
	if text, err := cmd.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, text)
	}
	f, err := elf.Open(out)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	libraries, _ := f.ImportedLibraries()
	interpreter := false
	for _, p := range f.Progs {
		interpreter = interpreter || p.Type == elf.PT_INTERP
	}
	if !interpreter || !strings.Contains(strings.Join(libraries, " "), "libc.so") {
		t.Fatalf("the program is not linked dynamically against the C library: interpreter %v, libraries %v",
			interpreter, libraries)
	}
}
