// Package sharingtest tests the fair sharing of server capacity with real daemons
// under faults. It contains only tests.
package sharingtest
