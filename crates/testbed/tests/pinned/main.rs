//! Pinned results of the testbed, recorded before its names and modules were changed. A pin that fails means that a
//! decision, a constant, a random draw or a text has changed with them.
mod command_line;
mod digest;
mod scripts;
