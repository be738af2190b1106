package wire

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"arbutusreel/inventory"
)

// Difference is one value that two messages of the same type do not share; an absent value is empty text.
type Difference struct {
	// Path names the value as in teams[lahore-club].weight: items of a list go by their name.
	Path   string
	Before string
	After  string
}

// Differences returns what differs between two messages of the same type, in the order of the schema. Items of a list
// that have names are paired by name, so that their order does not count; an item that only one side has is one
// difference. Other lists are compared whole.
func Differences(before, after proto.Message) []Difference {
	c := &comparison{}
	c.messages("", before.ProtoReflect(), after.ProtoReflect())
	return c.found
}

// comparison gathers the differences of two messages.
type comparison struct {
	found []Difference
}

func (c *comparison) messages(path string, before, after protoreflect.Message) {
	fields := before.Descriptor().Fields()
	for i := range fields.Len() {
		field := fields.Get(i)
		c.values(join(path, field.JSONName()), field, before, after)
	}
}

func (c *comparison) values(path string, field protoreflect.FieldDescriptor, before, after protoreflect.Message) {
	b, a := before.Get(field), after.Get(field)
	switch {
	case field.IsList() && field.Message() != nil:
		c.lists(path, b.List(), a.List())
	case field.Message() != nil:
		c.messages(path, b.Message(), a.Message())
	default:
		c.add(path, scalarText(field, before), scalarText(field, after))
	}
}

// lists compares the items that have the same key, and notes those that only one list has.
func (c *comparison) lists(path string, before, after protoreflect.List) {
	old := itemsByKey(before)
	kept := map[string]bool{}
	for i := range after.Len() {
		item := after.Get(i).Message()
		key := itemKey(item, i)
		itemPath := fmt.Sprintf("%s[%s]", path, key)
		if was, ok := old[key]; ok {
			kept[key] = true
			c.messages(itemPath, was, item)
			continue
		}
		c.add(itemPath, "", messageText(item))
	}
	for i := range before.Len() {
		item := before.Get(i).Message()
		if key := itemKey(item, i); !kept[key] {
			c.add(fmt.Sprintf("%s[%s]", path, key), messageText(item), "")
		}
	}
}

func (c *comparison) add(path, before, after string) {
	if before != after {
		c.found = append(c.found, Difference{Path: path, Before: before, After: after})
	}
}

func itemsByKey(list protoreflect.List) map[string]protoreflect.Message {
	items := make(map[string]protoreflect.Message, list.Len())
	for i := range list.Len() {
		item := list.Get(i).Message()
		items[itemKey(item, i)] = item
	}
	return items
}

// Fields by which the items of a list are known.
const (
	nameField  = "name"
	modelField = "model"
	fromField  = "from"
	toField    = "to"
)

// itemKey returns the name of an item, with its model if it belongs to one, the ends of a link, or the position of an
// item that has neither.
func itemKey(item protoreflect.Message, position int) string {
	fields := item.Descriptor().Fields()
	name, model := fields.ByName(nameField), fields.ByName(modelField)
	switch {
	case name != nil && model != nil:
		return inventory.Name{Model: item.Get(model).String(), Adapter: item.Get(name).String()}.String()
	case name != nil:
		return item.Get(name).String()
	}
	from, to := fields.ByName(fromField), fields.ByName(toField)
	if from != nil && to != nil {
		return item.Get(from).String() + "-" + item.Get(to).String()
	}
	return fmt.Sprint(position)
}

// scalarText returns a field that holds no message as text; a value that is not set is empty text.
func scalarText(field protoreflect.FieldDescriptor, m protoreflect.Message) string {
	if !m.Has(field) {
		return ""
	}
	value := m.Get(field)
	if !field.IsList() {
		return oneText(field, value)
	}
	texts := make([]string, 0, value.List().Len())
	for i := range value.List().Len() {
		texts = append(texts, oneText(field, value.List().Get(i)))
	}
	return strings.Join(texts, ",")
}

func oneText(field protoreflect.FieldDescriptor, value protoreflect.Value) string {
	if field.Kind() != protoreflect.EnumKind {
		return value.String()
	}
	if named := field.Enum().Values().ByNumber(value.Enum()); named != nil {
		return string(named.Name())
	}
	return fmt.Sprint(value.Enum())
}

// messageText returns a message as compact JSON.
func messageText(m protoreflect.Message) string {
	text := protojson.Format(m.Interface())
	var b bytes.Buffer
	if err := json.Compact(&b, []byte(text)); err != nil {
		return text
	}
	return b.String()
}
