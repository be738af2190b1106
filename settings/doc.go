// Package settings reads a daemon's settings from flags and environment variables.
//
// The schema names each setting, its kind, default and bounds. A flag bears
// the setting's name, the environment variable the same name in upper case
// behind ARBUTUSREEL_; a flag goes before the variable, and the variable
// before the default. Load checks all settings and returns every fault at once.
package settings
