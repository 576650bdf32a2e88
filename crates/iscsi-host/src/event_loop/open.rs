//! Opens the sockets and service clients of a host, and creates its scheduler.
use super::listener::ClientListener;
use super::membership::Membership;
use super::pending_reads::PendingReads;
use super::plans::ReplicatedPlans;
use super::shutdown::ShutdownRequests;
use super::sources::{
    CATALOG, CONTROL, ENDPOINT_LIST, FIRST_CONTROL_CONNECTION, FIRST_NODE, LISTENER, SIGNALS,
    first_client,
};
use super::{CONNECTION_CHECK_INTERVAL, EventLoop};
use crate::catalog_client::CatalogClient;
use crate::client_connections::Clients;
use crate::dispatcher::Dispatcher;
use crate::endpoint_list::EndpointList;
use crate::error::Error;
use crate::node_connections::Nodes;
use crate::scheduler_config;
use mallowseam_connection_policy::admission::AdmissionController;
use mallowseam_connection_policy::client_memory::{self, ClientMemory};
use mallowseam_control_protocol::startup;
use mallowseam_iscsi::frame::Digests;
use mallowseam_iscsi::params::ProposedParams;
use mallowseam_iscsi::target::TargetConfig;
use mallowseam_scheduler::Scheduler;
use mallowseam_settings::GatewayConfig;
use mallowseam_sockets::clock::Clock;
use mallowseam_sockets::periodic_timer::PeriodicTimer;
use mio::Poll;
use rand::Rng;
use std::net::SocketAddr;
use std::rc::Rc;

/// Size of the read buffer, in bytes. Bounds one read, so that every ready socket is served in turn.
const READ_BUFFER_BYTES: usize = 128 * 1024;

impl EventLoop {
    /// Opens the sockets of a host. No event is handled before [`start`](EventLoop::start).
    pub(super) fn open(config: GatewayConfig, poll: &Poll) -> Result<Self, Error> {
        let address = startup::validated_address(config.host.listen);
        let (listener, bound) = ClientListener::open(address, poll, LISTENER)?;
        let control = startup::control_socket(
            config.host.control_socket.as_deref(),
            poll,
            CONTROL,
            FIRST_CONTROL_CONNECTION,
        )?;
        let shutdown = ShutdownRequests::open(poll, SIGNALS)?;
        let clients = open_clients(&config, bound, poll)?;
        let nodes = open_nodes(&config, poll)?;
        let catalog = open_catalog_client(&config, poll)?;
        let registry = startup::registry(poll)?;
        let endpoint_list = EndpointList::new(&config.host, &config.nodes, registry, ENDPOINT_LIST);
        let plans = ReplicatedPlans::open(&config, poll)?;
        let membership = Membership::open(&config, poll)?;
        let seed = config.host.seed.unwrap_or_else(|| rand::rng().next_u64());
        let clock = Clock::from_zero();
        tracing::info!(host = config.host.name, listen = %bound, seed, "host started");
        let scheduler_config = scheduler_config::scheduler_config(&config);
        Ok(EventLoop {
            scheduler: Scheduler::new(&scheduler_config, seed, clock.now()),
            dispatcher: Dispatcher::new(&config, clients, nodes, catalog),
            endpoint_list,
            plans,
            membership,
            listener,
            control,
            shutdown,
            pending_reads: PendingReads::default(),
            read_buffer: vec![0; READ_BUFFER_BYTES],
            connection_check: PeriodicTimer::new(CONNECTION_CHECK_INTERVAL, 0),
            clock,
            config,
        })
    }
}

/// Returns the parameters that the host proposes in every login, to clients and to nodes.
fn session_proposal(config: &GatewayConfig) -> ProposedParams {
    let digests = Digests {
        header: config.host.header_digest,
        data: config.host.data_digest,
    };
    ProposedParams {
        digests,
        ..ProposedParams::default()
    }
}

fn open_clients(config: &GatewayConfig, bound: SocketAddr, poll: &Poll) -> Result<Clients, Error> {
    let target_config = Rc::new(TargetConfig {
        proposal: session_proposal(config),
        command_window: config.host.command_window,
        max_transfer_bytes: config.host.max_transfer_bytes as usize,
        target_names: vec![config.host.target.clone()],
        portal_address: bound.to_string(),
    });
    let admission =
        AdmissionController::new(&config.host.target, config.host.max_connections as usize);
    let memory = ClientMemory::new(
        config
            .host
            .client_memory_bytes
            .unwrap_or(client_memory::DEFAULT_LIMIT),
        config.host.max_transfer_bytes,
    );
    Ok(Clients::new(
        admission,
        memory,
        target_config,
        startup::registry(poll)?,
        first_client(config.nodes.len()),
    ))
}

fn open_nodes(config: &GatewayConfig, poll: &Poll) -> Result<Nodes, Error> {
    let initiator = format!("{}:{}", config.host.target, config.host.name);
    let registry = startup::registry(poll)?;
    Ok(Nodes::new(
        &config.nodes,
        initiator,
        session_proposal(config),
        registry,
        FIRST_NODE,
    ))
}

/// Opens the client of the snapshot catalog if the configuration has a catalog and a mapped volume.
fn open_catalog_client(
    config: &GatewayConfig,
    poll: &Poll,
) -> Result<Option<CatalogClient>, Error> {
    let Some(catalog) = &config.catalog else {
        return Ok(None);
    };
    if !config.volumes.iter().any(|volume| volume.mapped) {
        return Ok(None);
    }
    let address = startup::validated_address(catalog.listen);
    Ok(Some(CatalogClient::new(
        &config.host.name,
        address,
        startup::registry(poll)?,
        CATALOG,
    )))
}
