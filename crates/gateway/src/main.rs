fn main() -> std::process::ExitCode {
    mallowseam_gateway::cli::main(std::env::args_os())
}
