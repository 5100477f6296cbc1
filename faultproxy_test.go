package main

import (
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

// linkState is what a proxy does with connections from a source to a target.
type linkState int

const (
	passing linkState = iota
	// hanging keeps connections open and forwards nothing.
	hanging
	// cutting closes new and open connections.
	cutting
)

// network holds the faults of all proxies. Proxies of libraries ignore the source
// of a connection, and a cut between two data centres depends on it.
type network struct {
	mu    sync.Mutex
	rules []linkRule
}

// linkRule sets the state of all links with these address prefixes.
type linkRule struct {
	source, target string
	state          linkState
}

// addRule adds a rule for all sources and targets with these prefixes; later rules
// take precedence.
func (n *network) addRule(source, target string, state linkState) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.rules = append(n.rules, linkRule{source: source, target: target, state: state})
}

// heal removes all rules.
func (n *network) heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.rules = nil
}

func (n *network) state(source, target string) linkState {
	n.mu.Lock()
	defer n.mu.Unlock()
	state := passing
	for _, r := range n.rules {
		if strings.HasPrefix(source, r.source) && strings.HasPrefix(target, r.target) {
			state = r.state
		}
	}
	return state
}

// proxy forwards connections to address to target until the test ends.
func (n *network) proxy(t *testing.T, address, target string) {
	t.Helper()
	ended := make(chan struct{})
	t.Cleanup(func() { close(ended) })
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		for {
			refused := n.acceptUntilRefused(listener, address, target, ended)
			_ = listener.Close()
			if !refused {
				return
			}
			// The proxy refuses connections for as long as the target does.
			for listener, err = nil, net.ErrClosed; err != nil; {
				select {
				case <-time.After(30 * time.Millisecond):
				case <-ended:
					return
				}
				if conn, dialErr := net.Dial("tcp", target); dialErr == nil {
					_ = conn.Close()
					listener, err = net.Listen("tcp", address)
				}
			}
		}
	}()
}

// acceptUntilRefused forwards connections until the target refuses one or the test
// ends; refused reports which.
func (n *network) acceptUntilRefused(listener net.Listener, address, target string, ended <-chan struct{}) (refused bool) {
	targetRefused := make(chan struct{}, 1)
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		select {
		case <-targetRefused:
		case <-ended:
		case <-stop:
		}
		_ = listener.Close()
	}()
	for {
		conn, err := listener.Accept()
		if err != nil {
			select {
			case <-ended:
				return false
			default:
				return true
			}
		}
		go func() {
			if !n.forward(conn, address, target) {
				select {
				case targetRefused <- struct{}{}:
				default:
				}
			}
		}()
	}
}

// forward forwards one connection; it returns false if the target refused it.
func (n *network) forward(conn net.Conn, address, target string) bool {
	defer func() { _ = conn.Close() }()
	source, _, _ := net.SplitHostPort(conn.RemoteAddr().String())
	if n.state(source, address) == cutting {
		return true
	}
	upstream, err := net.Dial("tcp", target)
	if err != nil {
		return false
	}
	defer func() { _ = upstream.Close() }()
	done := make(chan struct{}, 2)
	state := func() linkState { return n.state(source, address) }
	go copyBytes(upstream, conn, state, done)
	go copyBytes(conn, upstream, state, done)
	<-done
	return true
}

// copyBytes copies bytes until the link is cut or a connection ends; it waits while
// the link hangs.
func copyBytes(to, from net.Conn, state func() linkState, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buffer := make([]byte, 32<<10)
	for {
		_ = from.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
		count, err := from.Read(buffer)
		for state() == hanging {
			time.Sleep(10 * time.Millisecond)
		}
		if state() == cutting {
			return
		}
		if count > 0 {
			if _, err := to.Write(buffer[:count]); err != nil {
				return
			}
		}
		if timeout, ok := err.(net.Error); err != nil && (!ok || !timeout.Timeout()) {
			return
		}
	}
}
