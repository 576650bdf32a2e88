//! Random numbers, digests and connections that the tests of this directory share.
use mallowseam_iscsi::frame::SendBuffer;
use mallowseam_iscsi::initiator::{InitiatorConnection, InitiatorEvent};
use mallowseam_iscsi::login::{LoginIdentity, LoginPolicy, LoginStatus};
use mallowseam_iscsi::params::ProposedParams;
use mallowseam_iscsi::pdu::Bhs;
use mallowseam_iscsi::scsi::Sense;
use mallowseam_iscsi::target::{TargetConfig, TargetConnection, TargetEvent};
use mallowseam_test_support::{Digest, SeededRng};
use std::num::NonZeroU16;
use std::rc::Rc;

/// Login policy that admits every initiator to the target `iqn.t` and to discovery; each session gets the handle 7.
pub struct AdmitKnownTarget;

impl LoginPolicy for AdmitKnownTarget {
    fn admit(&mut self, identity: &LoginIdentity) -> Result<u16, LoginStatus> {
        if identity
            .target
            .as_deref()
            .is_none_or(|name| name == "iqn.t")
        {
            Ok(7)
        } else {
            Err(LoginStatus::NOT_FOUND)
        }
    }
}

/// Seeded random number generator, with choices by index, percentage and length.
pub struct Rng(SeededRng);

impl Rng {
    pub fn new(seed: u64) -> Self {
        Rng(SeededRng::new(seed))
    }

    pub fn next(&mut self) -> u64 {
        self.0.next_u64()
    }

    pub fn below(&mut self, limit: usize) -> usize {
        self.0.below(limit as u64) as usize
    }

    /// Returns true with a probability of `percent`.
    pub fn chance(&mut self, percent: usize) -> bool {
        self.below(100) < percent
    }

    pub fn bytes(&mut self, len: usize) -> Vec<u8> {
        (0..len).map(|_| self.next() as u8).collect()
    }
}

/// Digest of everything that is recorded. A tag and the length precede each recorded item.
pub struct Record(Digest);

impl Record {
    pub fn new() -> Self {
        Record(Digest::default())
    }

    pub fn value(&self) -> u64 {
        self.0.value()
    }

    /// Records bytes without a tag and length.
    pub fn raw(&mut self, bytes: &[u8]) {
        self.0.add_bytes(bytes);
    }

    pub fn bytes(&mut self, tag: u8, bytes: &[u8]) {
        self.raw(&[tag]);
        self.raw(&(bytes.len() as u64).to_le_bytes());
        self.raw(bytes);
    }

    pub fn number(&mut self, tag: u8, value: u64) {
        self.bytes(tag, &value.to_le_bytes());
    }

    pub fn sense(&mut self, sense: Option<Sense>) {
        self.bytes(
            b's',
            &sense.map_or(vec![], |sense| sense.to_fixed_format().to_vec()),
        );
    }

    pub fn identity(&mut self, identity: &LoginIdentity) {
        self.bytes(b'w', identity.initiator.as_bytes());
        self.bytes(b'w', identity.target.as_deref().unwrap_or("-").as_bytes());
        self.bytes(b'w', &identity.isid);
        self.number(
            b'w',
            u64::from(identity.tsih) << 1 | u64::from(identity.discovery),
        );
    }

    pub fn target_event(&mut self, event: &TargetEvent) {
        match event {
            TargetEvent::LoggedIn(identity) => self.identity(identity),
            TargetEvent::Command {
                task,
                lun,
                cdb,
                read_len,
                data,
            } => {
                self.number(b'c', u64::from(*task));
                self.number(b'c', lun.map_or(u64::MAX, u64::from));
                self.bytes(b'c', cdb);
                self.number(b'c', *read_len as u64);
                self.bytes(b'c', data);
            }
            TargetEvent::CommandAborted { task } => self.number(b'a', u64::from(*task)),
            TargetEvent::Logout => self.number(b'l', 0),
            TargetEvent::NopOut => self.number(b'n', 0),
        }
    }

    pub fn initiator_event(&mut self, event: &InitiatorEvent) {
        match event {
            InitiatorEvent::LoggedIn => self.number(b'I', 0),
            InitiatorEvent::CommandCompleted {
                tag,
                status,
                sense,
                data,
                retry_after,
            } => {
                self.number(b'R', u64::from(*tag));
                self.number(
                    b'R',
                    u64::from(*status) << 16 | u64::from(retry_after.map_or(0, NonZeroU16::get)),
                );
                self.sense(*sense);
                self.bytes(b'R', data);
            }
            InitiatorEvent::CommandRejected { tag, reason } => {
                self.number(b'J', u64::from(*tag) << 8 | u64::from(*reason));
            }
            InitiatorEvent::CommandAborted { tag } => self.number(b'G', u64::from(*tag)),
            InitiatorEvent::LogoutRequested => self.number(b'O', 0),
            InitiatorEvent::LoggedOut => self.number(b'L', 0),
            InitiatorEvent::TextResponse(data) => self.bytes(b'T', data),
        }
    }
}

/// Returns the configuration of a target with a command window of `command_window`.
pub fn config(proposal: ProposedParams, command_window: u32) -> Rc<TargetConfig> {
    Rc::new(TargetConfig {
        proposal,
        command_window,
        max_transfer_bytes: 1 << 16,
        target_names: vec!["iqn.t".into(), "iqn.u".into()],
        portal_address: "127.0.0.1:3260".into(),
    })
}

/// Returns a target and an initiator that are logged in, with no events or unsent bytes left.
pub fn logged_in(proposal: ProposedParams) -> (TargetConnection, InitiatorConnection) {
    let mut target = TargetConnection::new(config(proposal, 4));
    let mut initiator = InitiatorConnection::new("iqn.i", Some("iqn.t"), [0; 6], &proposal);
    let request = initiator.send_buffer().unsent().to_vec();
    initiator.send_buffer().mark_sent(request.len());
    target
        .receive(&request, &mut AdmitKnownTarget)
        .expect("login request is accepted");
    let response = target.send_buffer().unsent().to_vec();
    target.send_buffer().mark_sent(response.len());
    initiator
        .receive(&response)
        .expect("login response is accepted");
    while target.next_event().is_some() {}
    while initiator.next_event().is_some() {}
    (target, initiator)
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

/// Returns the bytes of a PDU without digests.
pub fn frame(bhs: Bhs, data: &[u8]) -> Vec<u8> {
    let mut out = SendBuffer::default();
    out.push(bhs, data);
    out.unsent().to_vec()
}
