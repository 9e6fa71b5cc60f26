// Package plannerpb contains the generated messages and services of the RPCs between VMs.
package plannerpb
