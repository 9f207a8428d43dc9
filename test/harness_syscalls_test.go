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

// System calls that fail: the test binary plays the program, and some of its system calls are answered with an error.
// A seccomp filter hands the calls that are named to a supervisor (user notification, which takes no rights but
// no_new_privs), which lets each go on or fails it, by the faults that the environment names. The supervisor is a
// process of its own, started by the program: a thread of the same one could not answer while Go stops the world, which
// waits for threads in calls that Go does not know to block, as socket.

// faultsVariable holds the faults, separated by commas. Each is CALL=ERRNO@FIRST-LAST, which fails the calls of that
// name from the FIRST to the LAST, counted from 1 at the start of the process, or CALL=ERRNO%SHARE, which fails a share
// of them that is drawn by a seed that the name of the call gives, or CALL=ERRNO?FILE, which fails them while FILE is
// there. Where FILE holds a script of the letters of scriptFails and scriptPasses, each stands for a call, counted from
// the first one that finds the file, and the last letter for all later ones. Each call that fails so, or by its count,
// is written to the program's log. CALL/go and CALL/gnet narrow epoll_ctl and its operations to the poller of Go's
// runtime and of gnet.
const faultsVariable = "SLOEQUAY_TEST_SYSCALL_FAULTS"

// The letters of a script.
const (
	scriptFails  = 'x'
	scriptPasses = '-'
)

// supervisorVariable has the test binary answer the calls of the process that started it. It gets the filter's
// descriptor over the socket at descriptor 3.
const supervisorVariable = "SLOEQUAY_TEST_SYSCALL_SUPERVISOR"

// Of linux/seccomp.h, which golang.org/x/sys has in part.
const (
	seccompReturnNotify   = 0x7fc00000
	seccompReturnAllow    = 0x7fff0000
	seccompNewListener    = 1 << 3
	seccompThreadSyncFail = 1 << 4 // SECCOMP_FILTER_FLAG_TSYNC_ESRCH
	notifyReceive         = 0xc0502100
	notifySend            = 0xc0182101
	notifyContinue        = 1
)

// notification is struct seccomp_notif.
type notification struct {
	id     uint64
	thread uint32
	flags  uint32
	number int32
	arch   uint32
	origin uint64
	args   [6]uint64
}

// notificationReply is struct seccomp_notif_resp.
type notificationReply struct {
	id    uint64
	value int64
	errno int32
	flags uint32
}

// callNumbers are the system calls that a fault can name.
var callNumbers = map[string]int32{
	"accept4": unix.SYS_ACCEPT4, "socket": unix.SYS_SOCKET, "connect": unix.SYS_CONNECT, "fsync": unix.SYS_FSYNC,
	"rename": unix.SYS_RENAMEAT, "epoll_ctl": unix.SYS_EPOLL_CTL, "nanosleep": unix.SYS_NANOSLEEP,
	"epoll_ctl_add": unix.SYS_EPOLL_CTL, "epoll_ctl_mod": unix.SYS_EPOLL_CTL, "epoll_ctl_del": unix.SYS_EPOLL_CTL,
	"fcntl_dupfd": unix.SYS_FCNTL,
}

// callOperations are the names in callNumbers that mean one operation of a system call: its second argument.
var callOperations = map[string]uint64{
	"epoll_ctl_add": unix.EPOLL_CTL_ADD, "epoll_ctl_mod": unix.EPOLL_CTL_MOD, "epoll_ctl_del": unix.EPOLL_CTL_DEL,
	"fcntl_dupfd": unix.F_DUPFD_CLOEXEC,
}

// The pollers that a fault can name.
const (
	goPoller   = "go"
	gnetPoller = "gnet"
)

// errorNumbers are the errors that a fault can name.
var errorNumbers = map[string]unix.Errno{
	"ECONNABORTED": unix.ECONNABORTED, "ENFILE": unix.ENFILE, "EMFILE": unix.EMFILE, "ENOBUFS": unix.ENOBUFS,
	"ENOMEM": unix.ENOMEM, "EADDRNOTAVAIL": unix.EADDRNOTAVAIL, "ENETUNREACH": unix.ENETUNREACH,
	"EHOSTUNREACH": unix.EHOSTUNREACH, "ETIMEDOUT": unix.ETIMEDOUT, "EPROTO": unix.EPROTO, "EINTR": unix.EINTR,
	"EIO": unix.EIO, "ENOSPC": unix.ENOSPC, "EAGAIN": unix.EAGAIN,
}

// syscallFault is one fault of faultsVariable.
type syscallFault struct {
	name        string // as it is given
	number      int32
	operation   *uint64 // nil: all
	poller      string  // empty: both
	errno       unix.Errno
	first, last int
	share       float64
	random      *rand.Rand // nil: by count or by file
	file        string     // empty: by count
	seen        int        // calls that it is meant for
	scripted    int        // calls that found the file
}

// fits says whether the fault is meant for a call. goDescriptor is Go's epoll descriptor.
func (f *syscallFault) fits(call *notification, goDescriptor uint64) bool {
	if f.number != call.number || f.operation != nil && *f.operation != call.args[1] {
		return false
	}
	return f.poller == "" || (f.poller == goPoller) == (call.args[0] == goDescriptor)
}

// hits says whether the fault fails the n-th call of its name.
func (f *syscallFault) hits(n int) bool {
	switch {
	case f.random != nil:
		return f.random.Float64() < f.share
	case f.file != "":
		return f.hitsByFile()
	}
	return n >= f.first && n <= f.last
}

// hitsByFile says whether the file, or its script, has the next call fail.
func (f *syscallFault) hitsByFile() bool {
	script, err := os.ReadFile(f.file)
	if err != nil {
		f.scripted = 0
		return false
	}
	at := min(f.scripted, len(script)-1)
	f.scripted++
	return at < 0 || script[at] == scriptFails
}

// parseFaults reads the form of faultsVariable.
func parseFaults(text string) ([]*syscallFault, error) {
	var faults []*syscallFault
	for _, word := range strings.Split(text, ",") {
		name, rest, _ := strings.Cut(word, "=")
		call, poller, _ := strings.Cut(name, "/")
		number, known := callNumbers[call]
		at := strings.IndexAny(rest, "@%?")
		known = known && (poller == "" || number == unix.SYS_EPOLL_CTL && (poller == goPoller || poller == gnetPoller))
		if !known || at < 0 {
			return nil, fmt.Errorf("fault %q: expected CALL=ERRNO@FIRST-LAST, CALL=ERRNO%%SHARE or CALL=ERRNO?FILE",
				word)
		}
		fault := &syscallFault{name: name, number: number, poller: poller, errno: errorNumbers[rest[:at]]}
		if operation, isOne := callOperations[call]; isOne {
			fault.operation = &operation
		}
		var err error
		switch rest[at] {
		case '%':
			fault.share, err = strconv.ParseFloat(rest[at+1:], 64)
			fault.random = rand.New(rand.NewPCG(uint64(number), uint64(fault.errno)))
		case '?':
			fault.file = rest[at+1:]
		default:
			_, err = fmt.Sscanf(rest[at+1:], "%d-%d", &fault.first, &fault.last)
		}
		if err != nil || fault.errno == 0 {
			return nil, fmt.Errorf("fault %q: %v, error number %d", word, err, fault.errno)
		}
		faults = append(faults, fault)
	}
	return faults, nil
}

// serveWithFaults runs in the child: it has the calls fail that the environment names, and runs the command line.
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

// injectFaults starts the supervisor, installs the filter for all threads and hands over its descriptor.
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
	program := []bpf.Instruction{bpf.LoadAbsolute{Off: 0, Size: 4}}
	for _, fault := range faults {
		program = append(program, bpf.JumpIf{Cond: bpf.JumpNotEqual, Val: uint32(fault.number), SkipTrue: 1},
			bpf.RetConstant{Val: seccompReturnNotify})
	}
	program = append(program, bpf.RetConstant{Val: seccompReturnAllow})
	listener, err := installSeccomp(program,
		unix.SECCOMP_FILTER_FLAG_TSYNC|seccompNewListener|seccompThreadSyncFail)
	if err != nil {
		return err
	}
	message := binary.LittleEndian.AppendUint32(nil, goDescriptor)
	return unix.Sendmsg(pair[0], message, unix.UnixRights(listener), nil, 0)
}

// findGoPoller gives the epoll descriptor of Go's runtime. It must be called while there is no other.
func findGoPoller() (uint32, error) {
	reader, writer, err := os.Pipe() // the runtime has a poller from its first pollable descriptor on
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
		return 0, fmt.Errorf("the epoll descriptors %v, want Go's alone", found)
	}
	return found[0], nil
}

// startSupervisor starts a process that ends with this one, with one end of a socket pair. The system watches the
// thread that started it, which must live on for that.
func startSupervisor(faults string, end *os.File) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	supervisor := exec.Command(self)
	supervisor.Env = append(os.Environ(), supervisorVariable+"="+faults)
	supervisor.ExtraFiles = []*os.File{end}
	supervisor.Stderr = os.Stderr
	supervisor.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error)
	go func() {
		runtime.LockOSThread()
		started <- supervisor.Start()
		_ = supervisor.Wait()
	}()
	return errors.Join(<-started, end.Close())
}

// superviseFaults runs in the supervisor.
func superviseFaults(text string) {
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

// receiveDescriptor takes one descriptor that comes over a socket, with a number.
func receiveDescriptor(socket int) (descriptor int, number uint32, err error) {
	message := make([]byte, 4)
	rights := make([]byte, unix.CmsgSpace(4))
	size, n, _, _, err := unix.Recvmsg(socket, message, rights, 0)
	if err != nil || size != len(message) {
		return 0, 0, fmt.Errorf("%d bytes: %w", size, err)
	}
	messages, err := unix.ParseSocketControlMessage(rights[:n])
	if err != nil || len(messages) != 1 {
		return 0, 0, fmt.Errorf("%d control messages: %w", len(messages), err)
	}
	descriptors, err := unix.ParseUnixRights(&messages[0])
	if err != nil || len(descriptors) != 1 {
		return 0, 0, fmt.Errorf("%d descriptors: %w", len(descriptors), err)
	}
	return descriptors[0], binary.LittleEndian.Uint32(message), nil
}

// installSeccomp installs a filter with flags, and gives what the system call returns.
func installSeccomp(program []bpf.Instruction, flags uintptr) (int, error) {
	raw, err := bpf.Assemble(program)
	if err != nil {
		return 0, err
	}
	filter := make([]unix.SockFilter, len(raw))
	for i, r := range raw {
		filter[i] = unix.SockFilter{Code: r.Op, Jt: r.Jt, Jf: r.Jf, K: r.K}
	}
	prog := unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]}
	if err := unix.Prctl(unix.PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0); err != nil {
		return 0, fmt.Errorf("no_new_privs: %w", err)
	}
	result, _, errno := unix.Syscall(unix.SYS_SECCOMP, unix.SECCOMP_SET_MODE_FILTER, flags,
		uintptr(unsafe.Pointer(&prog)))
	if errno != 0 {
		return 0, fmt.Errorf("seccomp: %w", errno)
	}
	return int(result), nil
}

// answerNotifications lets each call go on or fails it, until the process ends.
func answerNotifications(listener int, faults []*syscallFault, goDescriptor uint64) {
	for {
		var call notification
		if _, _, errno := unix.Syscall(unix.SYS_IOCTL, uintptr(listener), notifyReceive,
			uintptr(unsafe.Pointer(&call))); errno != 0 {
			continue // EINTR, or the call was interrupted before it was received
		}
		reply := notificationReply{id: call.id, flags: notifyContinue}
		fault := failing(faults, &call, goDescriptor)
		if fault != nil {
			reply = notificationReply{id: call.id, errno: -int32(fault.errno)}
		}
		// ENOENT: the call was interrupted by a signal, and comes again.
		_, _, errno := unix.Syscall(unix.SYS_IOCTL, uintptr(listener), notifySend, uintptr(unsafe.Pointer(&reply)))
		if errno != 0 && !errors.Is(errno, unix.ENOENT) {
			fmt.Fprintln(os.Stderr, "faults: reply:", errno)
		}
		if fault != nil && fault.random == nil { // after the reply, which the program waits for
			fmt.Fprintln(os.Stderr, injectedFailureText(fault.name))
		}
	}
}

// failing gives the first fault that fails a call; nil: none does.
func failing(faults []*syscallFault, call *notification, goDescriptor uint64) *syscallFault {
	var meant []*syscallFault
	for _, fault := range faults {
		if fault.fits(call, goDescriptor) {
			fault.seen++
			meant = append(meant, fault)
		}
	}
	for _, fault := range meant {
		if fault.hits(fault.seen) {
			return fault
		}
	}
	return nil
}

// injectedFailureText is what stands in the program's log for each call that a count or a file had fail.
func injectedFailureText(name string) string { return "faults: " + name + " refused" }

// startWithFaults starts the test binary as the program with system calls that fail.
func (bed *testbed) startWithFaults(faults string) {
	bed.t.Helper()
	if runtime.GOOS != "linux" || runtime.GOARCH != "amd64" {
		bed.t.Skip("the filter is written for Linux on amd64")
	}
	self, err := os.Executable()
	if err != nil {
		bed.t.Fatal(err)
	}
	bed.programPath = self
	bed.env = append(bed.env, faultsVariable+"="+faults)
	bed.start()
}

// TestFaultsAreInjected shows that the harness fails the calls that it is to fail and no others: a fault that is not
// injected would let the tests of this file's callers pass for nothing.
func TestFaultsAreInjected(t *testing.T) {
	faults, err := parseFaults("fsync=EIO@2-3,accept4=ENFILE%1")
	if err != nil {
		t.Fatal(err)
	}
	got := []bool{faults[0].hits(1), faults[0].hits(2), faults[0].hits(3), faults[0].hits(4), faults[1].hits(1)}
	want := []bool{false, true, true, false, true}
	for i := range want {
		if got[i] != want[i] {
			t.Errorf("call %d: fails %v, want %v", i, got[i], want[i])
		}
	}
	if _, err := parseFaults("accept4=ENFILE"); err == nil {
		t.Error("a fault without calls was taken")
	}
}

// TestFaultsSelectOperationAndPoller shows that a fault can mean one operation of one poller, in the order that a
// script gives.
func TestFaultsSelectOperationAndPoller(t *testing.T) {
	const goDescriptor, gnetDescriptor = 4, 9
	script := filepath.Join(t.TempDir(), "script")
	faults, err := parseFaults("epoll_ctl_add/go=ENOMEM?" + script + ",epoll_ctl_mod=ENOMEM@2-2")
	if err != nil {
		t.Fatal(err)
	}
	fails := func(descriptor, operation uint64) bool {
		call := &notification{number: unix.SYS_EPOLL_CTL, args: [6]uint64{descriptor, operation}}
		return failing(faults, call, goDescriptor) != nil
	}
	if fails(goDescriptor, unix.EPOLL_CTL_ADD) {
		t.Error("a call failed before the file was there")
	}
	writeFile(t, script, "x-x-")
	for i, want := range []bool{true, false, true, false, false} {
		if fails(gnetDescriptor, unix.EPOLL_CTL_ADD) || fails(goDescriptor, unix.EPOLL_CTL_DEL) {
			t.Error("a call of the other poller or operation failed")
		}
		if got := fails(goDescriptor, unix.EPOLL_CTL_ADD); got != want {
			t.Errorf("call %d fails: %v, want %v", i+1, got, want)
		}
	}
	for i, want := range []bool{false, true, false} {
		if got := fails(gnetDescriptor, unix.EPOLL_CTL_MOD); got != want {
			t.Errorf("change %d fails: %v, want %v", i+1, got, want)
		}
	}
	for _, wrong := range []string{"accept4/go=ENFILE@1-1", "epoll_ctl/other=ENOMEM@1-1"} {
		if _, err := parseFaults(wrong); err == nil {
			t.Errorf("%q was taken", wrong)
		}
	}
}
