// Package apportioner divides the engine time of a service among organisations while it is
// short. It counts the predicted engine time (work) that each organisation's requests need, adds
// up what all nodes count, and determines which requests exceed their organisation's share.
//
// Shares are weighted max-min fair: each organisation gets what it asks for, up to a level that
// is the same for all organisations per unit of weight and uses up the capacity. Higher tiers are
// allocated first. The package reads no clock and draws no random numbers; times and draws are
// passed in.
package apportioner
