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

// Difference is a value that differs between two messages of the same type. An absent value is an empty string.
type Difference struct {
	// Path locates the value, as in teams[lahore-club].weight; items of a list are identified by their names.
	Path   string
	Before string
	After  string
}

// Differences returns the differences between two messages of the same type, in the order of the schema. Items of a
// list that have names are matched by name, regardless of their order; an item present on one side only is a single
// difference. Other lists are compared as a whole.
func Differences(before, after proto.Message) []Difference {
	c := &comparison{}
	c.compareMessages("", before.ProtoReflect(), after.ProtoReflect())
	return c.differences
}

// comparison collects the differences between two messages.
type comparison struct {
	differences []Difference
}

func (c *comparison) compareMessages(path string, before, after protoreflect.Message) {
	fields := before.Descriptor().Fields()
	for i := range fields.Len() {
		field := fields.Get(i)
		c.compareFields(joinPath(path, field.JSONName()), field, before, after)
	}
}

func (c *comparison) compareFields(path string, field protoreflect.FieldDescriptor, before, after protoreflect.Message) {
	b, a := before.Get(field), after.Get(field)
	switch {
	case field.IsList() && field.Message() != nil:
		c.compareLists(path, b.List(), a.List())
	case field.Message() != nil:
		c.compareMessages(path, b.Message(), a.Message())
	default:
		c.add(path, formatField(field, before), formatField(field, after))
	}
}

// compareLists compares the items with the same key and records those that only one list has.
func (c *comparison) compareLists(path string, before, after protoreflect.List) {
	beforeByKey := itemsByKey(before)
	matched := map[string]bool{}
	for i := range after.Len() {
		item := after.Get(i).Message()
		key := itemKey(item, i)
		itemPath := fmt.Sprintf("%s[%s]", path, key)
		if oldItem, ok := beforeByKey[key]; ok {
			matched[key] = true
			c.compareMessages(itemPath, oldItem, item)
			continue
		}
		c.add(itemPath, "", formatMessage(item))
	}
	for i := range before.Len() {
		item := before.Get(i).Message()
		if key := itemKey(item, i); !matched[key] {
			c.add(fmt.Sprintf("%s[%s]", path, key), formatMessage(item), "")
		}
	}
}

func (c *comparison) add(path, before, after string) {
	if before != after {
		c.differences = append(c.differences, Difference{Path: path, Before: before, After: after})
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

// Fields that identify the items of a list.
const (
	nameField  = "name"
	modelField = "model"
	fromField  = "from"
	toField    = "to"
)

// itemKey returns the name of an item, together with its model if it has one, the ends of a link, or else the position
// of the item.
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

// formatField returns a field that holds no message as text; an unset field is an empty string.
func formatField(field protoreflect.FieldDescriptor, m protoreflect.Message) string {
	if !m.Has(field) {
		return ""
	}
	value := m.Get(field)
	if !field.IsList() {
		return formatScalar(field, value)
	}
	texts := make([]string, 0, value.List().Len())
	for i := range value.List().Len() {
		texts = append(texts, formatScalar(field, value.List().Get(i)))
	}
	return strings.Join(texts, ",")
}

func formatScalar(field protoreflect.FieldDescriptor, value protoreflect.Value) string {
	if field.Kind() != protoreflect.EnumKind {
		return value.String()
	}
	if named := field.Enum().Values().ByNumber(value.Enum()); named != nil {
		return string(named.Name())
	}
	return fmt.Sprint(value.Enum())
}

// formatMessage returns a message as compact JSON.
func formatMessage(m protoreflect.Message) string {
	text := protojson.Format(m.Interface())
	var b bytes.Buffer
	if err := json.Compact(&b, []byte(text)); err != nil {
		return text
	}
	return b.String()
}
