//! Logged-in pair of an initiator and a target, connected by streams that deliver bytes in pieces.
use mallowseam_iscsi::initiator::{InitiatorConnection, InitiatorEvent};
use mallowseam_iscsi::login::{LoginIdentity, LoginPolicy, LoginStatus};
use mallowseam_iscsi::params::ProposedParams;
use mallowseam_iscsi::scsi;
use mallowseam_iscsi::target::{TargetConfig, TargetConnection, TargetEvent};
use std::rc::Rc;

/// Name of the only target.
pub const TARGET: &str = "iqn.t";

/// Login policy that admits every initiator to the only target and to discovery.
pub struct AdmitKnownTarget;

impl LoginPolicy for AdmitKnownTarget {
    fn admit(&mut self, identity: &LoginIdentity) -> Result<u16, LoginStatus> {
        if identity
            .target
            .as_deref()
            .is_none_or(|target| target == TARGET)
        {
            Ok(7)
        } else {
            Err(LoginStatus::NOT_FOUND)
        }
    }
}

/// Returns a target with a command window of four.
pub fn target(proposal: ProposedParams) -> TargetConnection {
    TargetConnection::new(Rc::new(TargetConfig {
        proposal,
        command_window: 4,
        max_transfer_bytes: 1 << 20,
        target_names: vec![TARGET.into()],
        portal_address: "127.0.0.1:3260".into(),
    }))
}

/// Lengths so short that most transfers take several PDUs.
pub fn short_lengths() -> ProposedParams {
    ProposedParams {
        max_recv_data_segment: 1024,
        max_burst_len: 4096,
        first_burst_len: 2048,
        ..ProposedParams::default()
    }
}

/// Transfers up to `max_len` unsent bytes in each direction; returns whether there were any.
pub fn exchange(
    target: &mut TargetConnection,
    initiator: &mut InitiatorConnection,
    max_len: usize,
) -> bool {
    let unsent = initiator.send_buffer().unsent();
    let to_target = unsent[..unsent.len().min(max_len)].to_vec();
    initiator.send_buffer().mark_sent(to_target.len());
    target
        .receive(&to_target, &mut AdmitKnownTarget)
        .expect("initiator follows the protocol");
    let unsent = target.send_buffer().unsent();
    let to_initiator = unsent[..unsent.len().min(max_len)].to_vec();
    target.send_buffer().mark_sent(to_initiator.len());
    initiator
        .receive(&to_initiator)
        .expect("target follows the protocol");
    !to_target.is_empty() || !to_initiator.is_empty()
}

/// Command as the target reports it.
pub struct ReceivedCommand {
    pub task: u32,
    pub cdb: [u8; 16],
    pub data: Vec<u8>,
}

/// Initiator and target that are logged in.
pub struct ConnectedPair {
    pub target: TargetConnection,
    pub initiator: InitiatorConnection,
    /// Maximum number of bytes transferred at once in each direction.
    max_piece: usize,
}

impl ConnectedPair {
    /// Returns a logged-in pair whose sides have the same proposal.
    pub fn new(proposal: ProposedParams, max_piece: usize) -> Self {
        let mut pair = ConnectedPair {
            target: target(proposal),
            initiator: InitiatorConnection::new("iqn.i", Some(TARGET), [0; 6], &proposal),
            max_piece,
        };
        pair.run();
        assert_eq!(pair.initiator.next_event(), Some(InitiatorEvent::LoggedIn));
        assert!(matches!(
            pair.target.next_event(),
            Some(TargetEvent::LoggedIn(_))
        ));
        pair
    }

    /// Transfers bytes in both directions until neither side has unsent bytes.
    pub fn run(&mut self) {
        while exchange(&mut self.target, &mut self.initiator, self.max_piece) {}
    }

    /// Sends a read of one block; returns whether it was sent.
    pub fn send_read(&mut self, tag: u32, lun: u32) -> bool {
        let cdb = scsi::read_or_write_16(false, 0, 1, 0);
        self.initiator
            .send_command(tag, lun, &cdb, 512, vec![].into())
    }

    /// Sends a write of one block; returns whether it was sent.
    pub fn send_write(&mut self, tag: u32, lba: u64) -> bool {
        let cdb = scsi::read_or_write_16(true, lba, 1, 0);
        self.initiator
            .send_command(tag, 0, &cdb, 0, vec![1; 512].into())
    }

    /// Returns the next event of the target, which must be a command.
    pub fn next_command(&mut self) -> ReceivedCommand {
        match self.target.next_event() {
            Some(TargetEvent::Command {
                task, cdb, data, ..
            }) => ReceivedCommand { task, cdb, data },
            other => panic!("expected a command, found {other:?}"),
        }
    }
}

impl Default for ConnectedPair {
    fn default() -> Self {
        ConnectedPair::new(ProposedParams::default(), 4096)
    }
}
