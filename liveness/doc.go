// Package liveness decides whether the process of a replica survived the end of an exchange.
//
// A process that is ending still accepts connections, keeps some open and may even answer. That a
// process lives is therefore shown only by what it does some time after the exchange, and only if
// it is shown to be the same process. The decision depends on the evidence alone and not on its
// order, so that newer evidence may turn it either way.
package liveness
