package proxy

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"garnettide"
)

const (
	// watchWait is how long a watch call waits for news, on average. Each draws its own wait, up to a fifth more or less:
	// balancers that have started together, and whose watches fall silent together, call anew one by one, as discovery
	// serves them. Shorter waits would bring them into the rush after the news that made others' watches answer.
	discoveryWatchTimeout = 10 * time.Second
	discoveryCallTimeout  = 3 * time.Second // how long a call that does not wait may take: discovery itself fails it by then
	// connectPatience is how long a connection to discovery may take to come up: a call that waits for news would wait for
	// it as long, and http.Transport makes a call whose kept connection is reset again by itself. The next call after that
	// has to be answered 6 s after the reset.
	discoveryConnectTimeout = 500 * time.Millisecond
	// silentWatch is how much later than its wait the answer of a watch call may be. It comes in a few milliseconds, and
	// what a watch misses that has fallen silent counts as told 2 s after the wait: by then a new call has to be answered.
	watchSilenceMargin = 250 * time.Millisecond
	// watchPause is the least time from one watch call to the next: an agent that answers at once must not keep the
	// core busy. Discovery takes a call 200 ms after the last answer for a new watch.
	minWatchInterval = 100 * time.Millisecond
	maxListBytes     = 4 << 20
	maxRecentIDs     = 4096 // many times a fleet, and under a megabyte
)

// listing is a discovery answer: the whole list, or the entries that changed.
type discoveryList struct {
	Revision uint64   `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []member `json:"members"`
}

// member is an entry of a listing.
type member struct {
	ID        string  `json:"id"`
	HostPort  string  `json:"host_port"`
	Locality  string  `json:"locality"`
	Cell      int     `json:"cell"`
	Phase     string  `json:"phase"`
	Size      float64 `json:"size"`
	UpSinceMS int64   `json:"up_since_ms"`
}

var statesByPhase = map[string]garnettide.State{"up": garnettide.Active, "draining": garnettide.Draining, "removed": garnettide.Removed}

// check tells what makes the entry unusable.
func (m *member) validate() error {
	state, ok := statesByPhase[m.Phase]
	switch {
	case m.ID == "":
		return fmt.Errorf("an entry has no id")
	case !ok:
		return fmt.Errorf("%s: phase %q is unknown", m.ID, m.Phase)
	case state == garnettide.Removed:
		return nil
	}
	if _, err := netip.ParseAddrPort(m.HostPort); err != nil {
		return fmt.Errorf("%s: %w", m.ID, err)
	}
	return nil
}

// upstream is the entry as the module takes it.
func (m *member) upstream(id garnettide.UpstreamID) garnettide.Upstream {
	return garnettide.Upstream{ID: id, Zone: m.Locality, Cell: m.Cell, Weight: m.Size, State: statesByPhase[m.Phase],
		StartedAt: time.Duration(m.UpSinceMS) * time.Millisecond} // the loop's clock is Unix time at its start, so 0 stays 0
}

// names maps discovery's ids to the module's. The module orders upstreams by these
// numbers, so all balancers must come to the same: "s-" and up to eight hex digits
// gives that number, and any other id the FNV-1a hash of its text. If two ids come
// to one number, the later one is hashed on with a count behind it until a number
// is free. The entries of a list are named in the order of their ids, so balancers
// differ at most in which of two such ids came first: their rings differ then, but
// no two upstreams are ever mixed up. An id keeps its number until it is gone and nothing is out there.
type upstreamIDs struct {
	ids   map[string]garnettide.UpstreamID
	taken map[garnettide.UpstreamID]bool
}

func newUpstreamIDs() *upstreamIDs {
	return &upstreamIDs{ids: map[string]garnettide.UpstreamID{}, taken: map[garnettide.UpstreamID]bool{}}
}

func (n *upstreamIDs) id(text string) garnettide.UpstreamID {
	if id, ok := n.ids[text]; ok {
		return id
	}
	id := numericID(text)
	for i := 0; n.taken[id]; i++ {
		id = hashText(text + "#" + strconv.Itoa(i))
	}
	n.ids[text], n.taken[id] = id, true
	return id
}

// forget frees the number of an id that is gone for good: upstreams come and go all day under ids that are ever new.
// Should it come back it gets the number that its text gives.
func (n *upstreamIDs) release(text string) {
	delete(n.taken, n.ids[text])
	delete(n.ids, text)
}

// ids are the ids that lists have named, the most recent ones: what was never listed is no upstream to an operator.
type recentIDs struct {
	known map[string]bool
	order []string // from next on, the oldest first
	next  int
}

func newRecentIDs() *recentIDs { return &recentIDs{known: map[string]bool{}} }

func (r *recentIDs) add(id string) {
	switch {
	case r.known[id]:
		return
	case len(r.order) < maxRecentIDs:
		r.order = append(r.order, id)
	default:
		delete(r.known, r.order[r.next])
		r.order[r.next], r.next = id, (r.next+1)%maxRecentIDs
	}
	r.known[id] = true
}

func numericID(text string) garnettide.UpstreamID {
	if digits, ok := strings.CutPrefix(text, "s-"); ok {
		if x, err := strconv.ParseUint(digits, 16, 32); err == nil {
			return garnettide.UpstreamID(x)
		}
	}
	return hashText(text)
}

func hashText(text string) garnettide.UpstreamID {
	h := fnv.New32a()
	io.WriteString(h, text) // never fails
	return garnettide.UpstreamID(h.Sum32())
}

// discovery asks one address for the list of upstreams and posts what it hears. It
// never asks again by itself after a failure: that is the module's to time.
type discoveryClient struct {
	address      string
	url          string
	client       *http.Client
	dial         func(ctx context.Context, network, address string) (net.Conn, error)
	ctx          context.Context // ends all its calls
	cancel       context.CancelFunc
	heldRevision atomic.Pointer[uint64] // revision of the list that the loop holds from it; nil: none yet
	post         func(listUpdate)
}

// listed is an answer of discovery, or the failure of a call. It names whom it came from: a late one of a discovery
// that a new configuration has replaced must not be taken for news.
type listUpdate struct {
	from *discoveryClient
	discoveryList
	err error
}

func newDiscoveryClient(ctx context.Context, address string, post func(listUpdate)) *discoveryClient {
	d := &discoveryClient{address: address, url: "http://" + address + "/v1/servers", post: post, dial: (&net.Dialer{}).DialContext}
	d.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, DialContext: d.connect}}
	d.ctx, d.cancel = context.WithCancel(ctx)
	return d
}

// connect opens a connection, or gives up.
func (d *discoveryClient) connect(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, discoveryConnectTimeout)
	defer cancel()
	return d.dial(ctx, network, address)
}

// end ends all calls and closes the connections.
func (d *discoveryClient) shutdown() {
	d.cancel()
	d.client.CloseIdleConnections()
}

// errSilent says that a watch has fallen silent.
var errWatchSilent = errors.New("the watch is silent")

// watch follows the list until a call fails or ctx ends. Revisions of another discovery mean nothing to this one, so
// without a list of its own it asks for the whole.
func (d *discoveryClient) watch(ctx context.Context) {
	for ctx.Err() == nil {
		next := time.After(minWatchInterval)
		url, timeout := d.url, discoveryCallTimeout
		if heldRevision := d.heldRevision.Load(); heldRevision != nil {
			wait := discoveryWatchTimeout*4/5 + rand.N(discoveryWatchTimeout*2/5)
			url = fmt.Sprintf("%s?since=%d&timeout_ms=%d", d.url, *heldRevision, wait.Milliseconds())
			timeout = wait + watchSilenceMargin
		}
		list, err := d.call(ctx, url, timeout)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			if url != d.url && errors.Is(err, context.DeadlineExceeded) {
				err = fmt.Errorf("%w: %w", errWatchSilent, err)
			}
			<-next // what the module does on a failure may be to ask again at once
			d.post(listUpdate{d, list, err})
			return
		}
		d.post(listUpdate{d, list, nil})
		d.recordRevision(list.Revision)
		<-next
	}
}

// fetch asks for the whole list once.
func (d *discoveryClient) fetch() {
	list, err := d.call(d.ctx, d.url, discoveryCallTimeout)
	if d.ctx.Err() != nil {
		return
	}
	d.post(listUpdate{d, list, err})
	if err == nil {
		d.recordRevision(list.Revision)
	}
}

// hold notes a revision that has been posted; it never goes back.
func (d *discoveryClient) recordRevision(revision uint64) {
	for heldRevision := d.heldRevision.Load(); (heldRevision == nil || revision > *heldRevision) && !d.heldRevision.CompareAndSwap(heldRevision, &revision); heldRevision = d.heldRevision.Load() {
	}
}

func (d *discoveryClient) call(ctx context.Context, url string, timeout time.Duration) (discoveryList, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var list discoveryList
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return list, fmt.Errorf("discovery: %w", err)
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return list, fmt.Errorf("discovery: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return list, fmt.Errorf("discovery: answered %s", resp.Status)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxListBytes))
	if err != nil {
		return list, fmt.Errorf("discovery: %w", err)
	}
	if err := json.Unmarshal(body, &list); err != nil {
		return list, fmt.Errorf("discovery: %w", err)
	}
	if list.Complete && list.Members == nil { // taken as it stands it would say that all upstreams are gone
		return list, errors.New("discovery: a whole list without members")
	}
	for i := range list.Members {
		if err := list.Members[i].validate(); err != nil {
			return list, fmt.Errorf("discovery: %w", err)
		}
	}
	if !list.Complete && d.heldRevision.Load() == nil {
		return list, errors.New("discovery: changes to a list that was never told")
	}
	slices.SortFunc(list.Members, func(a, b member) int { return strings.Compare(a.ID, b.ID) })
	return list, nil
}
