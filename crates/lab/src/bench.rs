//! Clients at a node directly, beside clients through a host to the same node, in one run.
use crate::rehearse::Program;

#[derive(clap::Args, Clone, Debug)]
pub struct Options {
    /// Seconds of each phase
    #[arg(long, default_value_t = 5)]
    pub seconds: u64,
}

pub fn run(_options: &Options, _program: &Program) -> Result<String, String> {
    Err("not yet".into())
}
