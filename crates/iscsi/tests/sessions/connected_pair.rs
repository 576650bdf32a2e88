//! An initiator and a target that are logged in and talk through a stream that is cut into pieces.
use mallowseam_iscsi::initiator::{InitiatorConnection, InitiatorEvent};
use mallowseam_iscsi::login::{LoginIdentity, LoginPolicy, LoginStatus};
use mallowseam_iscsi::params::ProposedParams;
use mallowseam_iscsi::scsi;
use mallowseam_iscsi::target::{TargetConfig, TargetConnection, TargetEvent};
use std::rc::Rc;

/// Name of the only target.
pub const TARGET: &str = "iqn.t";

/// Admits every initiator to the target that exists.
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

/// A target with a command window of four.
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

/// Carries the next piece of what waits at either side, of up to `max_len` bytes; whether there was any.
pub fn carry(
    target: &mut TargetConnection,
    initiator: &mut InitiatorConnection,
    max_len: usize,
) -> bool {
    let unsent = initiator.send_buffer().unsent();
    let up = unsent[..unsent.len().min(max_len)].to_vec();
    initiator.send_buffer().mark_sent(up.len());
    target
        .receive(&up, &mut AdmitKnownTarget)
        .expect("a valid initiator");
    let unsent = target.send_buffer().unsent();
    let down = unsent[..unsent.len().min(max_len)].to_vec();
    target.send_buffer().mark_sent(down.len());
    initiator.receive(&down).expect("a valid target");
    !up.is_empty() || !down.is_empty()
}

/// A command as the target reports it.
pub struct ReceivedCommand {
    pub task: u32,
    pub cdb: [u8; 16],
    pub data: Vec<u8>,
}

pub struct ConnectedPair {
    pub target: TargetConnection,
    pub initiator: InitiatorConnection,
    max_piece: usize,
}

impl ConnectedPair {
    /// Both sides with the same proposal, logged in.
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

    /// Carries bytes both ways until both sides are silent.
    pub fn run(&mut self) {
        while carry(&mut self.target, &mut self.initiator, self.max_piece) {}
    }

    /// Sends a read of one block.
    pub fn send_read(&mut self, tag: u32, lun: u32) -> bool {
        let cdb = scsi::read_or_write_16(false, 0, 1, 0);
        self.initiator
            .send_command(tag, lun, &cdb, 512, vec![].into())
    }

    /// Sends a write of one block.
    pub fn send_write(&mut self, tag: u32, lba: u64) -> bool {
        let cdb = scsi::read_or_write_16(true, lba, 1, 0);
        self.initiator
            .send_command(tag, 0, &cdb, 0, vec![1; 512].into())
    }

    /// The target's next event, which has to be a command.
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
