// Package ports defines the interfaces between the daemon's decision logic and
// its surroundings, and the types and messages that cross them. It contains no
// behaviour. Every package of the module may import it; of this module it imports
// only internal/core/configuration, internal/core/fieldcheck and
// internal/core/outcome.
package ports
