//! Initiator side of a login, which starts with the negotiation of operational parameters, without authentication.
use super::{LoginStatus, stage};
use crate::error::ProtocolError;
use crate::params::{ProposedParams, SessionParams};
use crate::pdu::{Bhs, Pdu, flag, opcode};
use crate::text;

/// Maximum number of login requests after the first.
const MAX_FURTHER_REQUESTS: u32 = 8;
/// Flags of every login request: a transition from operational negotiation to the full feature phase.
const REQUEST_FLAGS: u8 = flag::FINAL | stage::OPERATIONAL << 2 | stage::FULL_FEATURE;

/// State of a login at its initiator.
pub(crate) struct InitiatorLogin {
    /// Parameters negotiated so far.
    pub params: SessionParams,
    isid: [u8; 6],
    further_requests: u32,
}

impl InitiatorLogin {
    /// Starts a login and returns it with the header and text of its first request. `target` is `None` for a
    /// discovery session.
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

    /// Processes a login response. Returns the header of the next request, or `None` if the login is complete.
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
