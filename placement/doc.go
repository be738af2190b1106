// Package placement decides which models, adapters and versions each engine holds.
//
// A Planner takes the state known to the placement leader (inventory, endpoints
// and forecast demand) and returns changes, each with its reason. It respects
// residency and the rate of the weight store, keeps the minimum number of
// endpoints for each model and adapter, and unloads nothing before enough other
// endpoints announce it. The package is pure: the time is passed in.
package placement
