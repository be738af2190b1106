package settings

import (
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/known/durationpb"

	"arbutusreel/wiregen"
)

// envPrefix is the prefix of the name of each environment variable.
const envPrefix = "ARBUTUSREEL_"

// listSeparator separates the items of a list setting.
const listSeparator = ","

// Flags maps setting names to the texts given on the command line.
type Flags map[string]*string

// Binder registers one flag with its description on a command.
type Binder interface {
	String(value *string, short, long, description string)
}

// Bind registers a flag for each setting of m and returns the flags, whose texts are set when the command line is
// parsed.
func Bind(b Binder, m proto.Message) Flags {
	flags := Flags{}
	for _, s := range Describe(m) {
		text := new(string)
		flags[s.Name] = text
		b.String(text, "", s.Name, s.Doc)
	}
	return flags
}

// Load fills m from the flags, the environment and the defaults; an invalid set of settings returns Faults.
func Load(m proto.Message, flags Flags, getenv func(string) string) error {
	var faults Faults
	r := m.ProtoReflect()
	fields := r.Descriptor().Fields()
	for i := range fields.Len() {
		field := fields.Get(i)
		s := describe(field)
		text := lookupText(s, flags, getenv)
		if text == "" {
			if s.Required {
				faults = append(faults, Fault{Setting: s.Name, Reason: "the setting is required"})
			}
			continue
		}
		value, reason := parse(r, field, s, text)
		if reason != "" {
			faults = append(faults, Fault{Setting: s.Name, Value: text, Reason: reason})
			continue
		}
		r.Set(field, value)
	}
	if len(faults) > 0 {
		return faults
	}
	return nil
}

// lookupText returns the setting's text from the flag, the environment variable or the default, in this order of
// precedence.
func lookupText(s Setting, flags Flags, getenv func(string) string) string {
	if text := flags[s.Name]; text != nil && *text != "" {
		return *text
	}
	if text := getenv(s.Env); text != "" {
		return text
	}
	return s.Default
}

func parse(r protoreflect.Message, field protoreflect.FieldDescriptor, s Setting, text string) (protoreflect.Value, string) {
	if field.IsList() {
		return parseList(r, field, s, text)
	}
	switch field.Kind() {
	case protoreflect.StringKind:
		if reason := s.checkChoice(text); reason != "" {
			return protoreflect.Value{}, reason
		}
		return protoreflect.ValueOfString(text), check(s.Kind, text)
	case protoreflect.BoolKind:
		b, err := strconv.ParseBool(text)
		if err != nil {
			return protoreflect.Value{}, "the value must be either true or false"
		}
		return protoreflect.ValueOfBool(b), ""
	case protoreflect.Int64Kind:
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return protoreflect.Value{}, "the value must be a whole number"
		}
		return protoreflect.ValueOfInt64(n), s.checkBounds(n)
	default:
		return parseDuration(s, text)
	}
}

func parseList(r protoreflect.Message, field protoreflect.FieldDescriptor, s Setting, text string) (protoreflect.Value, string) {
	value := r.NewField(field)
	for item := range strings.SplitSeq(text, listSeparator) {
		if reason := check(s.Kind, item); reason != "" {
			return value, reason
		}
		value.List().Append(protoreflect.ValueOfString(item))
	}
	return value, ""
}

func parseDuration(s Setting, text string) (protoreflect.Value, string) {
	d, err := time.ParseDuration(text)
	if err != nil {
		return protoreflect.Value{}, "the value must be a duration such as 250ms or 3s"
	}
	return protoreflect.ValueOfMessage(durationpb.New(d).ProtoReflect()), s.checkBounds(millisAwayFromZero(d))
}

// millisAwayFromZero returns d in milliseconds, rounded away from zero so that a bound exceeded by a fraction of a
// millisecond is detected.
func millisAwayFromZero(d time.Duration) int64 {
	n := d.Milliseconds()
	switch {
	case d > time.Duration(n)*time.Millisecond:
		return n + 1
	case d < time.Duration(n)*time.Millisecond:
		return n - 1
	}
	return n
}

// Setting describes one setting of the schema.
type Setting struct {
	Name     string
	Env      string
	Doc      string
	Default  string
	Kind     wiregen.SettingKind
	Required bool
	Min      int64
	Max      int64
	Choices  []string
	Type     string
}

// checkBounds returns why n lies outside the bounds, or "" if it does not.
func (s Setting) checkBounds(n int64) string {
	if s.Min == 0 && s.Max == 0 {
		return ""
	}
	if n < s.Min || n > s.Max {
		return "the value must be in the range " + strconv.FormatInt(s.Min, 10) + " to " + strconv.FormatInt(s.Max, 10)
	}
	return ""
}

// checkChoice returns why the text is none of the choices, or "" if it is one or there are none.
func (s Setting) checkChoice(text string) string {
	if len(s.Choices) == 0 || slices.Contains(s.Choices, text) {
		return ""
	}
	return "the value must be one of " + strings.Join(s.Choices, ", ")
}

// Describe returns the settings of m in the order of the schema.
func Describe(m proto.Message) []Setting {
	fields := m.ProtoReflect().Descriptor().Fields()
	settings := make([]Setting, 0, fields.Len())
	for i := range fields.Len() {
		settings = append(settings, describe(fields.Get(i)))
	}
	return settings
}

func describe(field protoreflect.FieldDescriptor) Setting {
	options, _ := proto.GetExtension(field.Options(), wiregen.E_Setting).(*wiregen.SettingOptions)
	name := field.JSONName()
	return Setting{
		Name:     name,
		Env:      envName(name),
		Doc:      options.GetDoc(),
		Default:  options.GetDefaultValue(),
		Kind:     options.GetKind(),
		Required: options.GetRequired(),
		Min:      options.GetMin(),
		Max:      options.GetMax(),
		Choices:  options.GetChoices(),
		Type:     typeName(field, options.GetKind()),
	}
}

func typeName(field protoreflect.FieldDescriptor, kind wiregen.SettingKind) string {
	name := kind.String()
	switch field.Kind() {
	case protoreflect.BoolKind:
		name = "bool"
	case protoreflect.Int64Kind:
		name = "number"
	case protoreflect.MessageKind:
		name = "duration"
	default:
	}
	if field.IsList() {
		return "list of " + name
	}
	return name
}

// envName returns the environment variable of a setting: ARBUTUSREEL_DATA_FOLDER for dataFolder.
func envName(name string) string {
	var b strings.Builder
	b.WriteString(envPrefix)
	for _, r := range name {
		if unicode.IsUpper(r) {
			b.WriteByte('_')
		}
		b.WriteRune(unicode.ToUpper(r))
	}
	return b.String()
}
