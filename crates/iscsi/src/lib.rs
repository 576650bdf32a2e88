//! iSCSI (RFC 7143, with the status qualifier of RFC 7144) and the SCSI commands of a block device.
//!
//! This package reads neither sockets nor clocks: the caller passes in received bytes, and gets events and the
//! bytes to send. It implements both sides, since the gateway is a target to its clients and an initiator to
//! its storage nodes:
//!
//! * [`target::TargetConnection`] and [`initiator::InitiatorConnection`] each hold one connection and its
//!   session. Sessions have a single connection and error recovery level 0.
//! * [`login`] and [`params`] negotiate a session; [`frame`] and [`pdu`] encode and decode its PDUs.
//! * [`scsi`] encodes and decodes command descriptor blocks, sense data and parameter data (SPC-4, SBC-3).
//!
//! Example: an initiator logs in to a target and reads a block, without a network in between.
//!
//! ```
//! use mallowseam_iscsi::initiator::{InitiatorConnection, InitiatorEvent};
//! use mallowseam_iscsi::login::{LoginIdentity, LoginPolicy, LoginStatus};
//! use mallowseam_iscsi::params::ProposedParams;
//! use mallowseam_iscsi::scsi;
//! use mallowseam_iscsi::target::{TargetConfig, TargetConnection, TargetEvent};
//!
//! struct AdmitAll;
//! impl LoginPolicy for AdmitAll {
//!     fn admit(&mut self, _: &LoginIdentity) -> Result<u16, LoginStatus> {
//!         Ok(1)
//!     }
//! }
//!
//! let proposal = ProposedParams::default();
//! let config = TargetConfig {
//!     proposal,
//!     command_window: 8,
//!     max_transfer_bytes: 1 << 20,
//!     target_names: vec!["iqn.2026-01.example:disk".into()],
//!     portal_address: "192.0.2.1:3260".into(),
//! };
//! let mut target = TargetConnection::new(config.into());
//! let name = "iqn.2026-01.example:host";
//! let mut initiator =
//!     InitiatorConnection::new(name, Some("iqn.2026-01.example:disk"), [0; 6], &proposal);
//! let exchange = |initiator: &mut InitiatorConnection, target: &mut TargetConnection| {
//!     let request = initiator.send_buffer().unsent().to_vec();
//!     initiator.send_buffer().mark_sent(request.len());
//!     target.receive(&request, &mut AdmitAll)?;
//!     let response = target.send_buffer().unsent().to_vec();
//!     target.send_buffer().mark_sent(response.len());
//!     initiator.receive(&response)
//! };
//! exchange(&mut initiator, &mut target)?;
//! assert_eq!(initiator.next_event(), Some(InitiatorEvent::LoggedIn));
//! assert!(matches!(target.next_event(), Some(TargetEvent::LoggedIn(_))));
//!
//! let read = scsi::read_or_write_16(false, 0, 1, 0);
//! assert!(initiator.send_command(7, 0, &read, 512, Vec::new().into()));
//! exchange(&mut initiator, &mut target)?;
//! let Some(TargetEvent::Command { task, .. }) = target.next_event() else { panic!("no command") };
//! target.complete(task, &[0xa5; 512]);
//! exchange(&mut initiator, &mut target)?;
//! let Some(InitiatorEvent::CommandCompleted { tag: 7, data, .. }) = initiator.next_event() else {
//!     panic!("no completion")
//! };
//! assert_eq!(data, [0xa5; 512]);
//! # Ok::<(), mallowseam_iscsi::ProtocolError>(())
//! ```
//!
//! Section numbers in this package are those of RFC 7143 unless another standard is named.
#![warn(missing_docs)]

mod error;
pub mod frame;
pub mod initiator;
pub mod login;
pub mod params;
pub mod pdu;
pub mod scsi;
pub mod target;
mod text;

pub use error::ProtocolError;
pub use text::TextError;
