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

// The fleet's platform runs each proxy under a system-call filter that forbids exec, fork, io_uring, splice, sendfile
// and all sockets but those of IPv4. The test binary installs such a filter on itself by seccomp, which needs only
// no_new_privs, and then runs as the proxy. This guards against system calls that the platform refuses: a Unix socket
// pair, which the event loop once created, made every proxy exit at its start.

// filterVariable is the environment variable that makes the test binary install the filter and run as the proxy.
const filterVariable = "SLOEQUAY_TEST_PLATFORM_FILTER"

// spinVariable is the environment variable that makes the test binary run as the proxy with an additional goroutine
// that spins, to prove that the check for busy loops detects one.
const spinVariable = "SLOEQUAY_TEST_SPIN"

// auditArchitectures has the number by which a system-call filter knows each machine's architecture (AUDIT_ARCH_X86_64
// and AUDIT_ARCH_AARCH64 of linux/audit.h), by the name that Go gives it.
var auditArchitectures = map[string]uint32{"amd64": 0xc000003e, "arm64": 0xc00000b7}

// The numbers of fork and vfork on amd64 (SYS_FORK and SYS_VFORK), which golang.org/x/sys does not define on arm64.
const (
	amd64Fork  = 57
	amd64Vfork = 58
)

// serveUnderFilter runs in the child process: it installs the filter, verifies that the filter is in effect, and runs
// the program.
func serveUnderFilter() {
	if err := installFilter(); err != nil {
		fmt.Fprintln(os.Stderr, "filter:", err)
		os.Exit(3)
	}
	// Without an effective filter the test would prove nothing.
	if fd, err := unix.Socket(unix.AF_UNIX, unix.SOCK_STREAM, 0); !errors.Is(err, unix.EAFNOSUPPORT) {
		_ = unix.Close(fd)
		fmt.Fprintln(os.Stderr, "filter: creating a Unix socket was not refused with EAFNOSUPPORT:", err)
		os.Exit(3)
	}
	if err := exec.Command("/bin/true").Run(); err == nil {
		fmt.Fprintln(os.Stderr, "filter: starting another program was not refused")
		os.Exit(3)
	}
	cli.Main()
	os.Exit(0)
}

// installFilter installs a filter for all threads of the process. It refuses sockets of families other than IPv4
// (EAFNOSUPPORT); execve, execveat, fork, vfork, clone except for threads, io_uring and sendfile (ENOSYS); and splice
// (EINVAL). clone3 also fails with ENOSYS, so that the C library falls back to clone, whose flags a filter can inspect.
func installFilter() error {
	architecture, ok := auditArchitectures[runtime.GOARCH]
	if !ok {
		return errors.New("the filter is written for amd64 and arm64")
	}
	const (
		allow       = 0x7fff0000 // SECCOMP_RET_ALLOW
		retErrno    = 0x00050000 // SECCOMP_RET_ERRNO
		cloneThread = 0x00010000
	)
	type refusal struct {
		nr    uint32
		errno syscall.Errno
	}
	refused := []refusal{
		{unix.SYS_EXECVE, unix.ENOSYS}, {unix.SYS_EXECVEAT, unix.ENOSYS}, {unix.SYS_CLONE3, unix.ENOSYS},
		{unix.SYS_IO_URING_SETUP, unix.ENOSYS}, {unix.SYS_IO_URING_ENTER, unix.ENOSYS},
		{unix.SYS_IO_URING_REGISTER, unix.ENOSYS}, {unix.SYS_SENDFILE, unix.ENOSYS}, {unix.SYS_SPLICE, unix.EINVAL},
	}
	if runtime.GOARCH == "amd64" { // arm64 has only clone and clone3
		refused = append(refused, refusal{amd64Fork, unix.ENOSYS}, refusal{amd64Vfork, unix.ENOSYS})
	}
	program := []bpf.Instruction{
		bpf.LoadAbsolute{Off: 4, Size: 4},
		bpf.JumpIf{Cond: bpf.JumpEqual, Val: architecture, SkipTrue: 1},
		bpf.RetConstant{Val: allow},
		bpf.LoadAbsolute{Off: 0, Size: 4},
	}
	for _, r := range refused {
		program = append(program, bpf.JumpIf{Cond: bpf.JumpNotEqual, Val: r.nr, SkipTrue: 1},
			bpf.RetConstant{Val: retErrno | uint32(r.errno)})
	}
	// socket and socketpair jump to the check of the address family, clone to the check of its flags.
	program = append(program,
		bpf.JumpIf{Cond: bpf.JumpEqual, Val: unix.SYS_SOCKET, SkipTrue: 3},
		bpf.JumpIf{Cond: bpf.JumpEqual, Val: unix.SYS_SOCKETPAIR, SkipTrue: 2},
		bpf.JumpIf{Cond: bpf.JumpEqual, Val: unix.SYS_CLONE, SkipTrue: 5},
		bpf.RetConstant{Val: allow},
		// Check the address family.
		bpf.LoadAbsolute{Off: 16, Size: 4},
		bpf.JumpIf{Cond: bpf.JumpEqual, Val: unix.AF_INET, SkipTrue: 1},
		bpf.RetConstant{Val: retErrno | uint32(unix.EAFNOSUPPORT)},
		bpf.RetConstant{Val: allow},
		// Check the flags of clone.
		bpf.LoadAbsolute{Off: 16, Size: 4},
		bpf.JumpIf{Cond: bpf.JumpBitsSet, Val: cloneThread, SkipTrue: 1},
		bpf.RetConstant{Val: retErrno | uint32(unix.ENOSYS)},
		bpf.RetConstant{Val: allow},
	)
	_, err := installSeccomp(program, unix.SECCOMP_FILTER_FLAG_TSYNC)
	return err
}

// TestServesUnderThePlatformFilter starts the proxy under the platform's system-call filter. It must start, serve a
// request, and exit on its own after SIGTERM.
func TestServesUnderThePlatformFilter(t *testing.T) {
	if _, ok := auditArchitectures[runtime.GOARCH]; runtime.GOOS != "linux" || !ok {
		t.Skip("the filter is written for Linux on amd64 and arm64")
	}
	bed := newTestbed(t, nil)
	bed.startTestBinary(filterVariable)
	client := bed.dial()
	if answer := client.call(5, "footage", nil); answer.Error != "" || answer.Body != "7f3a9c21e0b4d655" {
		t.Fatalf("answer: got %+v, want the body served", answer)
	}
	bed.signal(syscall.SIGTERM)
	bed.waitExit()
}

// TestBuildLinksDynamically checks that the deploy file builds with cgo and external linking. Where a C compiler is
// available, it also checks that the program built this way uses the dynamic loader, which the platform needs to load
// its library into the program.
func TestBuildLinksDynamically(t *testing.T) {
	text := readFile(t, "../deploy/balancer.toml")
	build := regexp.MustCompile(`(?m)^build\s*=\s*"(.*)"`).FindStringSubmatch(text)
	if build == nil {
		t.Fatal("deploy/balancer.toml: no build line")
	}
	for _, part := range []string{"CGO_ENABLED=1", "-ldflags=-linkmode=external"} {
		if !strings.Contains(build[1], part) {
			t.Errorf("deploy/balancer.toml: build: got %q, want it to contain %s", build[1], part)
		}
	}
	if _, err := exec.LookPath("cc"); err != nil || runtime.GOOS != "linux" {
		t.Skip("external linking needs Linux and a C compiler")
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
		t.Fatalf("got interpreter %v and libraries %v, want the program linked dynamically against libc.so",
			interpreter, libraries)
	}
}
