//! Where the parties of a run are reached.
use std::net::{Ipv4Addr, SocketAddr};

const PORT_HOST: u16 = 8443;
const PORT_LIST: u16 = 1900;
const PORT_NODE: u16 = 2000;
const PORT_FLEET: u16 = 7000;
const PORT_WAY: u16 = 7100;

/// Loopback addresses of a run's own: every host has its own, at which it listens; every other party is reached by
/// it at an address kept for it alone, which tells the ways apart.
#[derive(Clone, Copy, Debug)]
pub struct Addresses(u8);

impl Addresses {
    pub fn new(net: u8) -> Self {
        Addresses(net)
    }

    pub(super) fn of(self, host: u32, port: u16) -> SocketAddr {
        SocketAddr::from((Ipv4Addr::new(127, self.0, (1 + host / 250) as u8, (1 + host % 250) as u8), port))
    }

    pub fn host(self, host: u32) -> SocketAddr {
        self.of(host, PORT_HOST)
    }

    pub fn list(self, host: u32, list: u32) -> SocketAddr {
        self.of(host, PORT_LIST + list as u16)
    }

    pub fn node(self, host: u32, node: u32) -> SocketAddr {
        self.of(host, PORT_NODE + node as u16)
    }

    /// Where a host listens for its fleet, and where others reach it.
    pub fn fleet(self, host: u32) -> SocketAddr {
        self.of(host, PORT_FLEET)
    }

    pub fn way(self, host: u32) -> SocketAddr {
        self.of(host, PORT_WAY)
    }
}
