package crash

import "testing"

// TestRepeatsHaveEqualDigests compares the digests of requests: those of repeats are equal, all others differ.
func TestRepeatsHaveEqualDigests(t *testing.T) {
	base := Identity{Service: "desk", Caller: "club", Method: "POST", Host: "host.example", Target: "/orders/1?x=1", Body: []byte("order")}
	repeat := base
	repeat.Body = []byte("order")
	if base.Digest() != repeat.Digest() {
		t.Error("a repeat has another digest")
	}
	seen := map[Part]string{base.Digest(): "base"}
	for name, change := range map[string]func(i *Identity){
		"service":                 func(i *Identity) { i.Service = "desk-2" },
		"caller":                  func(i *Identity) { i.Caller = "other" },
		"method":                  func(i *Identity) { i.Method = "GET" },
		"host":                    func(i *Identity) { i.Host = "other.example" },
		"target":                  func(i *Identity) { i.Target = "/orders/1?x=2" },
		"body":                    func(i *Identity) { i.Body = []byte("order 2") },
		"no body":                 func(i *Identity) { i.Body = nil },
		"field moved to the next": func(i *Identity) { i.Service, i.Caller = "deskclub", "" },
	} {
		i := base
		change(&i)
		if other, ok := seen[i.Digest()]; ok {
			t.Errorf("%s: the same digest as %s", name, other)
		}
		seen[i.Digest()] = name
	}
	if base.Digest() == NewPart("desk", "club") {
		t.Error("a request has the identifier of a part")
	}
}
