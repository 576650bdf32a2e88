//! Loopback addresses of the hosts and peers of a run.
use std::net::{Ipv4Addr, SocketAddr};

const PORT_HOST: u16 = 8443;
const PORT_DISCOVERY: u16 = 1900;
const PORT_NODE: u16 = 2000;
const PORT_MEMBERSHIP_LISTEN: u16 = 7000;
const PORT_MEMBERSHIP_ADVERTISE: u16 = 7100;
/// Number of hosts whose addresses have the same third byte.
const HOSTS_PER_SUBNET: u32 = 250;

/// Loopback addresses of one run.
///
/// Every host has its own IP address, at which it listens. It reaches each of its peers at a separate port of the same
/// address, so that the address of a connection identifies the link.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// Second byte of all addresses of the run.
    network: u8,
}

impl Addresses {
    /// Returns the addresses of a run within `127.<network>.0.0/16`.
    pub fn new(network: u8) -> Self {
        Addresses { network }
    }

    /// Returns the socket address of a port of a host's IP address.
    pub(super) fn socket_address(self, host: u32, port: u16) -> SocketAddr {
        let subnet = 1 + host / HOSTS_PER_SUBNET;
        let number = 1 + host % HOSTS_PER_SUBNET;
        SocketAddr::from((
            Ipv4Addr::new(127, self.network, subnet as u8, number as u8),
            port,
        ))
    }

    /// Returns the host with this IP address, or `None` if the address is not in the range of hosts' addresses.
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

    /// Address at which clients reach a host.
    pub fn host(self, host: u32) -> SocketAddr {
        self.socket_address(host, PORT_HOST)
    }

    /// Address at which a host reaches a discovery service.
    pub(crate) fn discovery_service(self, host: u32, service: u32) -> SocketAddr {
        self.socket_address(host, PORT_DISCOVERY + service as u16)
    }

    /// Address at which a host reaches a node.
    pub(crate) fn node(self, host: u32, node: u32) -> SocketAddr {
        self.socket_address(host, PORT_NODE + node as u16)
    }

    /// Address at which a host's membership protocol listens.
    pub fn membership_listen(self, host: u32) -> SocketAddr {
        self.socket_address(host, PORT_MEMBERSHIP_LISTEN)
    }

    /// Address at which other members reach a host. The testbed listens there and forwards datagrams to the host.
    pub fn membership_advertise(self, host: u32) -> SocketAddr {
        self.socket_address(host, PORT_MEMBERSHIP_ADVERTISE)
    }
}
