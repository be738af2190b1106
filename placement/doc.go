// Package placement decides which models, adapters and versions each engine holds.
//
// A Planner takes what the placement leader knows (inventory, endpoints and
// forecast demand) and returns changes, each with its reason. It stays inside
// residency and the weight store's rate, keeps the minimum of endpoints for
// each model and adapter, and unloads nothing before enough others announce it.
// The package is pure: the time is passed in.
package placement
