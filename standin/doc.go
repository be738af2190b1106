// Package standin emulates the systems that the gateway serves: model engines, plain services and the directory.
//
// It is used by tests, the demo and measurements, never by the gateway. An
// engine's answer depends only on the model and the prompt, so that a caller
// can check that it received its own answer whole.
package standin
