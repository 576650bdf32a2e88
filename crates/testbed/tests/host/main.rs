//! Tests of one host process between clients and two stand-in nodes.
mod block_io;
mod crowded_memory;
mod departed_clients;
mod floods;
mod lifecycle;
mod protocol;
mod site;
mod split_commands;
mod unfinished_logins;
