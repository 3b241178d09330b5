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
	// discoveryWatchTimeout is how long discovery may hold a watch call while nothing changes, on average. Each
	// call draws a random time within a fifth of it, so that balancers that were started together do not
	// reconnect at the same time after their watches have gone silent. With shorter times their calls would meet
	// those that follow a change which other balancers' watches have been told.
	discoveryWatchTimeout = 10 * time.Second
	discoveryCallTimeout  = 3 * time.Second // for calls that are not held; discovery fails them earlier
	// discoveryConnectTimeout limits the time to connect to discovery. Without it a watch call would wait for
	// the connection as long as for changes, also when http.Transport repeats a call on a new connection after
	// a reset. The next call must be answered within 6 s of the reset.
	discoveryConnectTimeout = 500 * time.Millisecond
	// watchSilenceMargin is how much later than its own timeout a watch call may be answered before the watch
	// counts as silent. A change that a silent watch misses is due 2 s after that timeout, and a new call must
	// have been answered by then.
	watchSilenceMargin = 250 * time.Millisecond
	// minWatchInterval is the minimum time between the starts of two watch calls, so that a discovery server
	// that responds at once does not keep the process busy. Discovery treats a call that comes 200 ms after its
	// last response as a new watch.
	minWatchInterval = 100 * time.Millisecond
	maxListBytes     = 4 << 20 // of a response; a longer one is cut off and fails to decode
	maxDepartedIDs   = 4096    // upstreams that have left the list and that operators may still name
)

// discoveryList is a list from discovery: all upstreams if Complete, otherwise the changed ones.
type discoveryList struct {
	Revision uint64   `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []member `json:"members"`
}

// member is one entry of a discoveryList.
type member struct {
	ID        string  `json:"id"`
	HostPort  string  `json:"host_port"`
	Locality  string  `json:"locality"`
	Cell      int     `json:"cell"`
	Phase     string  `json:"phase"`
	Size      float64 `json:"size"`
	UpSinceMS int64   `json:"up_since_ms"` // Unix time
}

// statesByPhase maps discovery's phases to the Balancer's states.
var statesByPhase = map[string]garnettide.State{
	"up": garnettide.Active, "draining": garnettide.Draining, "removed": garnettide.Removed,
}

// validate returns an error if the entry cannot be used.
func (m *member) validate() error {
	state, ok := statesByPhase[m.Phase]
	switch {
	case m.ID == "":
		return fmt.Errorf("an entry has no id")
	case !ok:
		return fmt.Errorf("%s: unknown phase %q", m.ID, m.Phase)
	case state == garnettide.Removed:
		return nil
	}
	if _, err := netip.ParseAddrPort(m.HostPort); err != nil {
		return fmt.Errorf("%s: %w", m.ID, err)
	}
	return nil
}

// upstream converts the entry to the Balancer's form. id is the number of its ID.
func (m *member) upstream(id garnettide.UpstreamID) garnettide.Upstream {
	return garnettide.Upstream{ID: id, Zone: m.Locality, Cell: m.Cell, Weight: m.Size, State: statesByPhase[m.Phase],
		StartedAt: time.Duration(m.UpSinceMS) * time.Millisecond} // the loop's clock starts at Unix time
}

// upstreamIDs maps discovery's IDs to the Balancer's numbers. All balancers must derive the same numbers,
// because the Balancer orders upstreams by them. The number of "s-" followed by up to eight hexadecimal
// digits is the value of the digits, that of any other ID is its FNV-1a hash. If the number is taken, the
// ID is hashed with a counter appended until a free one is found. Lists are processed in the order of IDs,
// so balancers differ at most in which of two colliding IDs came first, and no two upstreams share a number.
// An ID keeps its number until its upstream is removed, has no attempts in flight and is not in maintenance.
type upstreamIDs struct {
	ids   map[string]garnettide.UpstreamID
	taken map[garnettide.UpstreamID]bool
}

func newUpstreamIDs() *upstreamIDs {
	return &upstreamIDs{ids: map[string]garnettide.UpstreamID{}, taken: map[garnettide.UpstreamID]bool{}}
}

// id returns the number of a discovery ID, and assigns one to a new ID.
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

// release frees the number of an ID. An ID that returns is numbered anew.
func (n *upstreamIDs) release(text string) {
	delete(n.taken, n.ids[text])
	delete(n.ids, text)
}

// departedIDs holds the IDs of the upstreams that have left the list last, up to maxDepartedIDs of them.
type departedIDs struct {
	known map[string]bool
	order []string // a ring; the oldest is at next once it is full
	next  int
}

func newDepartedIDs() *departedIDs { return &departedIDs{known: map[string]bool{}} }

// add records an ID, and forgets the oldest one if there are too many.
func (r *departedIDs) add(id string) {
	switch {
	case r.known[id]:
		return
	case len(r.order) < maxDepartedIDs:
		r.order = append(r.order, id)
	default:
		delete(r.known, r.order[r.next])
		r.order[r.next], r.next = id, (r.next+1)%maxDepartedIDs
	}
	r.known[id] = true
}

// numericID derives the number of a discovery ID from its text.
func numericID(text string) garnettide.UpstreamID {
	if digits, ok := strings.CutPrefix(text, "s-"); ok {
		if x, err := strconv.ParseUint(digits, 16, 32); err == nil {
			return garnettide.UpstreamID(x)
		}
	}
	return hashText(text)
}

// hashText returns the FNV-1a hash of text.
func hashText(text string) garnettide.UpstreamID {
	h := fnv.New32a()
	io.WriteString(h, text) // never fails
	return garnettide.UpstreamID(h.Sum32())
}

// discoveryClient requests lists of upstreams from one address and posts the results. After a failure the
// Balancer decides when to call again.
type discoveryClient struct {
	address      string
	url          string
	httpClient   *http.Client
	dial         func(ctx context.Context, network, address string) (net.Conn, error)
	ctx          context.Context // ends all calls
	cancel       context.CancelFunc
	lastRevision atomic.Pointer[uint64] // latest revision posted, or that of the cached list; nil: none
	post         func(listUpdate)
}

// listUpdate is the result of a discovery call. from identifies the client: results of one that a reload
// has replaced are ignored.
type listUpdate struct {
	from *discoveryClient
	discoveryList
	err error
}

func newDiscoveryClient(ctx context.Context, address string, post func(listUpdate)) *discoveryClient {
	d := &discoveryClient{address: address, url: "http://" + address + "/v1/servers", post: post,
		dial: (&net.Dialer{}).DialContext}
	d.httpClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, DialContext: d.connect,
		MaxResponseHeaderBytes: maxHeadBytes}}
	d.ctx, d.cancel = context.WithCancel(ctx)
	return d
}

// connect opens a connection within discoveryConnectTimeout.
func (d *discoveryClient) connect(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, discoveryConnectTimeout)
	defer cancel()
	return d.dial(ctx, network, address)
}

// shutdown ends all calls and closes the connections.
func (d *discoveryClient) shutdown() {
	d.cancel()
	d.httpClient.CloseIdleConnections()
}

// errWatchSilent reports that a watch call was not answered in time.
var errWatchSilent = errors.New("discovery watch went silent")

// watch posts lists until ctx ends or a call fails, which it posts too. It begins with the whole list unless
// this client has recorded a revision. Revisions of a discovery server at another address are not comparable.
func (d *discoveryClient) watch(ctx context.Context) {
	for ctx.Err() == nil {
		next := time.After(minWatchInterval)
		url, timeout := d.url, discoveryCallTimeout
		if lastRevision := d.lastRevision.Load(); lastRevision != nil {
			wait := discoveryWatchTimeout*4/5 + rand.N(discoveryWatchTimeout*2/5)
			url = fmt.Sprintf("%s?since=%d&timeout_ms=%d", d.url, *lastRevision, wait.Milliseconds())
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
			<-next // the Balancer may start a new watch at once
			d.post(listUpdate{d, list, err})
			return
		}
		d.post(listUpdate{d, list, nil})
		d.recordRevision(list.Revision)
		<-next
	}
}

// fetch requests the whole list once and posts it.
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

// recordRevision records a posted revision, unless a newer one is recorded.
func (d *discoveryClient) recordRevision(revision uint64) {
	for lastRevision := d.lastRevision.Load(); (lastRevision == nil || revision > *lastRevision) &&
		!d.lastRevision.CompareAndSwap(lastRevision, &revision); lastRevision = d.lastRevision.Load() {
	}
}

// call makes one call and returns its list, checked and in the order of IDs.
func (d *discoveryClient) call(ctx context.Context, url string, timeout time.Duration) (discoveryList, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var list discoveryList
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return list, fmt.Errorf("discovery: %w", err)
	}
	resp, err := d.httpClient.Do(req)
	if err != nil {
		return list, fmt.Errorf("discovery: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return list, fmt.Errorf("discovery: unexpected status %s", resp.Status)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxListBytes))
	if err != nil {
		return list, fmt.Errorf("discovery: %w", err)
	}
	if err := json.Unmarshal(body, &list); err != nil {
		return list, fmt.Errorf("discovery: %w", err)
	}
	if list.Complete && list.Members == nil { // would remove all upstreams
		return list, errors.New("discovery: complete list without members")
	}
	for i := range list.Members {
		if err := list.Members[i].validate(); err != nil {
			return list, fmt.Errorf("discovery: %w", err)
		}
	}
	if !list.Complete && d.lastRevision.Load() == nil {
		return list, errors.New("discovery: changes without an earlier complete list")
	}
	slices.SortFunc(list.Members, func(a, b member) int { return strings.Compare(a.ID, b.ID) })
	return list, nil
}
