package callerhttp

import (
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"
)

// dropReceived makes the kernel drop what arrives on the connection, as if its host were cut
// off.
func dropReceived(t *testing.T, conn *net.TCPConn) {
	t.Helper()
	raw, err := conn.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var attachErr error
	err = raw.Control(func(fd uintptr) {
		//lint:ignore SA1019 golang.org/x/net/bpf assembles filters but attaches none to a TCP connection.
		attachErr = syscall.AttachLsf(int(fd), []syscall.SockFilter{{Code: syscall.BPF_RET, K: 0}})
	})
	if err != nil || attachErr != nil {
		t.Fatal(err, attachErr)
	}
}

// The host of the serving daemon was cut off while a caller's connection was idle. No
// keep-alive probe follows a request that isn't acknowledged, so its caller got no answer.
func TestRequestToVanishedPeerIsAnswered(t *testing.T) {
	peers := make(chan *net.TCPConn, 1)
	late, caller := startScriptedPeer(t, func(_ net.Listener, conn *net.TCPConn) { peers <- conn })
	caller.send("body")
	dropReceived(t, <-peers)
	if _, err := io.WriteString(caller.conn, "POST"); err != nil {
		t.Fatal(err)
	}
	if err := caller.conn.SetReadDeadline(time.Now().Add(15 * time.Second)); err != nil {
		t.Fatal(err)
	}
	got, err := io.ReadAll(caller.reader)
	if err != nil || !strings.HasPrefix(string(got), "HTTP/1.1 502 ") || late.lostRequests() != relayEndVanished {
		t.Errorf("the caller got %q (%v), counted as %q", got, err, late.lostRequests())
	}
}
