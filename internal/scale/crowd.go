package scale

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"
)

// This file implements crowds: many clients that each hold a connection to a balancer for long, with a request that never
// ends or ends late, and connect again when the balancer closes it.

const (
	crowdLongBody     = 4 << 20
	crowdShortBody    = 60 << 10               // fits the buffer of bodies that are kept whole
	crowdStoppedBytes = 200 << 10              // of a long body, after which its client stops
	crowdHeadBytes    = 15 << 10               // of a head of short fields
	crowdPiece        = 16 << 10               // bytes that slow clients write or read at a time
	crowdPiecePause   = 250 * time.Millisecond // between two pieces: 64 kB a second
	crowdArrivalTime  = 2 * time.Second        // in which the clients of a crowd first connect
	crowdStallTime    = 10 * time.Second       // for which a client that reads nothing keeps its connection
	crowdTinyChunks   = 2 << 10                // chunks of one byte that a client writes at a time
	crowdPipeline     = 200                    // requests that a client writes at once
	crowdLeaveDelay   = soakUpstreamTime / 2   // behind a request: an upstream has it, and has not responded
	crowdReturnDelay  = 500 * time.Millisecond // until a client comes again that has sent much and left
)

// crowdBodySizeHeader is the header by which a request of a crowd tells its upstream the size of the response's body.
const crowdBodySizeHeader = "X-Crowd-Bytes"

// CrowdBehaviour is a way of holding a connection.
type CrowdBehaviour struct {
	Name string
	// hold uses a connection until the balancer closes it, the request has ended or ctx ends. id is that of its request.
	hold func(ctx context.Context, c net.Conn, id string)
}

// String returns the name.
func (b CrowdBehaviour) String() string { return b.Name }

// CrowdBehaviours returns all behaviours.
func CrowdBehaviours() []CrowdBehaviour {
	return []CrowdBehaviour{
		{"slow uploads", uploadSlowly},
		{"stopped uploads", stopUpload},
		{"slow short bodies", stopShortBody},
		{"stopped heads", stopHead},
		{"slow readers", readSlowly},
		{"stopped readers", readNothing},
		{"silent clients", sendNothing},
		{"tiny chunks", uploadTinyChunks},
		{"unread pipelines", pipeline},
		{"leavers", leave},
		{"leavers behind a sent request", leaveLater},
		{"leavers behind a part of an upload", leaveUpload},
	}
}

// crowd is a crowd of clients of one balancer. A client behaves in the same way on all its connections.
type crowd struct {
	address    string
	clients    int
	behaviours []CrowdBehaviour // assigned to the clients in rotation
	seed       uint64
	newID      func() string // returns a new request ID
}

// run connects the clients over arrival time and returns once ctx has ended and all connections are closed.
func (c *crowd) run(ctx context.Context) {
	var running sync.WaitGroup
	for i := range c.clients {
		running.Go(func() {
			rng := rand.New(rand.NewPCG(c.seed, uint64(i)))
			sleepUntilDone(ctx, time.Duration(rng.Int64N(int64(crowdArrivalTime))))
			c.holdConns(ctx, rng, c.behaviours[i%len(c.behaviours)])
		})
	}
	running.Wait()
}

// holdConns holds one connection after another until ctx ends.
func (c *crowd) holdConns(ctx context.Context, rng *rand.Rand, behaviour CrowdBehaviour) {
	for ctx.Err() == nil {
		conn, err := net.DialTimeout("tcp", c.address, soakRequestDeadline)
		if err != nil {
			sleepUntilDone(ctx, soakPause)
			continue
		}
		stopClose := context.AfterFunc(ctx, func() { conn.Close() })
		behaviour.hold(ctx, conn, c.newID())
		stopClose()
		conn.Close()
		sleepUntilDone(ctx, time.Duration(rng.Int64N(int64(crowdPiecePause))))
	}
}

// sleepUntilDone waits for a time or until ctx ends.
func sleepUntilDone(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// requestHead returns the head of a request of a class, with further lines of its header.
func requestHead(class soakRequestClass, id, lines string) string {
	if class.sendsKey {
		lines += "Idempotency-Key: " + id + "\r\n"
	}
	return fmt.Sprintf("%s /%s HTTP/1.1\r\nHost: x\r\nX-Request-Id: %s\r\nX-Class: %s\r\nX-Deadline-Ms: %d\r\n%s\r\n",
		class.method, class.name, id, class.name, soakRequestDeadline.Milliseconds(), lines)
}

// uploadHead returns the head of a request with a body of the given size.
func uploadHead(id string, size int) string {
	return requestHead(soakRequestClasses[1], id, fmt.Sprintf("Content-Length: %d\r\n", size))
}

// longResponseHead returns the head of a request for a response with a body of the given size.
func longResponseHead(id string, size int) string {
	return requestHead(soakRequestClasses[0], id, fmt.Sprintf("%s: %d\r\n", crowdBodySizeHeader, size))
}

// writeSlowly writes bytes in pieces and reports whether all have been written.
func writeSlowly(ctx context.Context, c net.Conn, size int) bool {
	for piece := make([]byte, crowdPiece); size > 0; size -= crowdPiece {
		if _, err := c.Write(piece[:min(size, crowdPiece)]); err != nil {
			return false
		}
		sleepUntilDone(ctx, crowdPiecePause)
	}
	return true
}

// uploadSlowly uploads a long body at 64 kB a second.
func uploadSlowly(ctx context.Context, c net.Conn, id string) {
	io.WriteString(c, uploadHead(id, crowdLongBody)) // an error shows in the next write
	writeSlowly(ctx, c, crowdLongBody)
}

// stopUpload writes the start of a long body.
func stopUpload(ctx context.Context, c net.Conn, id string) {
	io.WriteString(c, uploadHead(id, crowdLongBody))
	c.Write(make([]byte, crowdStoppedBytes))
	io.Copy(io.Discard, c)
}

// stopShortBody writes a short body at 64 kB a second, without its last byte.
func stopShortBody(ctx context.Context, c net.Conn, id string) {
	io.WriteString(c, uploadHead(id, crowdShortBody))
	if writeSlowly(ctx, c, crowdShortBody-1) {
		io.Copy(io.Discard, c)
	}
}

// stopHead writes a head of very many short fields without its end.
func stopHead(ctx context.Context, c net.Conn, id string) {
	const field = "a:\r\n"
	head := strings.TrimSuffix(requestHead(soakRequestClasses[0], id, ""), "\r\n")
	io.WriteString(c, head+strings.Repeat(field, crowdHeadBytes/len(field)))
	io.Copy(io.Discard, c)
}

// readSlowly reads a long response at 64 kB a second.
func readSlowly(ctx context.Context, c net.Conn, id string) {
	io.WriteString(c, longResponseHead(id, crowdLongBody))
	for piece := make([]byte, crowdPiece); ; sleepUntilDone(ctx, crowdPiecePause) {
		if _, err := io.ReadFull(c, piece); err != nil {
			return
		}
	}
}

// readNothing asks for a response that fits the balancer's buffers and does not read it.
func readNothing(ctx context.Context, c net.Conn, id string) {
	if tcp, ok := c.(*net.TCPConn); ok {
		tcp.SetReadBuffer(1) // the system's minimum
	}
	io.WriteString(c, longResponseHead(id, crowdShortBody))
	sleepUntilDone(ctx, crowdStallTime)
}

// sendNothing writes nothing.
func sendNothing(ctx context.Context, c net.Conn, id string) { io.Copy(io.Discard, c) }

// uploadTinyChunks uploads a body in chunks of one byte, some at a time.
func uploadTinyChunks(ctx context.Context, c net.Conn, id string) {
	io.WriteString(c, requestHead(soakRequestClasses[1], id, "Transfer-Encoding: chunked\r\n"))
	chunks := strings.Repeat("1\r\nb\r\n", crowdTinyChunks)
	for ctx.Err() == nil {
		if _, err := io.WriteString(c, chunks); err != nil {
			return
		}
		sleepUntilDone(ctx, crowdPiecePause)
	}
}

// pipeline writes many requests at once, and reads nothing.
func pipeline(ctx context.Context, c net.Conn, id string) {
	var requests strings.Builder
	for i := range crowdPipeline {
		requests.WriteString(requestHead(soakRequestClasses[0], fmt.Sprintf("%s-%d", id, i), ""))
	}
	io.WriteString(c, requests.String())
	sleepUntilDone(ctx, crowdStallTime)
}

// leave writes a request and closes the connection at once.
func leave(_ context.Context, c net.Conn, id string) {
	io.WriteString(c, longResponseHead(id, crowdLongBody))
}

// leaveLater writes a request and closes the connection while an upstream works on the response.
func leaveLater(ctx context.Context, c net.Conn, id string) {
	leave(ctx, c, id)
	sleepUntilDone(ctx, crowdLeaveDelay)
}

// leaveUpload writes the start of a long body, closes the connection at once and comes again some time later.
func leaveUpload(ctx context.Context, c net.Conn, id string) {
	io.WriteString(c, uploadHead(id, crowdLongBody))
	c.Write(make([]byte, crowdStoppedBytes))
	c.Close()
	sleepUntilDone(ctx, crowdReturnDelay)
}
