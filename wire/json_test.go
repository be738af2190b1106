package wire

import (
	"errors"
	"os"
	"testing"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/testing/protocmp"

	"arbutusreel/wiregen"
)

func TestDecodeJSONNamesTheUnknownField(t *testing.T) {
	cases := []struct {
		name, json, path string
	}{
		{name: "top", json: `{"region":[]}`, path: "region"},
		{name: "in a list", json: `{"teams":[{"name":"a"},{"title":"b"}]}`, path: "teams[1].title"},
		{name: "nested", json: `{"rules":{"objective":{"price":1}}}`, path: "rules.objective.price"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			err := DecodeJSON([]byte(c.json), &wiregen.Inventory{})
			var unknown *UnknownFieldError
			if !errors.As(err, &unknown) || unknown.Path != c.path {
				t.Errorf("DecodeJSON returned %v, want the unknown field %q", err, c.path)
			}
		})
	}
}

func TestDecodeJSONRefusesMalformed(t *testing.T) {
	for _, text := range []string{"", "{", `{"teams":{}}`, `{"teams":[{"weight":"x"}]}`, `[]`} {
		var malformed *MalformedError
		if err := DecodeJSON([]byte(text), &wiregen.Inventory{}); !errors.As(err, &malformed) {
			t.Errorf("DecodeJSON(%q) returned %v, want *MalformedError", text, err)
		}
	}
}

func TestInventoryRoundTrip(t *testing.T) {
	for _, file := range []string{"../examples/lunchclub/inventory.json", "../examples/tamarind/inventory.json"} {
		b, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		m := &wiregen.Inventory{}
		if err := DecodeJSON(b, m); err != nil {
			t.Fatal(err)
		}
		inv, err := DecodeInventory(m)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(m, EncodeInventory(inv), protocmp.Transform()); diff != "" {
			t.Errorf("%s changed when decoded and encoded (-want +got):\n%s", file, diff)
		}
	}
}
