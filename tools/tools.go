// Package tools pins the development tools of the repository.
package tools
