package trial

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"
)

// This file holds upstreams that send given bytes as their responses.

// Response is a case of testdata/responses.txt.
type Response struct {
	Line string
	// Long is true for a request whose body is not read to its end.
	Long bool
	// Whole is true if the response may be delivered.
	Whole bool
	text  string
	end   string
}

// ReadResponses reads the cases of a file.
func ReadResponses(file string) ([]Response, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	var list []Response
	for line := range strings.Lines(string(data)) {
		fields := strings.Split(strings.TrimSpace(line), "|")
		if strings.HasPrefix(line, "#") || len(fields) != 4 {
			continue
		}
		for i, f := range fields {
			fields[i] = strings.TrimSpace(f)
		}
		list = append(list, Response{
			Line: strings.Join(fields, " | "), Long: fields[0] == "long", Whole: fields[3] == "whole",
			text: strings.ReplaceAll(fields[1], ";", "\r\n"), end: fields[2],
		})
	}
	return list, nil
}

// Responder is an upstream that sends one response to each request.
type Responder struct {
	listener net.Listener
	response Response
	identify func(*http.Request) string
}

// NewResponder starts an upstream. identify returns the headers that stand for ID, without
// the end of the last line.
func NewResponder(r Response, identify func(*http.Request) string) (*Responder, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Responder{listener: l, response: r, identify: identify}
	go s.run()
	return s, nil
}

// Address returns the address of the upstream.
func (s *Responder) Address() string { return s.listener.Addr().String() }

// Close ends the upstream.
func (s *Responder) Close() error { return s.listener.Close() }

func (s *Responder) run() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		conn := responderConn{upstream: s, conn: c.(*net.TCPConn)}
		go conn.run()
	}
}

// uploadPart is what is read of a long body before the response, in bytes.
const uploadPart = 64 << 10

// holdTime is how long an upstream keeps a connection on which it reads no further.
const holdTime = 500 * time.Millisecond

// resetDelay is kept between a response and a reset, which would destroy what the client has
// not read yet.
const resetDelay = 50 * time.Millisecond

// responderConn is a connection to a Responder.
type responderConn struct {
	upstream *Responder
	conn     *net.TCPConn
}

func (r *responderConn) run() {
	s, c := r.upstream, r.conn
	defer c.Close()
	// A long body must not fit into the buffers of the kernel.
	_ = c.SetReadBuffer(uploadPart)
	reader := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		part := int64(1 << 30)
		if s.response.Long {
			part = uploadPart
		}
		if _, err := io.CopyN(io.Discard, req.Body, part); err != nil && !errors.Is(err, io.EOF) {
			return
		}
		if _, err := io.WriteString(c, strings.ReplaceAll(s.response.text, "ID", s.identify(req))); err != nil {
			return
		}
		switch s.response.end {
		case "reset":
			time.Sleep(resetDelay)
			_ = c.SetLinger(0)
			return
		case "half":
			_ = c.CloseWrite()
			time.Sleep(resetDelay)
			_ = c.SetLinger(0)
			return
		case "hold":
			// The client must not wait for its upload, and what it has not read must not be lost.
			time.Sleep(holdTime)
			return
		case "close":
			return
		}
	}
}
