// Package apricotway holds the interfaces between the layers of the serving system, together with the identifiers and
// typed values that they exchange. It performs no I/O and imports no other package of the module, so that a program can
// embed parts of the library with its own implementations of the others.
//
// Each layer imports only layers below it. From top to bottom they are transport, protocol, coordination, state and this package.
package apricotway
