package wire

import (
	"bufio"
	"encoding/hex"
	"flag"
	"fmt"
	"hash/fnv"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/reflect/protoregistry"

	"arbutusreel/wiregen"
)

// update names a file of golden messages to write, by the commit that is landed.
var update = flag.String("update", "", "name of a file in testdata to write the messages of this version to")

// maxGoldenDepth bounds messages that hold messages of their own type.
const maxGoldenDepth = 3

// goldenValue returns the value of a field that is no message. It depends on the name of the field, so that a number or a type that is
// used for another field is noticed.
func goldenValue(f protoreflect.FieldDescriptor) protoreflect.Value {
	h := fnv.New32a()
	_, _ = h.Write([]byte(f.FullName()))
	n := h.Sum32()>>4 + 1
	switch f.Kind() {
	case protoreflect.BoolKind:
		return protoreflect.ValueOfBool(true)
	case protoreflect.EnumKind:
		return protoreflect.ValueOfEnum(protoreflect.EnumNumber(f.Enum().Values().Len() - 1))
	case protoreflect.Int32Kind, protoreflect.Sint32Kind, protoreflect.Sfixed32Kind:
		return protoreflect.ValueOfInt32(int32(n))
	case protoreflect.Uint32Kind, protoreflect.Fixed32Kind:
		return protoreflect.ValueOfUint32(n)
	case protoreflect.Int64Kind, protoreflect.Sint64Kind, protoreflect.Sfixed64Kind:
		return protoreflect.ValueOfInt64(int64(n))
	case protoreflect.Uint64Kind, protoreflect.Fixed64Kind:
		return protoreflect.ValueOfUint64(uint64(n))
	case protoreflect.FloatKind:
		return protoreflect.ValueOfFloat32(float32(n >> 12))
	case protoreflect.DoubleKind:
		return protoreflect.ValueOfFloat64(float64(n))
	case protoreflect.BytesKind:
		return protoreflect.ValueOfBytes([]byte(f.Name()))
	default:
		return protoreflect.ValueOfString(string(f.Name()))
	}
}

// fillGolden sets every field of a message, and of each oneof the member of the variant's number.
func fillGolden(m protoreflect.Message, variant, depth int) {
	for i := range m.Descriptor().Fields().Len() {
		f := m.Descriptor().Fields().Get(i)
		if o := f.ContainingOneof(); o != nil && f != o.Fields().Get(variant%o.Fields().Len()) {
			continue
		}
		isMessage := f.Kind() == protoreflect.MessageKind && !f.IsMap()
		switch {
		case isMessage && depth == maxGoldenDepth:
		case isMessage && f.IsList():
			fillGolden(m.Mutable(f).List().AppendMutable().Message(), variant, depth+1)
		case isMessage:
			fillGolden(m.Mutable(f).Message(), variant, depth+1)
		case f.IsMap():
			m.Mutable(f).Map().Set(goldenValue(f.MapKey()).MapKey(), goldenValue(f.MapValue()))
		case f.IsList():
			m.Mutable(f).List().Append(goldenValue(f))
		default:
			m.Set(f, goldenValue(f))
		}
	}
}

// goldenVariants returns the number of members of a message's largest oneof, or 1.
func goldenVariants(m protoreflect.MessageDescriptor) int {
	n := 1
	for i := range m.Oneofs().Len() {
		n = max(n, m.Oneofs().Get(i).Fields().Len())
	}
	return n
}

// checkGolden checks the fields that are set in a message, and that none is unknown.
func checkGolden(t *testing.T, m protoreflect.Message) {
	if len(m.GetUnknown()) > 0 {
		t.Errorf("%s has unknown fields: %x", m.Descriptor().Name(), m.GetUnknown())
	}
	m.Range(func(f protoreflect.FieldDescriptor, v protoreflect.Value) bool {
		switch {
		case f.IsMap():
			v = v.Map().Get(goldenValue(f.MapKey()).MapKey())
			if f = f.MapValue(); !v.IsValid() {
				t.Errorf("%s lacks its key", f.FullName())
				return true
			}
		case f.IsList():
			if v.List().Len() != 1 {
				t.Errorf("%s has %d values", f.FullName(), v.List().Len())
			}
			v = v.List().Get(0)
		}
		if f.Kind() == protoreflect.MessageKind {
			checkGolden(t, v.Message())
		} else if !v.Equal(goldenValue(f)) {
			t.Errorf("%s is %v, want %v", f.FullName(), v, goldenValue(f))
		}
		return true
	})
}

// goldenTypes returns the types of all messages between processes and in records on disk.
func goldenTypes() []protoreflect.MessageType {
	var all []protoreflect.MessageType
	protoregistry.GlobalTypes.RangeMessages(func(m protoreflect.MessageType) bool {
		if m.Descriptor().FullName().Parent() == wiregen.File_fleet_proto.Package() {
			all = append(all, m)
		}
		return true
	})
	slices.SortFunc(all, func(a, b protoreflect.MessageType) int {
		return strings.Compare(string(a.Descriptor().Name()), string(b.Descriptor().Name()))
	})
	return all
}

// TestGoldenMessages guards against messages of a landed version that this one misreads: a process of that version may run beside it,
// and may have written the records that it starts from. Each file in testdata holds every message of the commit that it is named
// after, with all fields set. The files stay; for a version that is landed, a file is written with
//
//	go test ./wire -run TestGoldenMessages -update COMMIT
func TestGoldenMessages(t *testing.T) {
	if *update != "" {
		writeGolden(t, filepath.Join("testdata", *update+".txt"))
	}
	files, err := filepath.Glob(filepath.Join("testdata", "*.txt"))
	if err != nil || len(files) == 0 {
		t.Fatalf("no golden messages: %v", err)
	}
	for _, name := range files {
		t.Run(strings.TrimSuffix(filepath.Base(name), ".txt"), func(t *testing.T) { checkGoldenFile(t, name) })
	}
}

func checkGoldenFile(t *testing.T, name string) {
	file, err := os.Open(name)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	lines := bufio.NewScanner(file)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		message, text, _ := strings.Cut(lines.Text(), " ")
		encoded, err := hex.DecodeString(text)
		if err != nil {
			t.Fatal(err)
		}
		kind, err := protoregistry.GlobalTypes.FindMessageByName(wiregen.File_fleet_proto.Package().Append(protoreflect.Name(message)))
		if err != nil {
			t.Errorf("message %s is gone: %v", message, err)
			continue
		}
		m := kind.New()
		if err := proto.Unmarshal(encoded, m.Interface()); err != nil {
			t.Errorf("message %s: %v", message, err)
			continue
		}
		checkGolden(t, m)
		// A message without the fields that were added since is encoded as before.
		if again, err := (proto.MarshalOptions{Deterministic: true}).Marshal(m.Interface()); err != nil || hex.EncodeToString(again) != text {
			t.Errorf("message %s is encoded as %x, %v", message, again, err)
		}
	}
	if err := lines.Err(); err != nil {
		t.Fatal(err)
	}
}

func writeGolden(t *testing.T, name string) {
	var b strings.Builder
	for _, kind := range goldenTypes() {
		for variant := range goldenVariants(kind.Descriptor()) {
			m := kind.New()
			fillGolden(m, variant, 0)
			encoded, err := (proto.MarshalOptions{Deterministic: true}).Marshal(m.Interface())
			if err != nil {
				t.Fatal(err)
			}
			fmt.Fprintf(&b, "%s %x\n", kind.Descriptor().Name(), encoded)
		}
	}
	if err := os.WriteFile(name, []byte(b.String()), 0o644); err != nil {
		t.Fatal(err)
	}
}
