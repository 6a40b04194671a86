// Package apricotway holds the interfaces between the layers of the serving system, together with the identifiers and
// typed values that cross them. It performs no I/O and imports no other package of the module, so that a program can
// embed single parts of the library with implementations of its own.
//
// The layers import downwards only: transport, protocol, coordination, state, and this package below all of them.
package apricotway
