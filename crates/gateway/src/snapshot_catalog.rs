//! Runs the snapshot catalog service over the iSCSI connections to the nodes of a configuration.
use crate::error::Error;
use mallowseam_catalog_service::{FinishedCommand, NodeConnections, UnitCommand};
use mallowseam_iscsi::params::ProposedParams;
use mallowseam_iscsi_host::node_connections::{NodeRequest, Nodes};
use mallowseam_scheduler::interface::{AttemptResult, Tick};
use mallowseam_settings::GatewayConfig;
use mio::Registry;

/// Size of the buffer for reads from a node's socket, in bytes.
const READ_BUFFER: usize = 64 * 1024;

/// Runs the snapshot catalog of a site until SIGTERM, SIGINT or a request to stop. With `crash_at`, the process aborts
/// at the crash point of that number.
///
/// # Errors
/// The configuration has no section `catalog`, or the service cannot start or fails while it runs.
pub(crate) fn run(config: &GatewayConfig, crash_at: Option<u64>) -> Result<(), Error> {
    let connect_nodes = |registry, first_token| CatalogNodes::new(config, registry, first_token);
    mallowseam_catalog_service::run(config, crash_at, connect_nodes)?;
    Ok(())
}

/// Connections from the catalog to the nodes.
struct CatalogNodes {
    nodes: Nodes,
    read_buffer: Vec<u8>,
}

impl CatalogNodes {
    fn new(config: &GatewayConfig, registry: Registry, first_token: usize) -> Self {
        let initiator = format!("{}:catalog", config.host.target);
        let proposal = ProposedParams::default();
        CatalogNodes {
            nodes: Nodes::new(&config.nodes, initiator, proposal, registry, first_token),
            read_buffer: vec![0; READ_BUFFER],
        }
    }
}

impl NodeConnections for CatalogNodes {
    fn count(&self) -> usize {
        self.nodes.len()
    }

    fn name(&self, node: usize) -> &str {
        self.nodes.name(node)
    }

    fn on_ready(&mut self, node: usize, readable: bool, now: Tick) {
        let mut more = self
            .nodes
            .on_ready(node, readable, &mut self.read_buffer, now);
        while more {
            more = self.nodes.read(node, &mut self.read_buffer, now);
        }
    }

    fn submit(&mut self, node: usize, command: UnitCommand, now: Tick) {
        let request = NodeRequest {
            tag: command.tag,
            lun: Some(command.lun),
            cdb: command.cdb,
            read_len: 0,
            data: command.data.into(),
        };
        self.nodes.submit(node, request, now);
    }

    fn cancel(&mut self, node: usize, tag: u32, now: Tick) {
        self.nodes.cancel(node, tag, now);
    }

    fn next_finished(&mut self) -> Option<FinishedCommand> {
        let finished = self.nodes.next_finished()?;
        Some(FinishedCommand {
            tag: finished.tag,
            has_succeeded: finished.result == AttemptResult::Completed,
        })
    }

    fn on_timer(&mut self, now: Tick) {
        self.nodes.on_timer(now);
    }

    fn flush(&mut self) {
        self.nodes.flush();
    }
}
