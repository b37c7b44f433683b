// Package scenario holds the tests of the guarantees of a whole deployment under failure: scripts that
// run the binary as separate processes (testdata/script), and recorded histories of fleets that run in
// the test process. docs/proofs.md lists which guarantee is proved by which test.
package scenario
