// Package settings loads a daemon's settings from flags and environment variables.
//
// The schema defines the name, kind, default and bounds of each setting. A
// flag has the setting's name, and the environment variable the same name in
// upper case with the prefix ARBUTUSREEL_. A flag takes precedence over the
// variable, and the variable over the default. Load checks all settings and
// returns all faults together.
package settings
