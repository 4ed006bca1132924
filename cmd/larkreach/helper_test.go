package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"mulleinbeam/internal/lab"
	"mulleinbeam/internal/lab/sysfault"
)

// This file is the harness of the network tests: it starts the real program as a process and simulates its clients,
// endpoints and discovery. It reads and writes HTTP with the standard library, so that the project's parsers are tested
// against another implementation. Nothing here waits for a fixed time: tests wait for events, and the timeout of go
// test bounds them.

const childProcessEnv = "LARKREACH_TEST_CHILD"

// TestMain lets the test binary run as the program, so that the race detector covers the program too.
func TestMain(m *testing.M) {
	if sysfault.Marked() {
		fmt.Fprintln(os.Stderr, sysfault.Launch())
		os.Exit(1)
	}
	if os.Getenv(childProcessEnv) != "" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// testbed is a forwarder process with its configuration, state folder, discovery and log.
type testbed struct {
	*discovery // the discovery that the configuration names
	t          *testing.T
	dir        string
	listen     string
	path       string // path of the configuration file
	config     map[string]any
	env        []string
	files      int      // descriptor limit; 0 keeps the inherited one
	stderr     *os.File // receives the log instead of the field log
	cmd        *exec.Cmd
	log        *logBuffer
	exited     chan error
}

// discovery simulates the discovery service on its own address.
type discovery struct {
	listener net.Listener
	lists    chan map[string]any // answers to watch requests
	watched  chan string         // queries of the watch requests received
	reports  chan deliveryReport
	refuse   atomic.Bool // whether reports are answered 500
}

type deliveryReport struct {
	Message string `json:"message"`
	Outcome string `json:"outcome"`
	Retry   int64  `json:"retry_in_ms"`
}

// logBuffer stores the program's log and passes on each line.
type logBuffer struct {
	mu    sync.Mutex
	text  bytes.Buffer
	lines chan string
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

func (b *logBuffer) read(r io.Reader) {
	scanner := bufio.NewScanner(r)
	for scanner.Scan() {
		for _, line := range lab.Human(scanner.Text()) {
			b.mu.Lock()
			fmt.Fprintln(&b.text, line)
			b.mu.Unlock()
			select {
			case b.lines <- line:
			default: // no test is reading
			}
		}
	}
}

const classes = `[{"credit":1,"effect":"keyed","give-up":20000000,"group":"all","key-ttl":15000000,"late-worth":0.4,
 "name":"keyed","target":4000000},{"credit":2,"effect":"safe","give-up":20000000,"group":"all","late-worth":0.1,
 "name":"safe","target":800000},{"credit":5,"effect":"unsafe","give-up":20000000,"group":"all","late-worth":0.4,
 "name":"unsafe","target":3000000}]`

// hostCount counts the addresses that uniqueHost has returned.
var hostCount atomic.Uint64

// uniqueHost returns a loopback address that no other test uses, so that no other connection or listener takes the port
// of a forwarder while it restarts.
func uniqueHost() string {
	const hosts = 250 // usable addresses of a /24 network
	n, process := hostCount.Add(1), uint64(os.Getpid())
	return fmt.Sprintf("127.%d.%d.%d", 128+process%64, (process/64+n/hosts)%256, 1+n%hosts)
}

// newTestbed returns a testbed whose known list has the endpoints. The program is not started yet.
func newTestbed(t *testing.T, endpoints ...*endpoint) *testbed {
	t.Helper()
	s := &testbed{t: t, discovery: newDiscovery(t), dir: t.TempDir(), path: filepath.Join(t.TempDir(), "config.json")}
	l, err := net.Listen("tcp", uniqueHost()+":0")
	if err != nil {
		t.Fatal(err)
	}
	s.listen = l.Addr().String()
	l.Close()
	var services any
	if err := json.Unmarshal([]byte(classes), &services); err != nil {
		t.Fatal(err)
	}
	s.config = map[string]any{
		"name": "n0", "listen": s.listen, "discovery": s.address(), "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 256, "disk_mb": 3},
		"known":  list(1, true, endpoints...),
		"settings": map[string]any{
			"balancers": 1, "weight-source": "nominal", "azs": []string{"z"}, "kinds": []string{"k"}, "services": services,
			"family-info": map[string]any{"calls-out": 8, "fades": "even"},
			"limits": map[string]any{
				"cancel": true, "connect-timeout": 1000000, "keepalive": 10000000, "max-attempts": 6,
				"max-retry-after": 3000000, "most-held": 20,
			},
			"rules": map[string]any{"answer-slack": 20000, "drain-grace": 2000000},
		},
	}
	return s
}

func newDiscovery(t *testing.T) *discovery {
	t.Helper()
	return newDiscoveryOn(t, listenOn(t))
}

// newDiscoveryOn serves discovery on a listener.
func newDiscoveryOn(t *testing.T, l net.Listener) *discovery {
	t.Helper()
	d := &discovery{
		listener: l, lists: make(chan map[string]any, 8), watched: make(chan string, 64),
		reports: make(chan deliveryReport, 64),
	}
	go d.serve()
	t.Cleanup(func() { d.listener.Close() })
	return d
}

func (d *discovery) address() string { return d.listener.Addr().String() }

func listenOn(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// set changes the configuration value at path.
func (s *testbed) set(value any, path ...string) {
	m := s.config
	for _, key := range path[:len(path)-1] {
		m = m[key].(map[string]any)
	}
	m[path[len(path)-1]] = value
}

func list(index int, whole bool, endpoints ...*endpoint) map[string]any {
	entries := []any{}
	for _, p := range endpoints {
		entries = append(entries, map[string]any{
			"name": p.name, "address": p.address, "zone": "z", "type": "k", "group": p.group, "status": p.status,
			"weight": 50.0, "since_ms": 0,
		})
	}
	return map[string]any{"index": index, "snapshot": whole, "endpoints": entries}
}

// start starts or restarts the program and waits until it is ready.
func (s *testbed) start() {
	s.t.Helper()
	s.launch()
	if !s.waitForLog("ready listen=") {
		s.t.Fatalf("the program did not start:\n%s", s.log)
	}
}

// write writes the configuration file.
func (s *testbed) write() {
	s.t.Helper()
	raw, err := json.Marshal(s.config)
	if err == nil {
		err = os.WriteFile(s.path, raw, 0o600)
	}
	if err != nil {
		s.t.Fatal(err)
	}
}

// reload writes the configuration file, sends SIGHUP and waits for a log line that contains wants.
func (s *testbed) reload(wants string) {
	s.t.Helper()
	s.write()
	s.cmd.Process.Signal(syscall.SIGHUP)
	if !s.waitForLog(wants) {
		s.t.Fatalf("no %q:\n%s", wants, s.log)
	}
}

func (s *testbed) launch() {
	s.t.Helper()
	s.write()
	cmd := exec.Command(os.Args[0])
	if s.files > 0 {
		cmd = exec.Command("/bin/sh", "-c", fmt.Sprintf(`ulimit -n %d && exec "$0"`, s.files), os.Args[0])
	}
	cmd.Env = append(os.Environ(), childProcessEnv+"=1", "ROUTER_CONFIG="+s.path, "ROUTER_STATE="+s.dir)
	cmd.Env = append(cmd.Env, s.env...)
	var pipe io.Reader = strings.NewReader("")
	if s.stderr != nil {
		cmd.Stderr = s.stderr
	} else {
		var err error
		if pipe, err = cmd.StderrPipe(); err != nil {
			s.t.Fatal(err)
		}
	}
	if err := cmd.Start(); err != nil {
		s.t.Fatal(err)
	}
	log, exited := &logBuffer{lines: make(chan string, 4096)}, make(chan error, 1)
	s.cmd, s.log, s.exited = cmd, log, exited
	go func() {
		log.read(pipe)
		close(log.lines)
		exited <- cmd.Wait()
	}()
	s.t.Cleanup(func() { cmd.Process.Kill() })
}

// waitForLog waits for a log line that contains text. It returns false if the program ends first.
func (s *testbed) waitForLog(text string) bool {
	for line := range s.log.lines {
		if strings.Contains(line, text) {
			return true
		}
	}
	return false
}

// waitForCounter requests the counters until a line of them contains text.
func (s *testbed) waitForCounter(text string) {
	s.cmd.Process.Signal(syscall.SIGUSR1)
	for line := range s.log.lines {
		if strings.Contains(line, text) {
			return
		}
		if strings.HasPrefix(line, "notices:") { // the last line of the counters
			s.cmd.Process.Signal(syscall.SIGUSR1)
		}
	}
	s.t.Fatalf("the program ended before the counters contained %q", text)
}

// end sends a signal and waits until the program has ended.
func (s *testbed) end(sig syscall.Signal) error {
	s.cmd.Process.Signal(sig)
	return <-s.exited
}

// serve answers reports at once, and each watch request with the next list from lists.
func (d *discovery) serve() {
	for {
		conn, err := d.listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			r := bufio.NewReader(conn)
			for {
				req, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				body, _ := io.ReadAll(req.Body)
				if req.URL.Path == "/v1/servers" {
					d.watched <- req.URL.RawQuery
					gone := make(chan struct{}) // closed on the next byte or the end of the waiting connection
					go func() { defer close(gone); r.Peek(1) }()
					select {
					case l := <-d.lists:
						text, _ := json.Marshal(l)
						fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
						<-gone
					case <-gone:
						return
					}
					continue
				}
				if d.refuse.Load() {
					fmt.Fprint(conn, "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")
					continue
				}
				fmt.Fprint(conn, "HTTP/1.1 204 No Content\r\n\r\n")
				for line := range bytes.Lines(body) {
					var n deliveryReport
					if json.Unmarshal(line, &n) == nil {
						d.reports <- n
					}
				}
			}
		}()
	}
}

// call is a call that reached an endpoint; the test answers it.
type call struct {
	id, key, body, timeout string
	conn                   net.Conn
	connNumber             int
	next                   chan struct{}
}

// answer writes an answer and lets the connection read its next call.
func (c *call) answer(text string) {
	fmt.Fprintf(c.conn, "HTTP/1.1 %s\r\nContent-Length: 0\r\n\r\n", text)
	close(c.next)
}

// drop closes the connection without an answer.
func (c *call) drop() { c.conn.Close(); close(c.next) }

type endpoint struct {
	name, address, status string
	group                 int
	listener              net.Listener
	calls                 chan *call
	ends                  chan int // numbers of the connections that the forwarder closed
}

// newEndpoint starts an endpoint of a group.
func newEndpoint(t *testing.T, name string, group int) *endpoint {
	t.Helper()
	p := &endpoint{
		name: name, group: group, status: "SERVING", listener: listenOn(t), calls: make(chan *call, 64), ends: make(chan int, 64),
	}
	p.address = p.listener.Addr().String()
	t.Cleanup(func() { p.listener.Close() })
	go func() {
		for number := 1; ; number++ {
			conn, err := p.listener.Accept()
			if err != nil {
				return
			}
			go func() {
				r := bufio.NewReader(conn)
				for {
					req, err := http.ReadRequest(r)
					if err != nil {
						p.ends <- number
						return
					}
					body, _ := io.ReadAll(req.Body)
					c := &call{
						id: req.Header.Get("X-Request-ID"), key: req.Header.Get("Idempotency-Key"), body: string(body),
						timeout: req.Header.Get("X-Timeout-Ms"), conn: conn, connNumber: number, next: make(chan struct{}),
					}
					p.calls <- c
					<-c.next
				}
			}()
		}
	}()
	return p
}

// client is a client connection.
type client struct {
	t    *testing.T
	conn net.Conn
	r    *bufio.Reader
}

func (s *testbed) client() *client {
	s.t.Helper()
	conn, err := net.Dial("tcp", s.listen)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { conn.Close() })
	return &client{t: s.t, conn: conn, r: bufio.NewReader(conn)}
}

// request returns the HTTP request with which a client submits a message.
func request(id, class string, dest int, left time.Duration, body string) string {
	return fmt.Sprintf("POST /api HTTP/1.1\r\nHost: origin.svc\r\nX-Request-ID: %s\r\nX-Priority-Class: %s\r\n"+
		"X-Timeout-Ms: %d\r\nIdempotency-Key: key-%s\r\nContent-Length: %d\r\nX-Addressing: dest=%d\r\n\r\n%s",
		id, class, left.Milliseconds(), id, len(body), dest, body)
}

// send writes a request and reads its response.
func (c *client) send(raw string) *http.Response {
	c.t.Helper()
	if _, err := io.WriteString(c.conn, raw); err != nil {
		c.t.Fatal(err)
	}
	return c.read()
}

func (c *client) read() *http.Response {
	c.t.Helper()
	res, err := http.ReadResponse(c.r, nil)
	if err != nil {
		c.t.Fatal(err)
	}
	io.Copy(io.Discard, res.Body)
	return res
}

// submit submits a message and fails the test unless it is accepted.
func (s *testbed) submit(id, class string, dest int) {
	s.t.Helper()
	if res := s.client().send(request(id, class, dest, 20*time.Second, "body of "+id)); res.StatusCode != 202 {
		s.t.Fatalf("%s: answered %s", id, res.Status)
	}
}

// boundAddress is a bound address without a listener: connections to it are refused, and no other process gets the
// port.
type boundAddress struct {
	socket  *os.File // owns the descriptor
	address string
}

// bindUnused binds an address without listening on it.
func bindUnused(t *testing.T) *boundAddress {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	b := &boundAddress{socket: os.NewFile(uintptr(fd), "bound")}
	t.Cleanup(func() { b.socket.Close() })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	b.address = fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port)
	return b
}

// listen starts listening on the address.
func (b *boundAddress) listen(t *testing.T) net.Listener {
	t.Helper()
	if err := syscall.Listen(int(b.socket.Fd()), 16); err != nil {
		t.Fatal(err)
	}
	l, err := net.FileListener(b.socket) // duplicates the descriptor
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}
