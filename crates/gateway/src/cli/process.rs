//! Subcommands that run a process in the foreground, and the subcommand that checks a configuration.
use super::error::CommandError;
use clap::ValueEnum;
use mallowseam_files::text_file::read_configuration;
use std::path::{Path, PathBuf};

/// Environment variable with the path of the configuration file of a host of the users' platform.
const PLATFORM_CONFIGURATION: &str = "GW_CONFIG";

#[derive(Clone, Copy, ValueEnum)]
enum Level {
    Error,
    Warn,
    Info,
    Debug,
}

// No doc comment: clap would use it as the help text of the subcommand.
#[derive(clap::Args)]
pub(super) struct LogOptions {
    /// Least severe level to log
    #[arg(long = "log", value_name = "LOG", value_enum, default_value = "info")]
    level: Level,
    /// Write log lines as JSON objects
    #[arg(long)]
    json: bool,
}

impl LogOptions {
    /// Starts logging to standard error.
    fn start(&self) {
        let level = match self.level {
            Level::Error => tracing::Level::ERROR,
            Level::Warn => tracing::Level::WARN,
            Level::Info => tracing::Level::INFO,
            Level::Debug => tracing::Level::DEBUG,
        };
        let log = tracing_subscriber::fmt()
            .with_max_level(level)
            .with_writer(std::io::stderr)
            .with_target(false);
        if self.json {
            log.json().init();
        } else {
            log.with_ansi(false).init();
        }
    }
}

/// `mallowseam run`: runs a host that serves volumes over iSCSI.
pub(super) fn run_host(file: &Path, log: &LogOptions) -> Result<(), CommandError> {
    log.start();
    Ok(mallowseam_iscsi_host::run(read_configuration(file)?)?)
}

/// `mallowseam host`: runs a host for the users' platform.
pub(super) fn run_platform_host(
    log: &LogOptions,
    list_turn: Option<u16>,
) -> Result<(), CommandError> {
    log.start();
    let path = std::env::var_os(PLATFORM_CONFIGURATION).map(PathBuf::from);
    let path = path.ok_or(CommandError::NoConfiguration)?;
    Ok(mallowseam_platform_host::run(
        &path,
        list_turn.map(u64::from),
    )?)
}

/// `mallowseam catalog`: runs the snapshot catalog.
pub(super) fn run_catalog(
    file: &Path,
    die_at: Option<u64>,
    log: &LogOptions,
) -> Result<(), CommandError> {
    log.start();
    Ok(crate::snapshot_catalog::run(
        &read_configuration(file)?,
        die_at,
    )?)
}

/// `mallowseam control`: runs the plan service.
pub(super) fn run_plan_service(file: &Path, log: &LogOptions) -> Result<(), CommandError> {
    log.start();
    Ok(crate::plan_service::run(&read_configuration(file)?)?)
}

/// `mallowseam check`: checks a configuration file.
pub(super) fn check(file: &Path) -> Result<String, CommandError> {
    let config = read_configuration(file)?;
    Ok(format!(
        "{}: valid; host {}, {} volumes on {} nodes, {} plans, {} groups",
        file.display(),
        config.host.name,
        config.volumes.len(),
        config.nodes.len(),
        config.plans.len(),
        config.io_classes.len()
    ))
}
