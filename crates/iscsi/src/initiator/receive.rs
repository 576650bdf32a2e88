//! Handling of the PDUs that an initiator receives.
use super::{InitiatorConnection, InitiatorEvent, Phase, reserved_itt};
use crate::error::ProtocolError;
use crate::pdu::{Bhs, MAX_RETRY_AFTER, Pdu, RESERVED_TAG, async_event, flag, opcode};
use crate::scsi::{Sense, status};
use std::num::NonZeroU16;

/// Lower 14 bits of the status qualifier, which hold its value; the upper two hold its scope (SAM-5, 5.3.2).
const QUALIFIER_BITS: u16 = 0x3fff;
/// Size of the length field before sense data, in bytes (section 11.4.7).
const SENSE_LENGTH_FIELD: usize = 2;
/// Offset of the initiator task tag in the header of a rejected PDU.
const ITT_OFFSET: usize = 16;

impl InitiatorConnection {
    /// Processes bytes received from the stream, in pieces of any size.
    ///
    /// # Errors
    /// Fails if the target violated the protocol or rejected the login; the connection is then to be closed.
    pub fn receive(&mut self, mut input: &[u8]) -> Result<(), ProtocolError> {
        while !input.is_empty() {
            match self.decoder.decode(&mut input)? {
                None => break,
                Some(pdu) => self.on_pdu(pdu)?,
            }
        }
        Ok(())
    }

    fn on_pdu(&mut self, pdu: Pdu) -> Result<(), ProtocolError> {
        if let Phase::Login(_) = self.phase {
            return self.on_login_response(&pdu);
        }
        self.sequence.receive(&pdu.bhs)?;
        match pdu.bhs.opcode() {
            opcode::DATA_IN => self.on_data_in(pdu)?,
            opcode::SCSI_RESPONSE => self.on_scsi_response(&pdu),
            opcode::R2T => self.on_ready_to_transfer(&pdu.bhs)?,
            opcode::NOP_IN => self.on_nop_in(&pdu.bhs),
            opcode::TASK_MANAGEMENT_RESPONSE => self.on_task_management_response(&pdu.bhs),
            opcode::REJECT => self.on_reject(&pdu),
            opcode::ASYNC_MESSAGE => self.on_async_message(&pdu.bhs)?,
            opcode::LOGOUT_RESPONSE => {
                self.phase = Phase::LoggedOut;
                self.events.push_back(InitiatorEvent::LoggedOut);
            }
            opcode::TEXT_RESPONSE => self
                .events
                .push_back(InitiatorEvent::TextResponse(pdu.data)),
            opcode => return Err(ProtocolError::UnexpectedResponse { opcode }),
        }
        Ok(())
    }

    fn on_login_response(&mut self, pdu: &Pdu) -> Result<(), ProtocolError> {
        let Phase::Login(login) = &mut self.phase else {
            return Ok(());
        };
        let next_request = login.on_response(pdu)?;
        self.sequence.start(&pdu.bhs);
        if let Some(request) = next_request {
            let request = self.sequence.number_immediate(request);
            self.send_buffer.push(request, &[]);
            return Ok(());
        }
        self.params = login.params.clone();
        self.decoder
            .set_limits(self.params.digests, self.params.max_recv_data_segment);
        self.send_buffer.set_digests(self.params.digests);
        self.phase = Phase::FullFeature;
        self.events.push_back(InitiatorEvent::LoggedIn);
        Ok(())
    }

    fn on_data_in(&mut self, pdu: Pdu) -> Result<(), ProtocolError> {
        let bhs = pdu.bhs;
        let has_status = bhs.flags() & flag::STATUS != 0;
        let Some(command) = self.commands.get_mut(bhs.itt()) else {
            self.unmatched_responses += u64::from(has_status);
            return Ok(());
        };
        if !command.aborted {
            command.read.receive(&bhs, pdu.data)?;
        }
        if has_status {
            self.complete(bhs.itt(), bhs.status(), None, None);
        }
        Ok(())
    }

    fn on_scsi_response(&mut self, pdu: &Pdu) {
        if self.commands.get_mut(pdu.bhs.itt()).is_none() {
            self.unmatched_responses += 1;
            return;
        }
        let sense = pdu
            .data
            .get(SENSE_LENGTH_FIELD..)
            .and_then(Sense::from_fixed_format);
        // Response codes other than "command completed at target" report a failure of the target; the status is then
        // ignored.
        let status = if pdu.bhs.response() == 0 {
            pdu.bhs.status()
        } else {
            status::CHECK_CONDITION
        };
        self.complete(pdu.bhs.itt(), status, sense, self.retry_after(&pdu.bhs));
    }

    /// Returns the retry delay in the status qualifier of a response, in units of 100 ms; `None` if it states none.
    fn retry_after(&self, bhs: &Bhs) -> Option<NonZeroU16> {
        if !self.params.has_status_qualifier() {
            return None;
        }
        let qualifier = NonZeroU16::new(bhs.status_qualifier() & QUALIFIER_BITS)?;
        (qualifier.get() <= MAX_RETRY_AFTER).then_some(qualifier)
    }

    /// Reports the completion of a command. Does nothing for an aborted command, which ends with the response to its
    /// ABORT TASK.
    fn complete(
        &mut self,
        itt: u32,
        status: u8,
        sense: Option<Sense>,
        retry_after: Option<NonZeroU16>,
    ) {
        if self
            .commands
            .get_mut(itt)
            .is_none_or(|command| command.aborted)
        {
            return;
        }
        let Some(command) = self.commands.remove(itt) else {
            return;
        };
        self.events.push_back(InitiatorEvent::CommandCompleted {
            tag: command.tag,
            status,
            sense,
            data: command.read.into_data(),
            retry_after,
        });
    }

    fn on_ready_to_transfer(&mut self, bhs: &Bhs) -> Result<(), ProtocolError> {
        let Some(mut command) = self.commands.remove(bhs.itt()) else {
            return Ok(());
        };
        if !command.aborted {
            let end = command.write.burst_end(bhs)?;
            self.send_burst(&mut command, bhs.target_transfer_tag(), end);
        }
        self.commands.restore(command);
        Ok(())
    }

    fn on_nop_in(&mut self, bhs: &Bhs) {
        if bhs.target_transfer_tag() == RESERVED_TAG {
            return;
        }
        let answer = self
            .immediate_request(opcode::NOP_OUT, RESERVED_TAG)
            .with_target_transfer_tag(bhs.target_transfer_tag())
            .with_lun_of(bhs);
        self.send_buffer.push(answer, &[]);
    }

    fn on_task_management_response(&mut self, bhs: &Bhs) {
        let itt = bhs.itt() & !reserved_itt::ABORT_TASK_BIT;
        if self
            .commands
            .get_mut(itt)
            .is_some_and(|command| command.aborted)
            && let Some(command) = self.commands.remove(itt)
        {
            self.events
                .push_back(InitiatorEvent::CommandAborted { tag: command.tag });
        }
    }

    fn on_async_message(&mut self, bhs: &Bhs) -> Result<(), ProtocolError> {
        match bhs.async_event() {
            async_event::LOGOUT_REQUEST => self.events.push_back(InitiatorEvent::LogoutRequested),
            async_event::SCSI | async_event::NEGOTIATION_REQUEST => {}
            event => return Err(ProtocolError::DroppedByTarget { event }),
        }
        Ok(())
    }

    /// Handles a Reject, whose data is the header of the rejected PDU.
    fn on_reject(&mut self, pdu: &Pdu) {
        let Some(itt) = pdu.data.get(ITT_OFFSET..ITT_OFFSET + 4) else {
            return;
        };
        let itt = u32::from_be_bytes([itt[0], itt[1], itt[2], itt[3]]);
        if let Some(command) = self.commands.remove(itt) {
            let event = InitiatorEvent::CommandRejected {
                tag: command.tag,
                reason: pdu.bhs.response(),
            };
            self.events.push_back(event);
        }
    }
}
