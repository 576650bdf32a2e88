//! Setup of a service with its configuration, store and control socket in a temporary directory.
use crate::harness::{Process, addresses, wait_for_control};
use std::fmt::Display;
use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;

/// A service that can be started repeatedly with the same store.
pub struct ServiceSetup {
    directory: tempfile::TempDir,
    subcommand: &'static str,
    /// Address on which the service listens for hosts.
    pub address: SocketAddr,
}

impl ServiceSetup {
    /// Writes the configuration. `sections` returns the part between the sections of the host and of its node, given
    /// the service's address and the directory for its files.
    pub fn new(
        subcommand: &'static str,
        sections: impl FnOnce(SocketAddr, &dyn Display) -> String,
    ) -> ServiceSetup {
        let address = addresses();
        let directory = tempfile::tempdir().expect("a temporary directory can be created");
        let host = format!(
            "host gw0\n  listen {}\n  target iqn.t:gateway\n  node-list static\n  window 32\n  connections 40\n  \
             longest 1MiB\n",
            address(0),
        );
        let sections = sections(address(1), &directory.path().display());
        let node = format!(
            "node node0\n  address {}\n  target iqn.t:node0\n",
            address(2)
        );
        let text = format!("{host}{sections}{node}");
        fs::write(directory.path().join("conf"), text).expect("the file can be written");
        ServiceSetup {
            directory,
            subcommand,
            address: address(1),
        }
    }

    /// Returns the path of the service's control socket.
    pub fn control(&self) -> PathBuf {
        self.directory.path().join("control.sock")
    }

    /// Starts the service and waits until its control socket answers.
    pub fn start(&self) -> Process {
        let conf = self.directory.path().join("conf");
        let conf = conf.to_str().expect("the path is UTF-8");
        let process = Process::start(&[self.subcommand, conf, "--log", "error"]);
        wait_for_control(&self.control());
        process
    }
}
