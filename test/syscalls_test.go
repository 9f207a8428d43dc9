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

// TestSurvivesFailedAccepts: accept fails in each documented way for a moment, before the first client and between
// later ones. The program goes on, and clients that connected meanwhile are served.
func TestSurvivesFailedAccepts(t *testing.T) {
	t.Parallel()
	bed := newTestbed(t, nil)
	bed.startWithFaults("accept4=ENFILE@1-2,accept4=ENOBUFS@4-5,accept4=ECONNABORTED@7-8,accept4=ENOMEM@10-10," +
		"accept4=EPROTO@12-12,accept4=ENETUNREACH@14-14,accept4=EMFILE@16-18")
	for range 12 {
		client := bed.dial()
		if answer := client.call(5, "footage", nil); answer.Error != "" || answer.Body != "7f3a9c21e0b4d655" {
			t.Fatalf("answer %+v, want the body served", answer)
		}
	}
	bed.expectRunning()
}

// TestSurvivesFailedConnects: new connections to endpoints fail for want of something on this machine, for a moment at
// a time. That says nothing of the endpoints: requests wait for it to pass and are served, and no endpoint is ejected.
func TestSurvivesFailedConnects(t *testing.T) {
	t.Parallel()
	bed := newTestbed(t, nil)
	bed.startWithFaults("connect=EADDRNOTAVAIL%0.4,connect=ENOBUFS%0.2,socket=ENFILE%0.3")
	for id := range uint64(60) {
		client := bed.dial()
		answer := client.call(id+1, "footage", map[string]string{"item": hexID(id + 1), "limit": "3000"})
		if answer.Error != "" {
			t.Errorf("answer %+v, want the body served", answer)
		}
		_ = client.conn.Close()
		for _, id := range []string{"c1", "c2", "p1", "o1"} {
			bed.endpoints.ResetConnections(id)
		}
	}
	for _, fault := range []string{"ejected", "endpoints=0"} {
		if bed.logged(fault) {
			t.Errorf("%q is logged, want no endpoint blamed", fault)
		}
	}
}

// TestSurvivesRefusedWatches guards against clients that lose their first request as the system has no memory, for a
// moment, to watch the connection that it has accepted.
func TestSurvivesRefusedWatches(t *testing.T) {
	t.Parallel()
	bed := newTestbed(t, nil)
	bed.startWithFaults("epoll_ctl=ENOMEM%0.2")
	const clients = 40
	lost := 0
	for range clients {
		client := bed.dial()
		client.send(request(1, "footage", nil, ""))
		if answer, err := client.read(); err != nil || answer.Error != "" {
			lost++
		}
	}
	if lost > 0 {
		t.Errorf("%d of %d clients had no answer to their first request, want each served", lost, clients)
	}
}

// TestStartsDespiteFailedCalls: what the start needs of the system fails for a moment.
func TestStartsDespiteFailedCalls(t *testing.T) {
	t.Parallel()
	bed := newTestbed(t, nil)
	bed.enableDNS("")
	bed.startWithFaults("socket=ENFILE@1-3,socket=ENOBUFS@5-6,connect=ENETUNREACH@1-2,epoll_ctl=ENOMEM@3-3")
	if answer := bed.dial().call(5, "footage", nil); answer.Error != "" {
		t.Errorf("answer %+v, want the body served", answer)
	}
}

// TestOpensControlSocketDespiteFailedCalls: the system has no descriptor for a moment for one of the sockets that the
// start makes, in turn. Another process was killed and has left its socket's file, which stands in the way.
func TestOpensControlSocketDespiteFailedCalls(t *testing.T) {
	const sockets = 12 // that the start makes
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
			bed.waitUntil("the socket answers", func() bool {
				var state bytes.Buffer
				return admin.Query(&state, path, "state") == nil && state.Len() > 0
			})
		})
	}
}

// TestSnapshotIsWrittenOnceTheDiskIsBack: the disk fails while the snapshot is written, and nothing changes afterwards.
// What the proxy was to keep is kept as soon as the disk works again.
func TestSnapshotIsWrittenOnceTheDiskIsBack(t *testing.T) {
	t.Parallel()
	bed := newTestbed(t, nil)
	file := filepath.Join(t.TempDir(), "list")
	bed.addSettings("snapshot {", "file "+file, "every 200ms", "oldest 24h", "}")
	bed.startWithFaults("fsync=EIO@1-2,rename=ENOSPC@1-1")
	bed.waitLogged("event=snapshot-write-failed")
	bed.waitUntil("the snapshot is there", func() bool {
		_, err := os.Stat(file)
		return err == nil
	})
}
