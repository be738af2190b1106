package wire

import (
	"bytes"
	"encoding/json"
	"fmt"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// DecodeJSON reads JSON into m. A field that is not in the schema returns *UnknownFieldError; other faults return
// *MalformedError.
func DecodeJSON(b []byte, m proto.Message) error {
	name := string(m.ProtoReflect().Descriptor().Name())
	d := json.NewDecoder(bytes.NewReader(b))
	d.UseNumber()
	var value any
	if err := d.Decode(&value); err != nil {
		return &MalformedError{Message: name, Cause: err}
	}
	if err := checkFields(m.ProtoReflect().Descriptor(), value, ""); err != nil {
		return err
	}
	if err := protojson.Unmarshal(b, m); err != nil {
		return &MalformedError{Message: name, Cause: err}
	}
	return nil
}

// EncodeJSON returns m as indented JSON, with the fields in the schema's order and without zero values.
func EncodeJSON(m proto.Message) ([]byte, error) {
	compact, err := protojson.Marshal(m)
	if err != nil {
		return nil, &MalformedError{Message: string(m.ProtoReflect().Descriptor().Name()), Cause: err}
	}
	var b bytes.Buffer
	if err := json.Indent(&b, compact, "", "  "); err != nil {
		return nil, &MalformedError{Message: string(m.ProtoReflect().Descriptor().Name()), Cause: err}
	}
	b.WriteByte('\n')
	return b.Bytes(), nil
}

// checkFields returns *UnknownFieldError for the first field in value that the descriptor does not have.
func checkFields(d protoreflect.MessageDescriptor, value any, path string) error {
	object, ok := value.(map[string]any)
	if !ok {
		return nil
	}
	for name, item := range object {
		field := d.Fields().ByJSONName(name)
		itemPath := joinPath(path, name)
		if field == nil {
			return &UnknownFieldError{Path: itemPath}
		}
		if field.Message() == nil || field.IsMap() {
			continue
		}
		if err := checkItems(field, item, itemPath); err != nil {
			return err
		}
	}
	return nil
}

func checkItems(field protoreflect.FieldDescriptor, item any, path string) error {
	list, ok := item.([]any)
	if !ok {
		return checkFields(field.Message(), item, path)
	}
	for i, element := range list {
		if err := checkFields(field.Message(), element, fmt.Sprintf("%s[%d]", path, i)); err != nil {
			return err
		}
	}
	return nil
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
