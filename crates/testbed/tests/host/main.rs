//! Tests of one host process between clients and two stand-in nodes.
mod block_io;
mod departed_clients;
mod drains;
mod lifecycle;
mod protocol;
mod site;
mod split_commands;
