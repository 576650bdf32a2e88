//! A small iSCSI site: hosts (`mallowseam run`), the plan service, the snapshot catalog, and stand-in nodes.
use crate::process::{Folder, Process, ip, wait_for};
use crate::record::not_run;
use mallowseam_audit::block;
use mallowseam_audit::service_model::ServiceModel;
use mallowseam_audit::trace::Trace;
use mallowseam_control_protocol::send_request;
pub use mallowseam_gateway::blocking_client::{Answer, BlockingClient, ClientError};
use mallowseam_iscsi::scsi;
pub use mallowseam_iscsi::scsi::status;
use mallowseam_stand_ins::node::Node;
pub use mallowseam_stand_ins::node::NodeFault;
use std::net::SocketAddr;
use std::process::{Command, Stdio};
use std::time::Duration;

/// iSCSI target name of the hosts.
pub const TARGET: &str = "iqn.t:gateway";
/// The project's program.
pub const PROGRAM: &str = "target/release/mallowseam";

pub fn host_address(host: u8) -> SocketAddr {
    (ip(10 + host), 3260).into()
}

pub fn node_address(node: u8) -> SocketAddr {
    (ip(20 + node), 3260).into()
}

pub fn service_address() -> SocketAddr {
    (ip(30), 7000).into()
}

/// Processes and nodes of a site.
pub struct Site {
    pub folder: Folder,
    pub trace: Trace,
    pub nodes: Vec<Node>,
    pub hosts: Vec<Process>,
    pub service: Option<Process>,
}

impl Site {
    /// Starts the nodes of a site.
    pub fn with_nodes(count: u8) -> Site {
        let trace = Trace::default();
        let node = |n: u8| {
            let model = ServiceModel::warm(4, 50.0, 64);
            let target = format!("iqn.t:node{n}");
            Node::start(n.into(), node_address(n), &target, model, trace.clone(), 1)
                .unwrap_or_else(|e| not_run(&format!("node: {e}")))
        };
        let nodes = (0..count).map(node).collect();
        Site {
            folder: Folder::new(),
            trace,
            nodes,
            hosts: Vec::new(),
            service: None,
        }
    }

    fn start(&self, subcommand: &str, file: &str, socket: &str, question: &str) -> Process {
        let path = self.folder.path(file);
        let checked = Command::new(PROGRAM).arg("check").arg(&path).output();
        match checked {
            Ok(output) if output.status.success() => {}
            Ok(output) => not_run(&String::from_utf8_lossy(
                &[output.stdout, output.stderr].concat(),
            )),
            Err(e) => not_run(&e.to_string()),
        }
        let command = format!("exec {PROGRAM} {subcommand} {}", path.display());
        let log = self.folder.path(&format!("{subcommand}-{file}.log"));
        let process = Process::start(&command, &[], &log);
        wait_for(
            &format!("{subcommand} {file} answers"),
            Duration::from_secs(10),
            || question.is_empty() || send_request(&self.folder.path(socket), question).is_ok(),
        );
        process
    }

    /// Starts a host with the file `confN`.
    pub fn start_host(&mut self, host: usize) {
        let process = self.start(
            "run",
            &format!("conf{host}"),
            &format!("gw{host}.sock"),
            "status",
        );
        self.hosts.push(process);
    }

    /// Starts the plan service with the file `conf0`.
    pub fn start_control(&mut self, file: &str) {
        let request = "";
        self.service = Some(self.start("control", file, "control.sock", request));
        wait_for("the plan service answers", Duration::from_secs(10), || {
            self.operator(&["plan", "show"], file, &[]).0
        });
    }

    /// Starts the snapshot catalog with the file `conf0`.
    pub fn start_catalog(&mut self) {
        self.service = Some(self.start("catalog", "conf0", "catalog.sock", "list"));
    }

    /// Sends a request to the snapshot catalog.
    pub fn catalog(&self, request: &str) -> Result<String, String> {
        send_request(&self.folder.path("catalog.sock"), request).map_err(|e| e.to_string())
    }

    /// Returns the status of a host, as JSON.
    pub fn status(&self, host: usize) -> String {
        send_request(&self.folder.path(&format!("gw{host}.sock")), "status").unwrap_or_default()
    }

    /// Runs a command of an operator. Returns whether it succeeded, and its output.
    pub fn operator(&self, arguments: &[&str], file: &str, rest: &[&str]) -> (bool, String) {
        let output = Command::new(PROGRAM)
            .args(arguments)
            .arg(self.folder.path(file))
            .args(rest)
            .stdin(Stdio::null())
            .output()
            .unwrap_or_else(|e| not_run(&e.to_string()));
        let text = [output.stdout, output.stderr].concat();
        (
            output.status.success(),
            String::from_utf8_lossy(&text).trim().to_owned(),
        )
    }
}

/// Logs in to a host.
pub fn client(host: u8, number: u32) -> BlockingClient {
    BlockingClient::open(host_address(host), Some(TARGET), number)
        .unwrap_or_else(|e| not_run(&format!("login: {e}")))
}

/// Writes blocks with the data of write `id`.
pub fn write(
    client: &mut BlockingClient,
    lun: u32,
    id: u64,
    lba: u64,
    blocks: u32,
) -> Result<Answer, ClientError> {
    let cdb = scsi::read_or_write_16(true, lba, blocks, 0);
    client.execute(lun, &cdb, 0, block::write(id, lba, blocks))
}

/// Reads blocks. Returns the id of the write that each of them shows.
pub fn read(
    client: &mut BlockingClient,
    lun: u32,
    lba: u64,
    blocks: u32,
) -> Result<Vec<Option<u64>>, String> {
    let cdb = scsi::read_or_write_16(false, lba, blocks, 0);
    let answer = client
        .execute(lun, &cdb, blocks as usize * block::SIZE, Vec::new())
        .map_err(|e| e.to_string())?;
    if answer.status != status::GOOD {
        return Err(format!("status {}", answer.status));
    }
    let shown = answer.data.chunks(block::SIZE).enumerate();
    Ok(shown
        .map(|(n, bytes)| block::read(bytes, lba + n as u64))
        .collect())
}

/// Clears the software write protection of logical units of a node, as a target comes up whose mode page was not saved
/// (SPC-5: MODE SELECT with SP = 0 changes current values, which a power cycle sets back).
pub fn clear_unsaved_mode(node: u8, luns: &[u32]) {
    let mut session =
        BlockingClient::open(node_address(node), Some(&format!("iqn.t:node{node}")), 999)
            .unwrap_or_else(|e| not_run(&format!("node: {e}")));
    let (cdb, data) = scsi::mode_select_write_protect(false);
    for lun in luns {
        if let Err(e) = session.execute(*lun, &cdb, 0, data.clone()) {
            not_run(&format!("mode select: {e}"));
        }
    }
}
