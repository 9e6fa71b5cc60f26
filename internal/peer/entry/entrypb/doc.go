// Package entrypb holds the messages between entry VMs, generated from entry.proto
// by "make generate".
package entrypb
