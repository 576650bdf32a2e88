//! Subcommands that send requests to the control socket of a running process.
use super::error::CommandError;
use crate::control_socket;
use crate::demand;
use mallowseam_files::text_file::read_configuration;
use mallowseam_iscsi_host::status::Status;
use mallowseam_settings::GatewayConfig;
use std::num::NonZeroU64;
use std::path::{Path, PathBuf};
use std::time::Duration;

// No doc comment: clap would use it as the help text of the subcommand.
#[derive(clap::Args)]
#[group(required = true, multiple = false)]
pub(super) struct ControlTarget {
    /// The host's configuration file, which names its control socket
    file: Option<PathBuf>,
    /// Path of the host's control socket, instead of the configuration file
    #[arg(long)]
    control: Option<PathBuf>,
}

impl ControlTarget {
    fn socket(&self) -> Result<PathBuf, CommandError> {
        match (&self.control, &self.file) {
            (Some(socket), _) => Ok(socket.clone()),
            (None, Some(file)) => host_socket(file),
            (None, None) => unreachable!("clap requires a file or a control socket"),
        }
    }

    /// Sends a request to the host.
    pub(super) fn send_request(&self, request: &str) -> Result<String, CommandError> {
        let socket = self.socket()?;
        control_socket::send_request(&socket, request)
            .map_err(|source| CommandError::RequestAt { socket, source })
    }
}

/// A process that has a control socket.
#[derive(Clone, Copy)]
pub(super) enum Service {
    Host,
    SnapshotCatalog,
    Plans,
}

impl Service {
    /// Returns the section of the configuration that names the control socket.
    fn section(self) -> &'static str {
        match self {
            Service::Host => "host",
            Service::SnapshotCatalog => "catalog",
            Service::Plans => "tariffs",
        }
    }

    fn socket(self, config: GatewayConfig) -> Option<PathBuf> {
        match self {
            Service::Host => config.host.control_socket,
            Service::SnapshotCatalog => config.catalog?.control_socket,
            Service::Plans => config.plan_service?.control_socket,
        }
    }
}

/// Returns the control socket that a configuration file names for a process.
fn socket_of(file: &Path, service: Service) -> Result<PathBuf, CommandError> {
    service
        .socket(read_configuration(file)?)
        .ok_or_else(|| CommandError::NoControlSocket {
            file: file.to_owned(),
            section: service.section(),
        })
}

fn host_socket(file: &Path) -> Result<PathBuf, CommandError> {
    socket_of(file, Service::Host)
}

/// Sends a request to the process whose control socket a configuration names.
pub(super) fn send_request(
    file: &Path,
    service: Service,
    request: &str,
) -> Result<String, CommandError> {
    Ok(control_socket::send_request(
        &socket_of(file, service)?,
        request,
    )?)
}

/// `mallowseam status`: prints the state of a host.
pub(super) fn print_status(target: &ControlTarget, json: bool) -> Result<(), CommandError> {
    let text = target.send_request("status")?;
    if json {
        println!("{text}");
    } else {
        let status = Status::from_json(&text);
        print!(
            "{}",
            status.map_err(|source| CommandError::Answer {
                from: "host",
                source
            })?
        );
    }
    Ok(())
}

/// `mallowseam demand`: records demand in intervals of `every` seconds, without end if `count` is 0.
pub(super) fn record_demand(files: &[PathBuf], every: u64, count: u64) -> Result<(), CommandError> {
    let sockets = files
        .iter()
        .map(|file| host_socket(file))
        .collect::<Result<Vec<_>, _>>()?;
    let interval = Duration::from_secs(every.max(1));
    let count = NonZeroU64::new(count);
    demand::record(&sockets, interval, count, &mut |line| println!("{line}"));
    Ok(())
}

/// `mallowseam reload`: makes a host apply the plans of its configuration file.
pub(super) fn reload(file: &Path) -> Result<String, CommandError> {
    let absolute = std::path::absolute(file).map_err(CommandError::CurrentDirectory)?;
    send_request(
        file,
        Service::Host,
        &format!("plans {}", absolute.display()),
    )
}
