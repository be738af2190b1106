// Package completion reads and writes chat and text completions in the common JSON form of model engines.
package completion
