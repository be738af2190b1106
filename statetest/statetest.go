// Package statetest compares the whole state of a value in tests, unexported fields included.
package statetest

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
)

// Walk calls f with v and each value below it and with its path; f returns whether to go on below the value. What several paths lead to
// is visited once for each.
func Walk(v any, f func(path string, v reflect.Value) bool) { walk("", reflect.ValueOf(v), f) }

func walk(path string, v reflect.Value, f func(path string, v reflect.Value) bool) {
	if !f(path, v) {
		return
	}
	switch v.Kind() {
	case reflect.Pointer, reflect.Interface:
		if !v.IsNil() {
			walk(path, v.Elem(), f)
		}
	case reflect.Struct:
		for i := range v.NumField() {
			walk(path+"."+v.Type().Field(i).Name, v.Field(i), f)
		}
	case reflect.Map:
		for _, k := range v.MapKeys() {
			walk(fmt.Sprintf("%s[%v]", path, k), v.MapIndex(k), f)
		}
	case reflect.Slice, reflect.Array:
		for i := range v.Len() {
			walk(fmt.Sprintf("%s[%d]", path, i), v.Index(i), f)
		}
	default:
	}
}

// Dump returns the state of v, one line for each value, without functions and what outside reports to lie outside the state.
func Dump(v any, outside func(path string, v reflect.Value) bool) string {
	var lines []string
	Walk(v, func(path string, v reflect.Value) bool {
		if v.Kind() == reflect.Func || strings.HasSuffix(path, ".loc") || outside(path, v) {
			return false
		}
		switch v.Kind() {
		case reflect.Pointer, reflect.Interface, reflect.Struct, reflect.Array, reflect.Invalid:
		case reflect.Map, reflect.Slice, reflect.Chan:
			lines = append(lines, fmt.Sprint(path, " has ", v.Len()))
		default:
			lines = append(lines, fmt.Sprint(path, " is ", v))
		}
		return true
	})
	slices.Sort(lines)
	return strings.Join(lines, "\n")
}

// FirstDifference returns the first line in which two dumps differ, as it was and as it is; ok is false if they are equal.
func FirstDifference(before, after string) (was, is string, ok bool) {
	old, present := strings.Split(before, "\n"), strings.Split(after, "\n")
	for i := range max(len(old), len(present)) {
		switch {
		case i >= len(old):
			return "", present[i], true
		case i >= len(present):
			return old[i], "", true
		case old[i] != present[i]:
			return old[i], present[i], true
		}
	}
	return "", "", false
}
