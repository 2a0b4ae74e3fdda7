package outbound_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// flawedEndpoint is an endpoint that may send faulty answers. It counts the requests that it has executed.
type flawedEndpoint struct {
	testNet  *network
	id       string
	flawed   bool
	listener *listener
	mu       sync.Mutex
	executed map[string]int // number of executions of each request, by request ID
	conns    []net.Conn
}

func startEndpoint(network *network, address, id string, flawed bool) *flawedEndpoint {
	endpoint := &flawedEndpoint{testNet: network, id: id, flawed: flawed, listener: network.listen(address), executed: map[string]int{}}
	go func() {
		for {
			conn, err := endpoint.listener.Accept()
			if err != nil {
				return
			}
			endpoint.mu.Lock()
			endpoint.conns = append(endpoint.conns, conn)
			endpoint.mu.Unlock()
			go endpoint.serve(conn)
		}
	}()
	return endpoint
}

func (f *flawedEndpoint) close() {
	f.listener.close()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, conn := range f.conns {
		closeQuietly(conn)
	}
}

// executions returns how often a request was executed.
func (f *flawedEndpoint) executions(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.executed[id]
}

// serve answers the requests of a connection one after another. Its output is buffered until the other side reads it, as in a socket.
func (f *flawedEndpoint) serve(conn net.Conn) {
	defer closeQuietly(conn)
	out := make(chan string, 64)
	defer close(out)
	go func() {
		for text := range out {
			if text == "" { // stands for a reset
				closeQuietly(conn)
			}
			_, _ = io.WriteString(conn, text)
		}
	}()
	reader := bufio.NewReader(conn)
	previousID := "0"
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		f.answer(request, string(body), previousID, out)
		previousID = request.Header.Get("Attempt-Id")
	}
}

func completeAnswer(id, text string, extra ...string) string {
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nEndpoint-Seal: seal.%s\r\n", id, id)
	for _, x := range extra {
		head += x + "\r\n"
	}
	return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(text), text)
}

// answerText returns the body of the answer to a request.
func answerText(id, uri, body string) string {
	text := id + " " + uri + " " + body + " "
	if strings.HasPrefix(uri, "/downlink/") {
		text += strings.Repeat(id, 3000)
	}
	return text
}

// answer writes the endpoint's answer to a request. The answer may have a random flaw. previousID is the ID of the connection's previous
// request.
func (f *flawedEndpoint) answer(request *http.Request, body, previousID string, out chan<- string) {
	id := request.Header.Get("Attempt-Id")
	if request.Header.Get("Target-Endpoint") != f.id {
		out <- fmt.Sprintf("HTTP/1.1 421 Misdirected\r\nAttempt-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
		return
	}
	rejection := fmt.Sprintf("HTTP/1.1 503 Full\r\nAttempt-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
	flaw := 100
	if f.flawed {
		flaw = f.testNet.draw(100)
	}
	switch {
	case flaw < 4:
		out <- rejection
		return
	case flaw < 8: // a rejection that is sent twice
		out <- rejection
		out <- rejection
		return
	case flaw < 10: // a reset before the execution began
		out <- ""
		return
	}
	f.mu.Lock()
	f.executed[id]++
	f.mu.Unlock()
	time.Sleep(time.Duration(1+f.testNet.draw(40)) * time.Millisecond)
	text := answerText(id, request.RequestURI, body)
	complete := completeAnswer(id, text)
	switch {
	case flaw < 14:
		out <- ""
	case flaw < 16: // no answer
	case flaw < 20:
		out <- complete[:len(complete)-1-f.testNet.draw(len(text))]
		out <- ""
	case flaw < 22:
		out <- "\x00\x01 no answer\r\n\r\n"
	case flaw < 25: // a late second answer to the previous request
		out <- completeAnswer(previousID, answerText(previousID, request.RequestURI, body))
		out <- complete
	case flaw < 30: // an answer that is sent twice
		out <- complete
		out <- complete
	case flaw < 33: // an answer followed by one that belongs to no request
		out <- complete + "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nxyz"
	case flaw < 36:
		out <- "HTTP/1.1 102 Processing\r\n\r\n" + complete
	case flaw < 38:
		out <- completeAnswer(id, text, "Content-Encoding: gzip")
	case flaw < 41:
		out <- fmt.Sprintf("HTTP/1.1 500 Oops\r\nAttempt-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
	case flaw < 43: // a status that promises no execution, after an execution
		out <- fmt.Sprintf("HTTP/1.1 503 Full\r\nAttempt-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
	case flaw < 46:
		out <- completeAnswer(id, text, "Connection: close")
		out <- ""
	case flaw < 50:
		header := fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nEndpoint-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n", id)
		out <- header + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(text), text)
	default:
		out <- complete
	}
}
