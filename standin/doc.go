// Package standin emulates the systems around the gateway: model engines, plain services and the entry directory.
//
// It serves tests, the demo and measurements and is never linked into the gateway. An engine's answer depends only on
// the model and the prompt, so that a caller can verify that it received its own answer completely.
package standin
