package main

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Shape of all streams that workers make.
const (
	streamEvents = 50
	eventTime    = 40 * time.Millisecond
	firstTime    = 20 * time.Millisecond
	// secondTime is the time from a second copy to the answer that is expected.
	secondTime = 20 * time.Millisecond
)

// eventData returns the data of event n of a request; it is the same at all workers.
func eventData(request string, n int) string {
	sum := sha256.Sum256([]byte(fmt.Sprint(request, "/", n)))
	return hex.EncodeToString(sum[:24])
}

// wholeText returns the text of an item as a result lists it.
func wholeText(item string) string {
	var parts []string
	for n := 1; n <= streamEvents; n++ {
		parts = append(parts, eventData(item, n))
	}
	return strings.Join(parts, "\n")
}

// worker is a stand-in of a worker. It tells on its standard output what it runs.
type worker struct {
	id string
	// unframed names the request whose answer has no length and ends with its channel.
	unframed string
	// torn makes an event leave in two parts, with a pause between them.
	torn bool
	// fails names the request whose first answer is a failure; copied is set if a second
	// copy of it is sent where the answer to the next request on its channel is expected.
	fails  string
	copied bool
	// events makes the worker tell of each event of that request.
	events bool

	mu      sync.Mutex
	version int64
	orders  int64
	failed  bool
}

func runWorker(args []string) error {
	flags := flag.NewFlagSet("worker", flag.ContinueOnError)
	listen := flags.String("listen", "", "IP:port")
	w := &worker{version: 1}
	flags.StringVar(&w.id, "id", "", "the worker's id")
	flags.StringVar(&w.unframed, "unframed", "", "id of the request that is answered without a length")
	flags.BoolVar(&w.torn, "torn", false, "send each event in two parts")
	flags.StringVar(&w.fails, "fails", "", "id of the request that fails once")
	flags.BoolVar(&w.copied, "copied", false, "send a second copy of that answer")
	flags.BoolVar(&w.events, "events", false, "tell of each event of the request without a length")
	if err := flags.Parse(args); err != nil {
		return err
	}
	listener, err := net.Listen("tcp", *listen)
	if err != nil {
		return err
	}
	return http.Serve(listener, w)
}

func (w *worker) say(format string, args ...any) {
	_, _ = fmt.Fprintf(os.Stdout, format+"\n", args...)
}

// ServeHTTP serves health checks, reports, orders, items and plain requests.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != w.id {
		rw.Header().Set("Instance-Id", w.id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case r.URL.Path == "/health":
		rw.Header().Set("Instance-Id", w.id)
	case r.URL.Path == "/v1/report":
		w.report(rw)
	case r.URL.Path == "/v1/order":
		w.order(rw, body)
	case strings.HasPrefix(r.URL.Path, "/train/"), strings.HasPrefix(r.URL.Path, "/stream/"):
		w.stream(rw, r)
	default:
		w.plain(rw, r)
	}
}

func (w *worker) report(rw http.ResponseWriter) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_ = json.NewEncoder(rw).Encode(map[string]any{
		"stage": "both", "models": []map[string]any{{"name": "coach", "version": w.version, "adapters": []string{}}},
		"busy": false, "sequence": w.orders, "waiting": 0, "running": 0, "kv_cache_used": 0, "kv_cache_total": 90000, "handles": 0,
	})
}

func (w *worker) order(rw http.ResponseWriter, body []byte) {
	var order struct {
		Version  int64  `json:"version"`
		Expected *int64 `json:"expected"`
		Holder   string `json:"holder"`
		Fence    int64  `json:"fence"`
	}
	if json.Unmarshal(body, &order) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case order.Version <= w.version:
		rw.WriteHeader(http.StatusOK)
	case order.Expected != nil && *order.Expected != w.orders:
		rw.WriteHeader(http.StatusConflict)
	default:
		w.orders++
		w.version = order.Version
		rw.WriteHeader(http.StatusAccepted)
	}
}

func (w *worker) plain(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	w.say("began %s after 0", id)
	if w.mustFail(id) {
		w.fail(rw, id)
		return
	}
	w.say("answered %s 200", id)
	rw.Header().Set("Request-Id", id)
	rw.Header().Set("Server-Stamp", "stamp."+w.id+"."+id)
	_, _ = io.WriteString(rw, "answer to "+id)
}

// stream makes the events of a request from Last-Event-Id on.
func (w *worker) stream(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.mu.Lock()
	version := w.version
	w.mu.Unlock()
	time.Sleep(firstTime)
	unframed := w.unframed == id && after == 0
	w.say("began %s after %d unframed %t", id, after, unframed)
	head := http.Header{
		"Content-Type": {"text/event-stream"}, "Request-Id": {id}, "Server-Stamp": {"stamp." + w.id + "." + id},
		"Weight-Versions": {strconv.FormatInt(version, 10)},
	}
	send, end := framed(rw, head)
	if unframed {
		send, end = withoutLength(rw, head)
	}
	for n := after + 1; n <= streamEvents; n++ {
		if err := w.sendEvent(send, id, n); err != nil {
			w.say("left %s at %d", id, n)
			return
		}
	}
	end()
	w.say("done %s", id)
}

// sendEvent sends an event, in two parts if the worker tears its events.
func (w *worker) sendEvent(send func(string) error, id string, n int) error {
	data := eventData(id, n)
	first, second := fmt.Sprintf("id: %d\ndata: %s\n\n", n, data), ""
	pause := eventTime
	if w.torn {
		first, second = fmt.Sprintf("id: %d\ndata: %s", n, data[:len(data)/2]), data[len(data)/2:]+"\n\n"
		pause /= 2
	}
	if err := send(first); err != nil {
		return err
	}
	if w.events && id == w.unframed {
		w.say("event %s %d", id, n)
	}
	time.Sleep(pause)
	if second == "" {
		return nil
	}
	if err := send(second); err != nil {
		return err
	}
	time.Sleep(pause)
	return nil
}

// framed sends a stream in chunks.
func framed(rw http.ResponseWriter, head http.Header) (send func(string) error, end func()) {
	for name, values := range head {
		rw.Header()[name] = values
	}
	controller := http.NewResponseController(rw)
	return func(part string) error {
		if _, err := io.WriteString(rw, part); err != nil {
			return err
		}
		return controller.Flush()
	}, func() {}
}

// withoutLength sends a stream that ends with its channel.
func withoutLength(rw http.ResponseWriter, head http.Header) (send func(string) error, end func()) {
	conn, buffered, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		return func(string) error { return err }, func() {}
	}
	begun := false
	return func(part string) error {
		if !begun {
			begun = true
			if err := writeHead(buffered.Writer, head); err != nil {
				return err
			}
		}
		if _, err := buffered.WriteString(part); err != nil {
			return err
		}
		return buffered.Flush()
	}, func() { _ = conn.Close() }
}

func writeHead(to *bufio.Writer, head http.Header) error {
	if _, err := to.WriteString("HTTP/1.1 200 OK\r\nConnection: close\r\n"); err != nil {
		return err
	}
	if err := head.Write(to); err != nil {
		return err
	}
	_, err := to.WriteString("\r\n")
	return err
}

// mustFail reports, once, whether a request is the one that fails.
func (w *worker) mustFail(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	fails := id == w.fails && !w.failed
	w.failed = w.failed || fails
	return fails
}

// fail answers a request with 500.
func (w *worker) fail(rw http.ResponseWriter, id string) {
	if w.copied {
		w.failTwice(rw, id)
		return
	}
	w.say("answered %s 500", id)
	rw.Header().Set("Request-Id", id)
	rw.WriteHeader(http.StatusInternalServerError)
}

// failTwice answers a request with 500. The next request on its channel first gets a
// second copy of that answer, and then its own.
func (w *worker) failTwice(rw http.ResponseWriter, id string) {
	conn, buffered, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	failure := fmt.Sprintf("HTTP/1.1 500 Internal Server Error\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
	w.say("answered %s 500", id)
	if _, err := io.WriteString(conn, failure); err != nil {
		return
	}
	next, err := http.ReadRequest(buffered.Reader)
	if err != nil {
		w.say("the channel ended before the second copy")
		return
	}
	_, _ = io.Copy(io.Discard, next.Body)
	nextID := next.Header.Get("Request-Id")
	w.say("began %s after 0", nextID)
	w.say("second copy of the answer to %s, where that to %s is expected", id, nextID)
	if _, err := io.WriteString(conn, failure); err != nil {
		return
	}
	time.Sleep(secondTime)
	w.say("answered %s 200", nextID)
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: stamp.%s.%s\r\nContent-Length: 2\r\n\r\nok", nextID, w.id, nextID)
}
