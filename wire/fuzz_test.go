package wire_test

import (
	"math"
	"os"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"arbutusreel/wire"
	"arbutusreel/wiregen"
)

// FuzzInventory checks that a valid inventory is unchanged by encoding and decoding, and that its numbers are finite
// and not negative.
func FuzzInventory(f *testing.F) {
	for _, file := range []string{"../examples/lunchclub/inventory.json", "../examples/tamarind/inventory.json"} {
		b, err := os.ReadFile(file)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Add([]byte(`{"regions":[{"name":"r","costPerThousandTokens":"Infinity"}]}`))
	f.Add([]byte(`{"regions":[{"name":"r"}],"classes":[{"name":"c","patienceMillis":"9223372036854775807"}]}`))
	f.Add([]byte(`{"regions":[{"name":"r"}],"classes":[{"name":"c","patienceMillis":"18446744073710"}]}`))
	f.Add([]byte(`{"regions":[{"name":"r"}]} trailing`))
	f.Add([]byte(`{"absent":1}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		m := &wiregen.Inventory{}
		if wire.DecodeJSON(b, m) != nil {
			return
		}
		inv, err := wire.DecodeInventory(m)
		if err != nil {
			return
		}
		encoded := wire.EncodeInventory(inv)
		for i, c := range m.GetClasses() {
			if encoded.GetClasses()[i].GetPatienceMillis() != c.GetPatienceMillis() {
				t.Errorf("patience %d became %d", c.GetPatienceMillis(), encoded.GetClasses()[i].GetPatienceMillis())
			}
			checkFiniteNonNegative(t, "weight", c.GetWeight())
		}
		for _, r := range m.GetRegions() {
			checkFiniteNonNegative(t, "costPerThousandTokens", r.GetCostPerThousandTokens())
		}
		text, err := wire.EncodeJSON(encoded)
		if err != nil {
			t.Fatal(err)
		}
		again := &wiregen.Inventory{}
		if err := wire.DecodeJSON(text, again); err != nil || !proto.Equal(encoded, again) {
			t.Errorf("the inventory changed when encoded and decoded: %v\n%s", err, text)
		}
	})
}

func checkFiniteNonNegative(t *testing.T, name string, v float64) {
	t.Helper()
	if math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
		t.Errorf("%s is %v", name, v)
	}
}

// FuzzAnnouncement checks that an accepted endpoint has valid numbers and is unchanged by encoding and decoding.
func FuzzAnnouncement(f *testing.F) {
	f.Add([]byte(`{"name":"e","address":"127.0.0.1:1","region":"r","failureDomain":"d","service":"s","models":["m"],"slots":"4","load":{"running":"1","tokensPerSecond":50,"ageMillis":"20"},"cacheEvents":[{"prefixHash":"7","tokens":"16"}]}`))
	f.Add([]byte(`{"name":"e","address":"127.0.0.1:1","region":"r","failureDomain":"d","service":"s","slots":"4","load":{"tokensPerSecond":"NaN"}}`))
	f.Add([]byte(`{"name":"e","address":"127.0.0.1:1","region":"r","failureDomain":"d","service":"s","slots":"4","load":{"queued":"-5","ageMillis":"-9223372036854775808"}}`))
	f.Add([]byte(`{"name":"e","address":"example.org:1"}`))
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	f.Fuzz(func(t *testing.T, b []byte) {
		m := &wiregen.Announcement{}
		if wire.DecodeJSON(b, m) != nil {
			return
		}
		e, err := wire.DecodeAnnouncement(now, m)
		if err != nil {
			return
		}
		checkFiniteNonNegative(t, "tokensPerSecond", e.Load.TokensPerSecond)
		checkFiniteNonNegative(t, "prefillTokensPerSecond", e.Load.PrefillTokensPerSecond)
		checkFiniteNonNegative(t, "cacheUse", e.Load.CacheUse)
		if e.Slots <= 0 || e.Load.Running < 0 || e.Load.Queued < 0 || e.Load.QueuedTokens < 0 || e.Load.At.After(now) {
			t.Errorf("endpoint %+v has invalid numbers", e)
		}
		again, err := wire.DecodeAnnouncement(now, wire.EncodeAnnouncement(now, e))
		if err != nil || again.Name != e.Name || again.Load != e.Load || len(again.CacheEvents) != len(e.CacheEvents) {
			t.Errorf("the endpoint changed when encoded and decoded: %v\n%+v\n%+v", err, e, again)
		}
	})
}

// FuzzOrder checks that decoding an order never panics.
func FuzzOrder(f *testing.F) {
	f.Add([]byte(`{"endpoint":"e","models":["m"],"term":"1","sequence":"2","deadlineMillis":"1000"}`))
	f.Fuzz(func(_ *testing.T, b []byte) {
		_ = wire.DecodeJSON(b, &wiregen.EngineOrder{})
	})
}
