//! Loopback addresses of a run.
use std::net::{Ipv4Addr, SocketAddr};

const PORT_HOST: u16 = 8443;
const PORT_LIST: u16 = 1900;
const PORT_NODE: u16 = 2000;
const PORT_MEMBERSHIP_LISTEN: u16 = 7000;
const PORT_MEMBERSHIP_ADVERTISE: u16 = 7100;
/// Hosts that share the third byte of their addresses.
const HOSTS_PER_SUBNET: u32 = 250;

/// The addresses of one run.
///
/// Every host has an IP address of its own, at which it listens. It reaches every other peer at a port of that
/// address that is kept for this pair alone, which identifies the link.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// Second byte of all addresses of the run.
    network: u8,
}

impl Addresses {
    /// Addresses within `127.<network>.0.0/16`.
    pub fn new(network: u8) -> Self {
        Addresses { network }
    }

    /// A port of a host's own IP address.
    pub(super) fn socket_address(self, host: u32, port: u16) -> SocketAddr {
        let subnet = 1 + host / HOSTS_PER_SUBNET;
        let number = 1 + host % HOSTS_PER_SUBNET;
        SocketAddr::from((
            Ipv4Addr::new(127, self.network, subnet as u8, number as u8),
            port,
        ))
    }

    /// The host whose IP address this is, if it is one of this run's hosts.
    pub(super) fn host_of(address: SocketAddr) -> Option<u32> {
        let SocketAddr::V4(address) = address else {
            return None;
        };
        let [_, _, subnet, number] = address.ip().octets();
        Some(
            u32::from(subnet.checked_sub(1)?) * HOSTS_PER_SUBNET
                + u32::from(number.checked_sub(1)?),
        )
    }

    /// Where clients reach a host.
    pub fn host(self, host: u32) -> SocketAddr {
        self.socket_address(host, PORT_HOST)
    }

    /// Where a host reaches a discovery service.
    pub(crate) fn list(self, host: u32, list: u32) -> SocketAddr {
        self.socket_address(host, PORT_LIST + list as u16)
    }

    /// Where a host reaches a node.
    pub(crate) fn node(self, host: u32, node: u32) -> SocketAddr {
        self.socket_address(host, PORT_NODE + node as u16)
    }

    /// Where a host's membership protocol listens.
    pub fn membership_listen(self, host: u32) -> SocketAddr {
        self.socket_address(host, PORT_MEMBERSHIP_LISTEN)
    }

    /// Where other members reach a host: the testbed forwards from there.
    pub fn membership_advertise(self, host: u32) -> SocketAddr {
        self.socket_address(host, PORT_MEMBERSHIP_ADVERTISE)
    }
}
