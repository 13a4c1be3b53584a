package soak

import (
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"strconv"
	"strings"
	"time"

	"hawthornstream/platform/platformtest"
)

const (
	// endlessConnections is the number of connections on which messages without end arrive at a
	// daemon at once, from callers or from other daemons.
	endlessConnections = 100
	// blockBytes is the length of what is sent at once, and blockPause the pause after it.
	blockBytes = 64 << 10
	blockPause = 2 * time.Millisecond
	// endlessTimeout is the time after which the sender of a message without end closes.
	endlessTimeout = 6 * time.Second
)

// endlessMessage is a message that never arrives whole: its beginning, and then its block again
// and again.
type endlessMessage struct {
	name, begin, block string
	// heldAt is the number of bytes after the beginning at which the sender stops and holds the
	// connection open; zero for never.
	heldAt int
}

// send sends the message until the other end closes or the timeout has passed.
func (m *endlessMessage) send(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(endlessTimeout))
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		_, _ = io.Copy(io.Discard, conn)
	}()
	if _, err := io.WriteString(conn, m.begin); err != nil {
		return
	}
	for sent := 0; m.heldAt == 0 || sent < m.heldAt; sent += len(m.block) {
		block := m.block
		if m.heldAt > 0 {
			block = block[:min(len(block), m.heldAt-sent)]
		}
		if _, err := io.WriteString(conn, block); err != nil {
			return
		}
		time.Sleep(blockPause)
	}
	<-closed
}

// shortLines are the lines of a head, of a different name each.
func shortLines() string {
	var lines strings.Builder
	for i := int64(36 * 36); lines.Len() < 4*blockBytes; i++ {
		lines.WriteString(strconv.FormatInt(i, 36) + ":\n")
	}
	return lines.String()
}

var (
	headLines = shortLines()
	oneLine   = strings.Repeat("x", blockBytes)
)

const (
	answerStart  = platformtest.AnswerStart
	streamStart  = answerStart + "Content-Type: text/event-stream\r\n\r\n"
	requestStart = "POST /write/x HTTP/1.1\r\nHost: " + platformtest.Host + "\r\nApi-Key: key-1\r\n"
	// frameStart begins a frame of 1 MiB: its kind, stream, number and length.
	frameStart = "\x02\x01\x01\x80\x80\x40"
)

// endlessAnswers come from backend servers and the store.
var endlessAnswers = []endlessMessage{
	{name: "head of short lines", begin: answerStart, block: headLines},
	{name: "head of one line", begin: answerStart + "X: ", block: oneLine},
	{name: "interim answers", block: strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n", 100)},
	{name: "head held open", begin: answerStart, block: headLines, heldAt: 250 << 10},
	{name: "event of one line", begin: streamStart + "data: ", block: oneLine},
	{name: "event of short lines", begin: streamStart, block: strings.Repeat("data: x\n", 1000)},
	{name: "event held open", begin: streamStart + "data: ", block: oneLine, heldAt: 1000 << 10},
	{name: "body", begin: answerStart + "\r\n", block: oneLine},
	{name: "body held open", begin: answerStart + "\r\n", block: oneLine, heldAt: 4000 << 10},
}

var endlessRequests = []endlessMessage{
	{name: "head of short lines", begin: requestStart, block: headLines},
	{name: "head of one line", begin: requestStart + "X: ", block: oneLine},
	{name: "head held open", begin: requestStart, block: headLines, heldAt: 78 << 10},
	{name: "body held open", begin: requestStart + "Content-Length: 1000000\r\n\r\n", block: oneLine, heldAt: 900_000},
}

var endlessFrame = endlessMessage{name: "frame held open", begin: frameStart, block: oneLine, heldAt: 1000 << 10}

// endlessFaults are the faults of a run with Options.EndlessMessages.
var endlessFaults = []fault{
	{"backend server sends messages without end", (*soakRun).makeServerEndless},
	{"all backend servers send messages without end", (*soakRun).makeAllServersEndless},
	{"store sends messages without end", (*soakRun).makeStoreEndless},
	{"callers send messages without end", (*soakRun).sendEndlessRequests},
	{"peers send messages without end", (*soakRun).sendEndlessFrames},
	{"daemon settings reloaded", (*soakRun).reloadSettings},
	{"configuration changed", (*soakRun).changeConfiguration},
}

// chooseEndless returns one of the messages.
func (r *soakRun) chooseEndless(messages []endlessMessage) *endlessMessage {
	chosen := &messages[r.random.IntN(len(messages))]
	r.options.Logf("seed %d: %s", r.options.Seed, chosen.name)
	return chosen
}

// makeServerEndless makes a backend server answer half of the requests without end.
func (r *soakRun) makeServerEndless() func() {
	return r.makeServersEndless(r.randomServer())
}

func (r *soakRun) makeAllServersEndless() func() {
	return r.makeServersEndless(r.servers...)
}

// makeServersEndless chooses a message for each of the servers.
func (r *soakRun) makeServersEndless(servers ...*backendServer) func() {
	for _, server := range servers {
		server.endless.Store(r.chooseEndless(endlessAnswers))
	}
	return func() {
		for _, server := range servers {
			server.endless.Store(nil)
		}
	}
}

// answerWithoutEnd runs the request and sends the message in place of an answer.
func (s *backendServer) answerWithoutEnd(w http.ResponseWriter, r *http.Request, message *endlessMessage) {
	s.recordRun(r)
	conn, _ := hijack(w)
	message.send(conn)
}

func (r *soakRun) makeStoreEndless() func() {
	r.endlessStore.Store(r.chooseEndless(endlessAnswers))
	return func() { r.endlessStore.Store(nil) }
}

// startStoreProxy starts the server through which the daemons reach the store, and which can send
// messages without end in place of its answers.
func (r *soakRun) startStoreProxy() {
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: r.storeAddress()})
	proxy.ErrorLog = log.New(io.Discard, "", 0)
	r.storeProxy = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		if message := r.endlessStore.Load(); message != nil && rand.IntN(2) == 0 {
			conn, _ := hijack(w)
			message.send(conn)
			return
		}
		proxy.ServeHTTP(w, request)
	}))
}

// storeAddress returns the address at which the links of the daemons reach the store.
func (r *soakRun) storeAddress() string {
	address := r.store.URL
	if r.storeProxy != nil {
		address = r.storeProxy.URL
	}
	return strings.TrimPrefix(address, "http://")
}

func (r *soakRun) sendEndlessRequests() func() {
	sendOnManyConnections(r.randomDaemon().addresses.Callers, r.chooseEndless(endlessRequests))
	return nil
}

func (r *soakRun) sendEndlessFrames() func() {
	sendOnManyConnections(r.randomDaemon().addresses.Peers, &endlessFrame)
	return nil
}

func sendOnManyConnections(address string, message *endlessMessage) {
	for range endlessConnections {
		if conn, err := net.DialTimeout("tcp", address, time.Second); err == nil {
			go message.send(conn)
		}
	}
}
