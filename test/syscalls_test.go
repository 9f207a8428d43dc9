package test

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"testing"

	"sloequay/internal/proxy/admin"
)

// TestSurvivesFailedAccepts makes accept fail temporarily with each documented error, before the first client and
// between later ones. The program must keep running and serve the clients that connected meanwhile.
func TestSurvivesFailedAccepts(t *testing.T) {
	t.Parallel()
	bed := newTestbed(t, nil)
	bed.startWithFaults("accept4=ENFILE@1-2,accept4=ENOBUFS@4-5,accept4=ECONNABORTED@7-8,accept4=ENOMEM@10-10," +
		"accept4=EPROTO@12-12,accept4=ENETUNREACH@14-14,accept4=EMFILE@16-18")
	for range 12 {
		client := bed.dial()
		if answer := client.call(5, "footage", nil); answer.Error != "" || answer.Body != "7f3a9c21e0b4d655" {
			t.Fatalf("answer: got %+v, want the body served", answer)
		}
	}
	bed.expectRunning()
}

// TestSurvivesFailedConnects makes new connections to endpoints fail temporarily because the local machine lacks
// resources. The endpoints are not at fault: requests must wait and be served, and no endpoint may be ejected.
func TestSurvivesFailedConnects(t *testing.T) {
	t.Parallel()
	bed := newTestbed(t, nil)
	bed.startWithFaults("connect=EADDRNOTAVAIL%0.4,connect=ENOBUFS%0.2,socket=ENFILE%0.3")
	for id := range uint64(60) {
		client := bed.dial()
		answer := client.call(id+1, "footage", map[string]string{"item": hexID(id + 1), "limit": "3000"})
		if answer.Error != "" {
			t.Errorf("answer: got %+v, want the body served", answer)
		}
		_ = client.conn.Close()
		for _, id := range []string{"c1", "c2", "p1", "o1"} {
			bed.endpoints.ResetConnections(id)
		}
	}
	for _, fault := range []string{"ejected", "endpoints=0"} {
		if bed.logged(fault) {
			t.Errorf("the log contains %q, want no endpoint ejected or lost", fault)
		}
	}
}

// TestSurvivesRefusedWatches guards against clients that lose their first request because the kernel temporarily lacks
// the memory to watch an accepted connection.
func TestSurvivesRefusedWatches(t *testing.T) {
	t.Parallel()
	bed := newTestbed(t, nil)
	bed.startWithFaults("epoll_ctl=ENOMEM%0.2")
	const clients = 40
	unserved := 0
	for range clients {
		client := bed.dial()
		client.send(request(1, "footage", nil, ""))
		if answer, err := client.read(); err != nil || answer.Error != "" {
			unserved++
		}
	}
	if unserved > 0 {
		t.Errorf("clients whose first request was not served: got %d of %d, want none", unserved, clients)
	}
}

// TestStartsDespiteFailedCalls makes system calls that the start needs fail temporarily. The program must start and
// serve a request.
func TestStartsDespiteFailedCalls(t *testing.T) {
	t.Parallel()
	bed := newTestbed(t, nil)
	bed.enableDNS("")
	bed.startWithFaults("socket=ENFILE@1-3,socket=ENOBUFS@5-6,connect=ENETUNREACH@1-2,epoll_ctl=ENOMEM@3-3")
	if answer := bed.dial().call(5, "footage", nil); answer.Error != "" {
		t.Errorf("answer: got %+v, want the body served", answer)
	}
}

// TestOpensControlSocketDespiteFailedCalls makes each socket call at the program's start in turn fail for lack of
// descriptors. In addition, the socket file of a killed process occupies the path of the operators' socket.
func TestOpensControlSocketDespiteFailedCalls(t *testing.T) {
	const sockets = 12 // created at the start
	for call := range sockets {
		t.Run(strconv.Itoa(call+1), func(t *testing.T) {
			t.Parallel()
			bed := newTestbed(t, nil)
			path := socketPath(t)
			stale, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
			if err != nil {
				t.Fatal(err)
			}
			stale.SetUnlinkOnClose(false)
			_ = stale.Close()
			bed.addSettings("control " + path)
			bed.startWithFaults(fmt.Sprintf("socket=ENFILE@%d-%d", call+1, call+1))
			bed.waitUntil("the operators' socket answers", func() bool {
				var state bytes.Buffer
				return admin.Query(&state, path, "state") == nil && state.Len() > 0
			})
		})
	}
}

// TestSnapshotIsWrittenOnceDiskRecovers makes the disk fail while the snapshot is written, with no changes afterwards.
// The snapshot must be written as soon as the disk works again.
func TestSnapshotIsWrittenOnceDiskRecovers(t *testing.T) {
	t.Parallel()
	bed := newTestbed(t, nil)
	file := filepath.Join(t.TempDir(), "list")
	bed.addSettings("snapshot {", "file "+file, "every 200ms", "oldest 24h", "}")
	bed.startWithFaults("fsync=EIO@1-2,rename=ENOSPC@1-1")
	bed.waitLogged("event=snapshot-write-failed")
	bed.waitUntil("the snapshot exists", func() bool {
		_, err := os.Stat(file)
		return err == nil
	})
}
