//! The program `mallowseam`: see [`mallowseam_gateway::cli`].
fn main() -> std::process::ExitCode {
    mallowseam_gateway::cli::main(std::env::args_os())
}
