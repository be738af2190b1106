package entry

import (
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"arbutusreel/membership"
)

// newCrowd returns an entry of a system with regions of the same number of entries and endpoints.
func newCrowd(regions, entries, endpoints int) *Entry {
	now := time.Unix(1000, 0)
	self := membership.Entry{Name: "entry-0-0", Region: "region-0", FailureDomain: "region-0-a", PeerAddress: "127.0.0.1:10000"}
	n := New(Config{Self: self, Seed: 1}, zerolog.Nop(), func() time.Time { return now })
	for r := range regions {
		for e := range entries {
			name := fmt.Sprintf("entry-%d-%d", r, e)
			n.state.hear(membership.Entry{
				Name: name, Region: fmt.Sprint("region-", r), FailureDomain: fmt.Sprintf("region-%d-a", r),
				CallerAddress: "10.100.200.30:8080", EndpointAddress: "10.100.200.30:8081", PeerAddress: fmt.Sprintf("10.100.%d.%d:8082", r, e),
				Weight: 1, Incarnation: 1796334829000000000, Sequence: 1000, LedgerEpoch: "JEVRRG74TNRYJRYLWDSIOFQWE2",
			})
		}
	}
	for i := range endpoints {
		n.state.announce(membership.Endpoint{
			Name: fmt.Sprint("engine-region-0-", i), Incarnation: 1796334829000000000, Sequence: 1000, Address: "10.100.200.30:9000",
			Region: "region-0", FailureDomain: "region-0-a", Service: "reel-counsel", Models: []string{"arrangements-v1"}, Slots: 8,
			Load: membership.Load{Running: 4, Queued: 2, QueuedTokens: 900, TokensPerSecond: 320, PrefillTokensPerSecond: 5000, CacheUse: 0.7, At: now},
		}, 3*time.Second)
	}
	return n
}

// BenchmarkExchange measures the time of one exchange's messages, and the bytes a second that the entry sends and receives.
func BenchmarkExchange(b *testing.B) {
	for _, size := range []struct{ regions, entries, endpoints int }{{3, 3, 10}, {7, 9, 100}, {21, 17, 295}} {
		b.Run(fmt.Sprintf("regions=%d/entries=%d/endpoints=%d", size.regions, size.entries, size.endpoints), func(b *testing.B) {
			n := newCrowd(size.regions, size.entries, size.endpoints)
			bytes := 0
			for b.Loop() {
				request := n.exchangeRequest()
				reply, err := n.Exchange(b.Context(), request)
				if err != nil {
					b.Fatal(err)
				}
				bytes = proto.Size(request) + proto.Size(reply)
			}
			peers := len(n.exchangeAddresses())
			perSecond := float64(time.Second) / float64(exchangePeriod)
			b.ReportMetric(2*float64(bytes*peers)*perSecond, "B/s")
			b.ReportMetric(0, "ns/op")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)*float64(2*peers)*perSecond/1e9*100, "%core")
		})
	}
}
