//! An initiator's side of one login: it negotiates operational parameters at once, without authentication.
use super::{LoginStatus, stage};
use crate::error::ProtocolError;
use crate::params::{ProposedParams, SessionParams};
use crate::pdu::{Bhs, Pdu, flag, opcode};
use crate::text;

/// Most requests behind the first.
const MAX_FURTHER_REQUESTS: u32 = 8;
/// Every request asks to go on from operational negotiation to the full feature phase.
const REQUEST_FLAGS: u8 = flag::FINAL | stage::OPERATIONAL << 2 | stage::FULL_FEATURE;

/// The state of a login at its initiator.
pub(crate) struct InitiatorLogin {
    /// What has been negotiated so far.
    pub params: SessionParams,
    isid: [u8; 6],
    further_requests: u32,
}

impl InitiatorLogin {
    /// Begins a login; returns the header and the text of the first request. `target` is none for a discovery
    /// session.
    pub fn start(
        name: &str,
        target: Option<&str>,
        isid: [u8; 6],
        proposal: &ProposedParams,
    ) -> (Self, Bhs, Vec<u8>) {
        let mut data = Vec::new();
        text::push_pair(&mut data, "InitiatorName", name);
        match target {
            Some(target) => {
                text::push_pair(&mut data, "SessionType", "Normal");
                text::push_pair(&mut data, "TargetName", target);
            }
            None => text::push_pair(&mut data, "SessionType", "Discovery"),
        }
        SessionParams::offer(proposal, &mut data);
        let params = SessionParams::before_negotiation(proposal);
        let login = InitiatorLogin {
            params,
            isid,
            further_requests: 0,
        };
        let bhs = login.request();
        (login, bhs, data)
    }

    fn request(&self) -> Bhs {
        Bhs::new(opcode::LOGIN_REQUEST, REQUEST_FLAGS)
            .with_immediate()
            .with_isid(self.isid)
            .with_itt(0)
    }

    /// Takes a response; returns the header of the next request, or none once logged in.
    pub fn on_response(&mut self, pdu: &Pdu) -> Result<Option<Bhs>, ProtocolError> {
        let bhs = &pdu.bhs;
        if bhs.opcode() != opcode::LOGIN_RESPONSE {
            return Err(ProtocolError::ExpectedLoginResponse {
                opcode: bhs.opcode(),
            });
        }
        let status = LoginStatus {
            class: bhs.login_status_class(),
            detail: bhs.login_status_detail(),
        };
        if status.class != 0 {
            return Err(ProtocolError::LoginStatus(status));
        }
        for (key, value) in text::parse_pairs(&pdu.data)? {
            self.params.accept_answer(key, value)?;
        }
        if bhs.is_final() && bhs.flags() & 3 == stage::FULL_FEATURE {
            return Ok(None);
        }
        self.further_requests += 1;
        if self.further_requests > MAX_FURTHER_REQUESTS {
            return Err(ProtocolError::LoginTooLong);
        }
        Ok(Some(self.request()))
    }
}
