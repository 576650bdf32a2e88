//! Pinned results of the testbed, as the code gave them before its names and modules changed. A pin that fails means that
//! a decision, a constant, a random draw or a text has changed.
mod command_line;
mod digest;
mod scripts;
