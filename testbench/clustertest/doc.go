// Package clustertest tests membership, shard placement and peer sessions with
// real daemon processes. It contains only tests.
package clustertest
