package scale

import (
	"testing"
	"time"
)

// maxCrowds is how many crowds run at the same time.
const maxCrowds = 2

// crowdCases returns a crowd of each behaviour before a balancer with the least memory of any deployment and many
// descriptors for it, and crowds of all behaviours before balancers with more memory or fewer descriptors.
func crowdCases() []CrowdCase {
	const clients, duration = 700, 8 * time.Second
	cases := []CrowdCase{
		{Name: "all in 48 MB", MemoryMB: 48, Sockets: 1024},
		{Name: "all in 96 MB", MemoryMB: 96, Sockets: 1024},
		{Name: "all with 256 descriptors", MemoryMB: 32, Sockets: 256},
	}
	for i := range cases {
		cases[i].Behaviours = CrowdBehaviours()
	}
	for _, behaviour := range CrowdBehaviours() {
		cases = append(cases, CrowdCase{Name: behaviour.Name, MemoryMB: 32, Sockets: 1024,
			Behaviours: []CrowdBehaviour{behaviour}})
	}
	for i := range cases {
		cases[i].Clients, cases[i].Duration, cases[i].Seed = clients, duration, uint64(i)+1
	}
	return cases
}

// TestCrowdNeitherEndsNorStarvesBalancer guards against a crowd that takes the balancer's process over its memory limit,
// or keeps the collector so busy that the requests of other clients are answered long after their deadline.
func TestCrowdNeitherEndsNorStarvesBalancer(t *testing.T) {
	program, err := BuildBalancer(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	slots := make(chan struct{}, maxCrowds)
	for _, c := range crowdCases() {
		t.Run(c.Name, func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			result, err := RunCrowd(program, c, t.TempDir())
			if err != nil {
				t.Fatal(err)
			}
			if err := result.Err(); err != nil {
				t.Error(err)
			}
			t.Log(result)
		})
	}
}
