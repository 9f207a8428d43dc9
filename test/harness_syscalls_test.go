package test

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"unsafe"

	"golang.org/x/net/bpf"
	"golang.org/x/sys/unix"

	"sloequay/internal/cli"
)

// Injection of failing system calls: the test binary runs as the program, and some of its system calls return an error.
// A seccomp filter passes the selected system calls to a supervisor (user notification, which needs no privileges but
// no_new_privs). The supervisor lets each call continue or fails it, according to the faults in the environment. It is
// a separate process, started by the program: a thread of the program itself could not respond while Go stops the
// world, as that waits for threads in system calls that Go does not expect to block, such as socket.

// faultsVariable is the environment variable with the faults, separated by commas. A fault has one of the forms
//
//	CALL=ERRNO@FIRST-LAST  fails the calls from FIRST to LAST, counted from 1 at the start of the process
//	CALL=ERRNO%SHARE       fails a random share of the calls, with a seed made of the numbers of call and error
//	CALL=ERRNO?FILE        fails the calls while FILE exists
//
// If FILE is not empty, it is a script of the characters scriptFails and scriptPasses, one for each call from the first
// that finds the file; the last character applies to all later calls. Each failure by count or by file is written to
// the program's log. CALL/go and CALL/gnet restrict epoll_ctl and its operations to the poller of Go's runtime or of
// gnet.
const faultsVariable = "SLOEQUAY_TEST_SYSCALL_FAULTS"

// The characters of a script.
const (
	scriptFails  = 'x'
	scriptPasses = '-'
)

// supervisorVariable is the environment variable that makes the test binary run as the supervisor of the process that
// started it; it has the form of faultsVariable. The supervisor receives the filter's descriptor over the socket at
// descriptor 3.
const supervisorVariable = "SLOEQUAY_TEST_SYSCALL_SUPERVISOR"

// Constants from linux/seccomp.h, of which golang.org/x/sys defines only some.
const (
	seccompReturnNotify    = 0x7fc00000
	seccompReturnAllow     = 0x7fff0000
	seccompNewListener     = 1 << 3
	seccompThreadSyncESRCH = 1 << 4 // SECCOMP_FILTER_FLAG_TSYNC_ESRCH
	notifyReceive          = 0xc0502100
	notifySend             = 0xc0182101
	notifyContinue         = 1
)

// notification is struct seccomp_notif.
type notification struct {
	id                 uint64
	pid                uint32
	flags              uint32
	number             int32
	arch               uint32
	instructionPointer uint64
	args               [6]uint64
}

// notificationReply is struct seccomp_notif_resp.
type notificationReply struct {
	id    uint64
	value int64
	errno int32
	flags uint32
}

// syscallNumbers maps the names that a fault can have to system calls.
var syscallNumbers = map[string]int32{
	"accept4": unix.SYS_ACCEPT4, "socket": unix.SYS_SOCKET, "connect": unix.SYS_CONNECT, "fsync": unix.SYS_FSYNC,
	"rename": unix.SYS_RENAMEAT, "epoll_ctl": unix.SYS_EPOLL_CTL, "nanosleep": unix.SYS_NANOSLEEP,
	"epoll_ctl_add": unix.SYS_EPOLL_CTL, "epoll_ctl_mod": unix.SYS_EPOLL_CTL, "epoll_ctl_del": unix.SYS_EPOLL_CTL,
	"fcntl_dupfd": unix.SYS_FCNTL,
}

// syscallOperations maps those names in syscallNumbers that select one operation of a system call to its second
// argument.
var syscallOperations = map[string]uint64{
	"epoll_ctl_add": unix.EPOLL_CTL_ADD, "epoll_ctl_mod": unix.EPOLL_CTL_MOD, "epoll_ctl_del": unix.EPOLL_CTL_DEL,
	"fcntl_dupfd": unix.F_DUPFD_CLOEXEC,
}

// The pollers that a fault can be restricted to.
const (
	goPoller   = "go"
	gnetPoller = "gnet"
)

// errorNumbers maps the names of the errors that a fault can inject.
var errorNumbers = map[string]unix.Errno{
	"ECONNABORTED": unix.ECONNABORTED, "ENFILE": unix.ENFILE, "EMFILE": unix.EMFILE, "ENOBUFS": unix.ENOBUFS,
	"ENOMEM": unix.ENOMEM, "EADDRNOTAVAIL": unix.EADDRNOTAVAIL, "ENETUNREACH": unix.ENETUNREACH,
	"EHOSTUNREACH": unix.EHOSTUNREACH, "ETIMEDOUT": unix.ETIMEDOUT, "EPROTO": unix.EPROTO, "EINTR": unix.EINTR,
	"EIO": unix.EIO, "ENOSPC": unix.ENOSPC, "EAGAIN": unix.EAGAIN,
}

// syscallFault is one fault from faultsVariable.
type syscallFault struct {
	name         string // as given in faultsVariable
	number       int32
	operation    *uint64 // nil: all operations
	poller       string  // empty: both pollers
	errno        unix.Errno
	first, last  int
	share        float64
	random       *rand.Rand // nil: fails by count or by file
	file         string     // empty: fails by count
	matchedCalls int        // calls that the fault applied to
	scriptCalls  int        // calls since the file was found
}

// appliesTo reports whether the fault selects the call. goDescriptor is the epoll descriptor of Go's runtime.
func (f *syscallFault) appliesTo(call *notification, goDescriptor uint64) bool {
	if f.number != call.number || f.operation != nil && *f.operation != call.args[1] {
		return false
	}
	return f.poller == "" || (f.poller == goPoller) == (call.args[0] == goDescriptor)
}

// shouldFail reports whether the fault fails the nth call that it applies to.
func (f *syscallFault) shouldFail(n int) bool {
	switch {
	case f.random != nil:
		return f.random.Float64() < f.share
	case f.file != "":
		return f.shouldFailByFile()
	}
	return n >= f.first && n <= f.last
}

// shouldFailByFile reports whether the file or its script fails the next call.
func (f *syscallFault) shouldFailByFile() bool {
	script, err := os.ReadFile(f.file)
	if err != nil {
		f.scriptCalls = 0
		return false
	}
	index := min(f.scriptCalls, len(script)-1)
	f.scriptCalls++
	return index < 0 || script[index] == scriptFails
}

// parseFaults parses the value of faultsVariable.
func parseFaults(text string) ([]*syscallFault, error) {
	var faults []*syscallFault
	for _, spec := range strings.Split(text, ",") {
		name, rest, _ := strings.Cut(spec, "=")
		call, poller, _ := strings.Cut(name, "/")
		number, known := syscallNumbers[call]
		separator := strings.IndexAny(rest, "@%?")
		known = known && (poller == "" || number == unix.SYS_EPOLL_CTL && (poller == goPoller || poller == gnetPoller))
		if !known || separator < 0 {
			return nil, fmt.Errorf("fault %q: expected CALL=ERRNO@FIRST-LAST, CALL=ERRNO%%SHARE or CALL=ERRNO?FILE",
				spec)
		}
		fault := &syscallFault{name: name, number: number, poller: poller, errno: errorNumbers[rest[:separator]]}
		if operation, hasOperation := syscallOperations[call]; hasOperation {
			fault.operation = &operation
		}
		var err error
		switch rest[separator] {
		case '%':
			fault.share, err = strconv.ParseFloat(rest[separator+1:], 64)
			fault.random = rand.New(rand.NewPCG(uint64(number), uint64(fault.errno)))
		case '?':
			fault.file = rest[separator+1:]
		default:
			_, err = fmt.Sscanf(rest[separator+1:], "%d-%d", &fault.first, &fault.last)
		}
		if err != nil || fault.errno == 0 {
			return nil, fmt.Errorf("fault %q: parse error %v, errno %d (0: unknown error name)", spec, err, fault.errno)
		}
		faults = append(faults, fault)
	}
	return faults, nil
}

// serveWithFaults runs in the process that is started as the program: it injects the faults and runs the command line.
func serveWithFaults(text string) {
	faults, err := parseFaults(text)
	if err == nil {
		err = injectFaults(faults, text)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "faults:", err)
		os.Exit(3)
	}
	cli.Main()
	os.Exit(0)
}

// injectFaults starts the supervisor, installs the filter for all threads and sends its descriptor to the supervisor.
func injectFaults(faults []*syscallFault, text string) error {
	goDescriptor, err := findGoPoller()
	if err != nil {
		return err
	}
	pair, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return err
	}
	if err := startSupervisor(text, os.NewFile(uintptr(pair[1]), "supervisor")); err != nil {
		return err
	}
	instructions := []bpf.Instruction{bpf.LoadAbsolute{Off: 0, Size: 4}}
	for _, fault := range faults {
		instructions = append(instructions, bpf.JumpIf{Cond: bpf.JumpNotEqual, Val: uint32(fault.number), SkipTrue: 1},
			bpf.RetConstant{Val: seccompReturnNotify})
	}
	instructions = append(instructions, bpf.RetConstant{Val: seccompReturnAllow})
	listener, err := installSeccomp(instructions,
		unix.SECCOMP_FILTER_FLAG_TSYNC|seccompNewListener|seccompThreadSyncESRCH)
	if err != nil {
		return err
	}
	message := binary.LittleEndian.AppendUint32(nil, goDescriptor)
	return unix.Sendmsg(pair[0], message, unix.UnixRights(listener), nil, 0)
}

// findGoPoller returns the epoll descriptor of Go's runtime. It must be called while the process has no other.
func findGoPoller() (uint32, error) {
	reader, writer, err := os.Pipe() // the runtime creates its poller for the first pollable descriptor
	if err != nil {
		return 0, err
	}
	defer reader.Close()
	defer writer.Close()
	const directory = "/proc/self/fd/"
	entries, err := os.ReadDir(directory)
	if err != nil {
		return 0, err
	}
	var found []uint32
	for _, entry := range entries {
		target, _ := os.Readlink(directory + entry.Name())
		descriptor, err := strconv.ParseUint(entry.Name(), 10, 32)
		if err == nil && target == "anon_inode:[eventpoll]" {
			found = append(found, uint32(descriptor))
		}
	}
	if len(found) != 1 {
		return 0, fmt.Errorf("got the epoll descriptors %v, want only that of Go's runtime", found)
	}
	return found[0], nil
}

// startSupervisor starts the supervisor with one end of a socket pair. The kernel kills it when the thread that started
// it ends, so that thread is kept alive until the supervisor exits.
func startSupervisor(faults string, socket *os.File) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	supervisor := exec.Command(self)
	supervisor.Env = append(os.Environ(), supervisorVariable+"="+faults)
	supervisor.ExtraFiles = []*os.File{socket}
	supervisor.Stderr = os.Stderr
	supervisor.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error)
	go func() {
		runtime.LockOSThread()
		started <- supervisor.Start()
		_ = supervisor.Wait()
	}()
	return errors.Join(<-started, socket.Close())
}

// runSupervisor is the main function of the supervisor process. It does not return.
func runSupervisor(text string) {
	faults, err := parseFaults(text)
	if err == nil {
		var listener int
		var goDescriptor uint32
		if listener, goDescriptor, err = receiveDescriptor(3); err == nil {
			answerNotifications(listener, faults, uint64(goDescriptor))
		}
	}
	fmt.Fprintln(os.Stderr, "faults:", err)
	os.Exit(3)
}

// receiveDescriptor receives one descriptor and a number over a socket.
func receiveDescriptor(socket int) (descriptor int, number uint32, err error) {
	message := make([]byte, 4)
	rights := make([]byte, unix.CmsgSpace(4))
	size, n, _, _, err := unix.Recvmsg(socket, message, rights, 0)
	if err != nil || size != len(message) {
		return 0, 0, fmt.Errorf("receive descriptor: got %d bytes: %w", size, err)
	}
	messages, err := unix.ParseSocketControlMessage(rights[:n])
	if err != nil || len(messages) != 1 {
		return 0, 0, fmt.Errorf("receive descriptor: got %d control messages, want 1: %w", len(messages), err)
	}
	descriptors, err := unix.ParseUnixRights(&messages[0])
	if err != nil || len(descriptors) != 1 {
		return 0, 0, fmt.Errorf("receive descriptor: got %d descriptors, want 1: %w", len(descriptors), err)
	}
	return descriptors[0], binary.LittleEndian.Uint32(message), nil
}

// installSeccomp installs a filter with the given flags, and returns the result of the seccomp system call.
func installSeccomp(instructions []bpf.Instruction, flags uintptr) (int, error) {
	raw, err := bpf.Assemble(instructions)
	if err != nil {
		return 0, err
	}
	filter := make([]unix.SockFilter, len(raw))
	for i, r := range raw {
		filter[i] = unix.SockFilter{Code: r.Op, Jt: r.Jt, Jf: r.Jf, K: r.K}
	}
	filterProgram := unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]}
	if err := unix.Prctl(unix.PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0); err != nil {
		return 0, fmt.Errorf("set no_new_privs: %w", err)
	}
	result, _, errno := unix.Syscall(unix.SYS_SECCOMP, unix.SECCOMP_SET_MODE_FILTER, flags,
		uintptr(unsafe.Pointer(&filterProgram)))
	if errno != 0 {
		return 0, fmt.Errorf("install seccomp filter: %w", errno)
	}
	return int(result), nil
}

// answerNotifications lets each system call that is passed to the supervisor continue or fails it, until the process
// ends.
func answerNotifications(listener int, faults []*syscallFault, goDescriptor uint64) {
	for {
		var call notification
		if _, _, errno := unix.Syscall(unix.SYS_IOCTL, uintptr(listener), notifyReceive,
			uintptr(unsafe.Pointer(&call))); errno != 0 {
			continue // EINTR, or the call was interrupted before it was received
		}
		reply := notificationReply{id: call.id, flags: notifyContinue}
		fault := firstFailing(faults, &call, goDescriptor)
		if fault != nil {
			reply = notificationReply{id: call.id, errno: -int32(fault.errno)}
		}
		// ENOENT: a signal interrupted the call, and it will be repeated.
		_, _, errno := unix.Syscall(unix.SYS_IOCTL, uintptr(listener), notifySend, uintptr(unsafe.Pointer(&reply)))
		if errno != 0 && !errors.Is(errno, unix.ENOENT) {
			fmt.Fprintln(os.Stderr, "faults: send reply:", errno)
		}
		if fault != nil && fault.random == nil { // logged after the reply, as the program waits for that
			fmt.Fprintln(os.Stderr, injectedFailureText(fault.name))
		}
	}
}

// firstFailing returns the first fault that fails a call, or nil. It counts the call for every fault that applies.
func firstFailing(faults []*syscallFault, call *notification, goDescriptor uint64) *syscallFault {
	var applicable []*syscallFault
	for _, fault := range faults {
		if fault.appliesTo(call, goDescriptor) {
			fault.matchedCalls++
			applicable = append(applicable, fault)
		}
	}
	for _, fault := range applicable {
		if fault.shouldFail(fault.matchedCalls) {
			return fault
		}
	}
	return nil
}

// injectedFailureText returns the text that is logged for each call that the named fault fails by count or by file.
func injectedFailureText(name string) string { return "faults: " + name + " call failed" }

// startWithFaults starts the test binary as the program with failing system calls; faults has the form of
// faultsVariable.
func (bed *testbed) startWithFaults(faults string) {
	bed.t.Helper()
	if _, ok := auditArchitectures[runtime.GOARCH]; runtime.GOOS != "linux" || !ok {
		bed.t.Skip("the seccomp filter supports only Linux on amd64 and arm64")
	}
	self, err := os.Executable()
	if err != nil {
		bed.t.Fatal(err)
	}
	bed.programPath = self
	bed.env = append(bed.env, faultsVariable+"="+faults)
	bed.start()
}

// TestFaultsAreInjected checks that faults fail the calls that they select and no others. A fault that is not injected
// would let tests that use startWithFaults pass without testing anything.
func TestFaultsAreInjected(t *testing.T) {
	faults, err := parseFaults("fsync=EIO@2-3,accept4=ENFILE%1")
	if err != nil {
		t.Fatal(err)
	}
	got := []bool{faults[0].shouldFail(1), faults[0].shouldFail(2), faults[0].shouldFail(3), faults[0].shouldFail(4),
		faults[1].shouldFail(1)}
	want := []bool{false, true, true, false, true}
	for i := range want {
		if got[i] != want[i] {
			t.Errorf("call %d fails: got %v, want %v", i, got[i], want[i])
		}
	}
	if _, err := parseFaults("accept4=ENFILE"); err == nil {
		t.Error("parseFaults accepted a fault without a selection of calls, want an error")
	}
}

// TestFaultsSelectOperationAndPoller checks that a fault can select one operation of one poller, and that a script
// determines which calls fail.
func TestFaultsSelectOperationAndPoller(t *testing.T) {
	const goDescriptor, gnetDescriptor = 4, 9
	script := filepath.Join(t.TempDir(), "script")
	faults, err := parseFaults("epoll_ctl_add/go=ENOMEM?" + script + ",epoll_ctl_mod=ENOMEM@2-2")
	if err != nil {
		t.Fatal(err)
	}
	fails := func(descriptor, operation uint64) bool {
		call := &notification{number: unix.SYS_EPOLL_CTL, args: [6]uint64{descriptor, operation}}
		return firstFailing(faults, call, goDescriptor) != nil
	}
	if fails(goDescriptor, unix.EPOLL_CTL_ADD) {
		t.Error("a call failed before the file existed, want none to fail")
	}
	writeFile(t, script, "x-x-")
	for i, want := range []bool{true, false, true, false, false} {
		if fails(gnetDescriptor, unix.EPOLL_CTL_ADD) || fails(goDescriptor, unix.EPOLL_CTL_DEL) {
			t.Error("a call of another poller or operation failed, want none to fail")
		}
		if got := fails(goDescriptor, unix.EPOLL_CTL_ADD); got != want {
			t.Errorf("epoll_ctl_add call %d fails: got %v, want %v", i+1, got, want)
		}
	}
	for i, want := range []bool{false, true, false} {
		if got := fails(gnetDescriptor, unix.EPOLL_CTL_MOD); got != want {
			t.Errorf("epoll_ctl_mod call %d fails: got %v, want %v", i+1, got, want)
		}
	}
	for _, invalid := range []string{"accept4/go=ENFILE@1-1", "epoll_ctl/other=ENOMEM@1-1"} {
		if _, err := parseFaults(invalid); err == nil {
			t.Errorf("parseFaults accepted %q, want an error", invalid)
		}
	}
}
