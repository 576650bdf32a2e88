//! Handling of the PDUs that a target receives.
use super::task_table::Task;
use super::write_transfer::WriteTransfer;
use super::{Phase, TargetConnection, TargetEvent};
use crate::error::ProtocolError;
use crate::frame::FrameError;
use crate::login::{LoginIdentity, LoginOutcome, LoginPolicy};
use crate::params::SessionParams;
use crate::pdu::{Bhs, Pdu, RESERVED_TAG, flag, opcode, reject_reason};
use crate::scsi::Sense;
use crate::text;

/// Maximum number of commands in flight beyond the command window. Only commands for immediate delivery, which the
/// window does not limit, can exceed it.
const MAX_IMMEDIATE_COMMANDS: u32 = 8;

impl TargetConnection {
    /// Processes bytes received from the stream, in pieces of any size.
    ///
    /// # Errors
    /// Fails if the initiator violated the protocol or its login was rejected; the connection is then to be closed
    /// once the send buffer is sent.
    pub fn receive(
        &mut self,
        mut input: &[u8],
        policy: &mut dyn LoginPolicy,
    ) -> Result<(), ProtocolError> {
        while !input.is_empty() && !self.is_closing() {
            match self.decoder.decode(&mut input) {
                Ok(None) => break,
                Ok(Some(pdu)) => self.on_pdu(pdu, policy)?,
                Err(error) => {
                    // At error recovery level 0 the data cannot be requested again, so the command cannot continue.
                    if let FrameError::DataDigest(bhs) = &error {
                        self.reject(bhs, reject_reason::DATA_DIGEST_ERROR);
                    }
                    return Err(error.into());
                }
            }
        }
        Ok(())
    }

    fn on_pdu(&mut self, pdu: Pdu, policy: &mut dyn LoginPolicy) -> Result<(), ProtocolError> {
        if let Phase::Login(_) = self.phase {
            return self.on_login_request(&pdu, policy);
        }
        let opcode = pdu.bhs.opcode();
        match opcode {
            opcode::DATA_OUT => return self.on_data_out(&pdu),
            opcode::SCSI_COMMAND | opcode::TASK_MANAGEMENT_REQUEST if self.is_discovery() => {
                self.reject(&pdu.bhs, reject_reason::PROTOCOL_ERROR);
                return Ok(());
            }
            opcode::SCSI_COMMAND
            | opcode::TASK_MANAGEMENT_REQUEST
            | opcode::NOP_OUT
            | opcode::TEXT_REQUEST
            | opcode::LOGOUT_REQUEST => {}
            _ => return self.on_unsupported(&pdu.bhs),
        }
        if !pdu.bhs.is_immediate() && !self.sequence.accept(pdu.bhs.cmd_sn())? {
            return Ok(());
        }
        match opcode {
            opcode::NOP_OUT => self.on_nop_out(&pdu),
            opcode::SCSI_COMMAND => self.on_scsi_command(pdu)?,
            opcode::TASK_MANAGEMENT_REQUEST => self.on_task_management_request(&pdu.bhs),
            opcode::TEXT_REQUEST => self.on_text_request(&pdu)?,
            _ => self.on_logout_request(&pdu.bhs),
        }
        Ok(())
    }

    fn is_discovery(&self) -> bool {
        matches!(self.phase, Phase::Discovery)
    }

    fn on_unsupported(&mut self, bhs: &Bhs) -> Result<(), ProtocolError> {
        let opcode = bhs.opcode();
        if opcode == opcode::LOGIN_REQUEST || opcode & opcode::TARGET_BIT != 0 {
            return Err(ProtocolError::UnexpectedRequest { opcode });
        }
        self.reject(bhs, reject_reason::COMMAND_NOT_SUPPORTED);
        Ok(())
    }

    fn on_login_request(
        &mut self,
        pdu: &Pdu,
        policy: &mut dyn LoginPolicy,
    ) -> Result<(), ProtocolError> {
        let Phase::Login(login) = &mut self.phase else {
            return Ok(());
        };
        if pdu.bhs.opcode() != opcode::LOGIN_REQUEST {
            return Err(ProtocolError::ExpectedLoginRequest {
                opcode: pdu.bhs.opcode(),
            });
        }
        let reply = login.on_request(pdu, policy);
        let params = login.params.clone();
        self.sequence
            .start(pdu.bhs.cmd_sn(), self.config.command_window);
        self.send_response(reply.bhs, &reply.data);
        match reply.outcome {
            LoginOutcome::InProgress => {}
            LoginOutcome::Completed(identity) => self.enter_full_feature(params, identity),
            LoginOutcome::Rejected(reason) => {
                self.phase = Phase::Closing;
                return Err(ProtocolError::LoginRejected {
                    status: reason.status(),
                    reason,
                });
            }
        }
        Ok(())
    }

    /// Enters the full feature phase. The negotiated parameters apply from the next PDU on.
    fn enter_full_feature(&mut self, params: SessionParams, identity: LoginIdentity) {
        self.decoder
            .set_limits(params.digests, params.max_recv_data_segment);
        self.send_buffer.set_digests(params.digests);
        self.params = params;
        self.phase = if identity.discovery {
            Phase::Discovery
        } else {
            Phase::FullFeature
        };
        self.events.push_back(TargetEvent::LoggedIn(identity));
    }

    fn reject(&mut self, rejected: &Bhs, reason: u8) {
        let bhs = Bhs::new(opcode::REJECT, flag::FINAL)
            .with_response(reason)
            .with_itt(RESERVED_TAG);
        self.send_response(bhs, rejected.as_bytes());
    }

    fn on_nop_out(&mut self, pdu: &Pdu) {
        self.events.push_back(TargetEvent::NopOut);
        if pdu.bhs.itt() == RESERVED_TAG {
            self.unanswered_pings = 0;
            return;
        }
        let bhs = Bhs::new(opcode::NOP_IN, flag::FINAL)
            .with_itt(pdu.bhs.itt())
            .with_target_transfer_tag(RESERVED_TAG)
            .with_lun_of(&pdu.bhs);
        let echo_len = pdu.data.len().min(self.params.max_send_data_segment);
        let echo = pdu.data.get(..echo_len).unwrap_or_default();
        self.send_response(bhs, echo);
    }

    fn on_scsi_command(&mut self, pdu: Pdu) -> Result<(), ProtocolError> {
        let bhs = pdu.bhs;
        let is_read = bhs.flags() & flag::READ != 0;
        let is_write = bhs.flags() & flag::WRITE != 0;
        let expected_len = bhs.expected_data_len() as usize;
        if self.tasks.index_of(bhs.itt()).is_some() || bhs.itt() == RESERVED_TAG {
            return Err(ProtocolError::TaskTagInUse { itt: bhs.itt() });
        }
        if is_write && (is_read || expected_len > self.config.max_transfer_bytes) {
            return self.on_unservable_write(&bhs);
        }
        if bhs.is_immediate()
            && self.tasks.len() >= self.config.command_window + MAX_IMMEDIATE_COMMANDS
        {
            self.reject(&bhs, reject_reason::IMMEDIATE_COMMAND_REJECT);
            return Ok(());
        }
        let unsolicited_len = self.params.first_burst_len.min(expected_len);
        self.check_unsolicited_data(&bhs, pdu.data.len(), unsolicited_len)?;
        let write_len = if is_write { expected_len } else { 0 };
        let index = self.tasks.insert(Task {
            itt: bhs.itt(),
            lun: bhs.lun(),
            cdb: bhs.cdb(),
            read_len: if is_read { expected_len } else { 0 },
            is_read,
            write: WriteTransfer::new(pdu.data, write_len, unsolicited_len),
        });
        if !is_write || bhs.is_final() {
            self.request_data_or_deliver(index);
        }
        Ok(())
    }

    /// Answers a write that also reads or that is too long.
    ///
    /// # Errors
    /// Fails if unsolicited data follows, since no task would receive that data.
    fn on_unservable_write(&mut self, bhs: &Bhs) -> Result<(), ProtocolError> {
        self.send_check_condition(bhs.itt(), Sense::INVALID_FIELD_IN_CDB);
        if bhs.is_final() {
            return Ok(());
        }
        let limit = self.config.max_transfer_bytes;
        Err(ProtocolError::WriteTooLong {
            len: bhs.expected_data_len() as usize,
            limit,
        })
    }

    /// Checks the immediate data of a command, and the unsolicited data that it announces, against the negotiated
    /// parameters.
    fn check_unsolicited_data(
        &self,
        bhs: &Bhs,
        immediate_len: usize,
        unsolicited_len: usize,
    ) -> Result<(), ProtocolError> {
        let is_write = bhs.flags() & flag::WRITE != 0;
        let immediate_allowed =
            self.params.immediate_data && is_write && immediate_len <= unsolicited_len;
        if immediate_len > 0 && !immediate_allowed {
            return Err(ProtocolError::ImmediateDataTooLong);
        }
        if is_write && !bhs.is_final() && self.params.initial_r2t {
            return Err(ProtocolError::UnsolicitedData);
        }
        Ok(())
    }

    fn on_text_request(&mut self, pdu: &Pdu) -> Result<(), ProtocolError> {
        let mut out = Vec::new();
        for (key, value) in text::parse_pairs(&pdu.data)? {
            if key == "SendTargets" {
                self.push_targets(value, &mut out);
            } else {
                text::push_pair(&mut out, key, "NotUnderstood");
            }
        }
        if out.len() > self.params.max_send_data_segment {
            return Err(ProtocolError::TargetListTooLong);
        }
        let bhs = Bhs::new(opcode::TEXT_RESPONSE, flag::FINAL)
            .with_itt(pdu.bhs.itt())
            .with_target_transfer_tag(RESERVED_TAG);
        self.send_response(bhs, &out);
        Ok(())
    }

    /// Appends the targets that `SendTargets` requests: all, or the one with the given name (appendix C).
    fn push_targets(&self, requested: &str, out: &mut Vec<u8>) {
        let all = requested == "All" || requested.is_empty();
        let address = format!("{},1", self.config.portal_address);
        for name in self
            .config
            .target_names
            .iter()
            .filter(|name| all || *name == requested)
        {
            text::push_pair(out, "TargetName", name);
            text::push_pair(out, "TargetAddress", &address);
        }
    }

    fn on_logout_request(&mut self, bhs: &Bhs) {
        let response = Bhs::new(opcode::LOGOUT_RESPONSE, flag::FINAL)
            .with_itt(bhs.itt())
            .with_logout_times(self.params.time2wait, self.params.time2retain);
        self.send_response(response, &[]);
        self.phase = Phase::Closing;
        self.events.push_back(TargetEvent::Logout);
    }
}
