// How many connections and how many bytes of buffers the limits of a process allow.

package garnettide

// ProcessLimits are the limits of a balancer's processes on its machine.
type ProcessLimits struct {
	Memory       int64 // in bytes
	Sockets      int   // open descriptors
	AdminSockets int   // of them for the admin listener and its connections
	Processes    int   // number of processes that share the limits, at least 1
}

// Capacity is what one process may use at once, so that a crowd of clients takes it neither over its memory limit nor to
// a state in which the garbage collector leaves no time for requests.
type Capacity struct {
	ClientConns   int
	UpstreamConns int
	BodyBytes     int64 // of buffers of bodies
	HeadBytes     int64 // of buffers of heads that are too large to be counted with their connection
	// Memory of the Go runtime, in bytes, above which garbage is collected at any cost: at most, and while little is in use.
	MaxCollectorTarget  int64
	CalmCollectorTarget int64
}

// Shares of a process's memory.
const (
	// The program's file is resident beside the memory of the runtime. Processes share its pages, so that their shares
	// are larger where there are several.
	collectorShareAlone  = 3.0 / 4
	collectorShareShared = 7.0 / 8
	// calmCollectorShare applies while little is in use: memory over half of the limit is priced.
	calmCollectorShare = 0.6
	// inUseShare is the largest part of the collector's largest target that is in use. The rest is for garbage: where there is
	// no room for it, each collection is followed by another.
	inUseShare        = 0.7
	maxBufferShare    = 3.0 / 8  // of the memory, for buffers
	minBufferShare    = 1.0 / 16 // kept for buffers if there is little memory
	bodyBufferShare   = 2.0 / 3  // of the buffers, for bodies; the rest is for heads
	upstreamSocketsOf = 3        // one in so many descriptors is for upstreams, since clients use a third for requests
	minSocketReserve  = 16       // descriptors for the listener, discovery and sockets being closed
	socketReserveOf   = 16       // one in so many descriptors is in that reserve
)

// Connections that a process may have however little memory there is, if the descriptors allow them.
const (
	minClientConns   = 32
	minUpstreamConns = 16
)

// Memory in use, in bytes, that belongs to no buffer.
const (
	idleProcessMemory  = 6 << 20  // of a process without connections, with the runtime's own
	clientConnMemory   = 12 << 10 // of a client's connection: objects, read buffer, stacks
	upstreamConnMemory = 28 << 10 // of a connection to an upstream, with the request on it
)

// Capacity returns what one of the processes may use.
func (l ProcessLimits) Capacity() Capacity {
	c := Capacity{UpstreamConns: l.Sockets / upstreamSocketsOf}
	c.ClientConns = l.Sockets - c.UpstreamConns - max(l.Sockets/socketReserveOf, minSocketReserve) - l.AdminSockets
	c.UpstreamConns, c.ClientConns = c.UpstreamConns/l.Processes, c.ClientConns/l.Processes
	memory := float64(l.Memory) / float64(l.Processes)
	collectorShare := collectorShareAlone
	if l.Processes > 1 {
		collectorShare = collectorShareShared
	}
	c.MaxCollectorTarget, c.CalmCollectorTarget = int64(memory*collectorShare), int64(memory*calmCollectorShare)
	available := memory*collectorShare*inUseShare - idleProcessMemory
	minBuffers := memory * minBufferShare
	if fraction := max(0, available-minBuffers) / c.connMemory(); fraction < 1 {
		c.ClientConns = max(int(float64(c.ClientConns)*fraction), min(c.ClientConns, minClientConns))
		c.UpstreamConns = max(int(float64(c.UpstreamConns)*fraction), min(c.UpstreamConns, minUpstreamConns))
	}
	buffers := max(minBuffers, min(memory*maxBufferShare, available-c.connMemory()))
	c.BodyBytes = int64(buffers * bodyBufferShare)
	c.HeadBytes = int64(buffers) - c.BodyBytes
	return c
}

// connMemory returns the memory in bytes that all connections take.
func (c Capacity) connMemory() float64 {
	return float64(c.ClientConns*clientConnMemory + c.UpstreamConns*upstreamConnMemory)
}

// CollectorTarget returns the collector's target while the given number of bytes is in use without garbage.
func (c Capacity) CollectorTarget(inUse int64) int64 {
	if float64(inUse) <= inUseShare*float64(c.CalmCollectorTarget) {
		return c.CalmCollectorTarget
	}
	return c.MaxCollectorTarget
}
