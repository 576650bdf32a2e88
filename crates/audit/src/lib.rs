//! Audits of runs: what passed on the sockets of clients, nodes and discovery services, checked against the rules that
//! hosts promise to keep. Nothing here knows the program's insides, nor those of the stand-ins that write the traces.
#![warn(missing_docs)]
