//! Stand-ins of the cases: clients, storage nodes and discovery of the users' platform, and the processes of a case.
pub mod http;
pub mod process;
pub mod proxy;
pub mod record;
pub mod site;
