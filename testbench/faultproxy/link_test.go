package faultproxy_test

import (
	"bufio"
	"net"
	"testing"
	"time"

	"hawthornstream/testbench/faultproxy"
)

// startEchoServer returns the address of a server that sends each line back.
func startEchoServer(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = connection.Close() }()
				reader := bufio.NewReader(connection)
				for {
					line, err := reader.ReadString('\n')
					if err != nil {
						return
					}
					_, _ = connection.Write([]byte(line))
				}
			}()
		}
	}()
	return listener.Addr().String()
}

func newTestLink(t *testing.T, delay time.Duration) *faultproxy.Link {
	t.Helper()
	network := faultproxy.NewNetwork()
	t.Cleanup(network.Close)
	link, err := network.AddLink("a", "b", startEchoServer(t), delay)
	if err != nil {
		t.Fatal(err)
	}
	return link
}

func dial(t *testing.T, link *faultproxy.Link) net.Conn {
	t.Helper()
	connection, err := net.Dial("tcp", link.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = connection.Close() })
	return connection
}

// receivesEcho sends a line and reports whether an answer came within the wait.
func receivesEcho(t *testing.T, connection net.Conn, wait time.Duration) bool {
	t.Helper()
	if _, err := connection.Write([]byte("hello\n")); err != nil {
		return false
	}
	return receivesBytes(connection, wait)
}

func receivesBytes(connection net.Conn, wait time.Duration) bool {
	_ = connection.SetReadDeadline(time.Now().Add(wait))
	line := make([]byte, len("hello\n"))
	n, err := connection.Read(line)
	return err == nil && n > 0
}

const (
	answerTimeout = 10 * time.Second
	noAnswerWait  = 100 * time.Millisecond
)

func TestDelayAppliesInEachDirection(t *testing.T) {
	link := newTestLink(t, 20*time.Millisecond)
	connection := dial(t, link)
	begin := time.Now()
	if !receivesEcho(t, connection, answerTimeout) {
		t.Fatal("no answer")
	}
	if took := time.Since(begin); took < 40*time.Millisecond {
		t.Errorf("round trip took %v, want at least 40ms", took)
	}
	if link.Bytes() != 12 {
		t.Errorf("link counted %d bytes, want 12", link.Bytes())
	}
}

func TestUnblockDeliversHeldBytes(t *testing.T) {
	link := newTestLink(t, 0)
	connection := dial(t, link)
	link.Block(faultproxy.Downstream)
	if receivesEcho(t, connection, noAnswerWait) {
		t.Error("an answer passed the blocked link")
	}
	link.Unblock()
	if !receivesBytes(connection, answerTimeout) {
		t.Error("Unblock did not deliver the held answer")
	}
}

func TestStallAffectsOpenConnectionsOnly(t *testing.T) {
	link := newTestLink(t, 0)
	old := dial(t, link)
	if !receivesEcho(t, old, answerTimeout) {
		t.Fatal("no answer")
	}
	link.StallOpenConnections()
	if receivesEcho(t, old, noAnswerWait) {
		t.Error("an answer came on the stalled connection")
	}
	if !receivesEcho(t, dial(t, link), answerTimeout) {
		t.Error("no answer on the new connection")
	}
}

func TestCloseAffectsOpenConnectionsOnly(t *testing.T) {
	link := newTestLink(t, 0)
	old := dial(t, link)
	if !receivesEcho(t, old, answerTimeout) {
		t.Fatal("no answer")
	}
	link.CloseOpenConnections()
	_ = old.SetReadDeadline(time.Now().Add(answerTimeout))
	if _, err := old.Read(make([]byte, 1)); err == nil {
		t.Error("the connection that was open before is still open")
	}
	if !receivesEcho(t, dial(t, link), answerTimeout) {
		t.Error("no answer on the new connection")
	}
}
