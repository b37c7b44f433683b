// Package fleetpb contains the generated messages and connect-go stubs of the service between VMs.
package fleetpb

//go:generate protoc --go_out=. --go_opt=paths=source_relative --connect-go_out=. --connect-go_opt=paths=source_relative,package_suffix= fleet.proto
