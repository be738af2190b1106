//go:build review

package main

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// proxy passes on the connections of other processes to one process. It can silence open ones: from then on it reads and drops what
// either side sends, without closing them, while new ones work.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	links map[*link]bool
}

// link is one connection through a proxy.
type link struct {
	silent atomic.Bool
	// sent and answered count the pieces that the process that connected has sent and got, and answeredBytes the bytes of the latter.
	sent, answered, answeredBytes atomic.Int64
}

func newProxy(address, target string) (*proxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, links: map[*link]bool{}}
	go p.run()
	return p, nil
}

func (p *proxy) run() {
	for {
		from, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.relay(from)
	}
}

func (p *proxy) relay(from net.Conn) {
	defer from.Close()
	to, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		return
	}
	defer to.Close()
	l := &link{}
	p.mu.Lock()
	p.links[l] = true
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.links, l)
	}()
	done := make(chan struct{}, 2)
	copyTo := func(w io.Writer, r io.Reader, pieces, bytes *atomic.Int64) {
		defer func() { done <- struct{}{} }()
		b := make([]byte, 64<<10)
		for {
			n, err := r.Read(b)
			if n > 0 && !l.silent.Load() {
				pieces.Add(1)
				bytes.Add(int64(n))
				if _, err := w.Write(b[:n]); err != nil {
					return
				}
			}
			if err != nil {
				// The end of a silent connection does not reach the other side either.
				for l.silent.Load() {
					time.Sleep(time.Second)
				}
				return
			}
		}
	}
	var sentBytes atomic.Int64
	go copyTo(to, from, &l.sent, &sentBytes)
	go copyTo(from, to, &l.answered, &l.answeredBytes)
	<-done
}

// silenceOneWay silences the open connections over which the process that connected has sent something lately, but no more than most
// pieces, and has got next to nothing: the streams of reports between control daemons. It returns their number.
func (p *proxy) silenceOneWay(watch time.Duration, most int64) int {
	type counts struct{ sent, answeredBytes int64 }
	before := map[*link]counts{}
	p.mu.Lock()
	for l := range p.links {
		before[l] = counts{l.sent.Load(), l.answeredBytes.Load()}
	}
	p.mu.Unlock()
	time.Sleep(watch)
	silenced := 0
	p.mu.Lock()
	defer p.mu.Unlock()
	for l, b := range before {
		sent, answered := l.sent.Load()-b.sent, l.answeredBytes.Load()-b.answeredBytes
		if p.links[l] && sent > 0 && sent <= most && answered < 200 {
			l.silent.Store(true)
			silenced++
		}
	}
	return silenced
}

// describe returns the traffic of each open connection, for the record.
func (p *proxy) describe() (all [][3]int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		all = append(all, [3]int64{l.sent.Load(), l.answered.Load(), l.answeredBytes.Load()})
	}
	return all
}

func (p *proxy) close() { _ = p.listener.Close() }
