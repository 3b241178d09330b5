package garnettide

import (
	"fmt"
	"testing"
)

const mib = 1 << 20

// inUse returns the memory in bytes that a process has in use when all of a capacity is used.
func (c Capacity) inUse() int64 {
	return idleProcessMemory + int64(c.connMemory()) + c.BodyBytes + c.HeadBytes
}

// TestCapacityLeavesRoomForGarbage guards against connections and buffers that together take so much memory that each
// garbage collection is followed by another.
func TestCapacityLeavesRoomForGarbage(t *testing.T) {
	for _, memoryMB := range []int64{32, 48, 64, 96, 128, 192, 256, 2048} {
		for _, sockets := range []int{128, 256, 512, 1024, 4096} {
			for processes := 1; processes <= 2; processes++ {
				c := ProcessLimits{Memory: memoryMB * mib, Sockets: sockets, Processes: processes}.Capacity()
				name := fmt.Sprintf("%d MiB, %d sockets, %d processes", memoryMB, sockets, processes)
				if limit := float64(c.MaxCollectorTarget) * inUseShare; float64(c.inUse()) > limit+1 {
					t.Errorf("%s: got %d bytes in use, want at most %.0f: %+v", name, c.inUse(), limit, c)
				}
				if all := c.MaxCollectorTarget * int64(processes); all > memoryMB*mib*7/8 {
					t.Errorf("%s: got a target of %d bytes in all, want an eighth of the memory beside it", name, all)
				}
				if (c.ClientConns+c.UpstreamConns)*processes >= sockets {
					t.Errorf("%s: got %+v, want some sockets left", name, c)
				}
				if c.ClientConns < 16 || c.UpstreamConns < 8 || c.BodyBytes < mib/4 || c.HeadBytes < mib/8 {
					t.Errorf("%s: got %+v, want enough to serve", name, c)
				}
			}
		}
	}
}

// TestCapacityFollowsDescriptorsWhereMemoryIsAmple guards against connections that are held back although the memory
// bears all that the descriptors allow.
func TestCapacityFollowsDescriptorsWhereMemoryIsAmple(t *testing.T) {
	got := ProcessLimits{Memory: 192 * mib, Sockets: 1024, AdminSockets: 9, Processes: 1}.Capacity()
	want := Capacity{ClientConns: 610, UpstreamConns: 341, BodyBytes: 48 * mib, HeadBytes: 24 * mib,
		MaxCollectorTarget: 144 * mib, CalmCollectorTarget: 192 * mib * 6 / 10}
	if got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// TestCollectorTargetFollowsUse guards against memory over half of the limit while little is in use, and against a target
// without room for garbage while much is.
func TestCollectorTargetFollowsUse(t *testing.T) {
	c := ProcessLimits{Memory: 32 * mib, Sockets: 1024, Processes: 1}.Capacity()
	if got := c.CollectorTarget(idleProcessMemory); got != c.CalmCollectorTarget || got >= 20*mib {
		t.Errorf("idle: got a target of %d bytes, want %d", got, c.CalmCollectorTarget)
	}
	for inUse := int64(idleProcessMemory); inUse <= c.inUse(); inUse += mib / 4 {
		if got := float64(c.CollectorTarget(inUse)) * inUseShare; float64(inUse) > got+1 {
			t.Errorf("%d bytes in use: got a target with room for %.0f, want room for garbage beside them", inUse, got)
		}
	}
}
