//! Target side of a login.
use super::{LoginError, LoginIdentity, LoginPolicy, stage};
use crate::params::{ProposedParams, SessionParams};
use crate::pdu::{Bhs, Pdu, flag, opcode};
use crate::text;

/// Maximum length of a login text that spans several requests (C bit), in bytes. The keys of section 13 need less
/// than 2 KiB.
const MAX_TEXT_LEN: usize = 16 * 1024;
/// Bits of byte 1 that hold the current stage (CSG).
const CURRENT_STAGE_BITS: u8 = 0x0c;

/// State of a login at its target.
#[derive(Default)]
pub(crate) struct TargetLogin {
    /// Parameters negotiated so far.
    pub params: SessionParams,
    proposal: ProposedParams,
    /// Admitted login, set once the text of the first request is complete.
    admitted: Option<AdmittedLogin>,
    stage: u8,
    portal_group_sent: bool,
    /// Text received so far that continues in the next request.
    text: Vec<u8>,
}

/// Login that the policy has admitted.
struct AdmittedLogin {
    identity: LoginIdentity,
    /// Handle of the session (TSIH).
    tsih: u16,
}

/// Response to a login request, with the resulting state of the login.
pub(crate) struct LoginReply {
    /// Header of the response, without sequence numbers.
    pub bhs: Bhs,
    pub data: Vec<u8>,
    pub outcome: LoginOutcome,
}

/// State of a login after a request.
pub(crate) enum LoginOutcome {
    /// The login needs further requests.
    InProgress,
    /// The login is complete: the negotiated parameters apply after the response.
    Completed(LoginIdentity),
    /// The login is rejected: the connection is closed after the response is sent.
    Rejected(LoginError),
}

/// Fields in the flags of a login request (section 11.12).
struct Stages {
    /// Whether the initiator requests a transition to the next stage (T bit).
    transit: bool,
    /// Whether the text continues in the next request (C bit).
    continues: bool,
    current: u8,
    next: u8,
}

impl Stages {
    fn of(bhs: &Bhs) -> Self {
        Stages {
            transit: bhs.is_final(),
            continues: bhs.flags() & flag::CONTINUE != 0,
            current: (bhs.flags() >> 2) & 3,
            next: bhs.flags() & 3,
        }
    }
}

impl TargetLogin {
    pub fn new(proposal: ProposedParams) -> Self {
        TargetLogin {
            params: SessionParams::before_negotiation(&proposal),
            proposal,
            ..TargetLogin::default()
        }
    }

    /// Processes a login request and returns the response to it.
    pub fn on_request(&mut self, pdu: &Pdu, policy: &mut dyn LoginPolicy) -> LoginReply {
        self.try_request(pdu, policy).unwrap_or_else(|error| {
            let status = error.status();
            let bhs = self
                .response(pdu, pdu.bhs.flags() & CURRENT_STAGE_BITS)
                .with_login_status(status.class, status.detail);
            LoginReply {
                bhs,
                data: Vec::new(),
                outcome: LoginOutcome::Rejected(error),
            }
        })
    }

    fn response(&self, pdu: &Pdu, flags: u8) -> Bhs {
        let admitted = self.admitted.as_ref();
        Bhs::new(opcode::LOGIN_RESPONSE, flags)
            .with_isid(pdu.bhs.isid())
            .with_tsih(admitted.map_or(pdu.bhs.tsih(), |login| login.tsih))
            .with_itt(pdu.bhs.itt())
    }

    fn try_request(
        &mut self,
        pdu: &Pdu,
        policy: &mut dyn LoginPolicy,
    ) -> Result<LoginReply, LoginError> {
        let stages = Stages::of(&pdu.bhs);
        self.check_stages(pdu, &stages)?;
        self.stage = stages.current;
        if self.text.len() + pdu.data.len() > MAX_TEXT_LEN {
            return Err(LoginError::TextTooLong);
        }
        self.text.extend_from_slice(&pdu.data);
        if stages.continues {
            let bhs = self.response(pdu, stages.current << 2);
            return Ok(LoginReply {
                bhs,
                data: Vec::new(),
                outcome: LoginOutcome::InProgress,
            });
        }
        let text = std::mem::take(&mut self.text);
        let pairs = text::parse_pairs(&text)?;
        let identity = match &self.admitted {
            Some(login) => login.identity.clone(),
            None => self.admit(&pdu.bhs, &pairs, policy)?,
        };
        let data = self.answer_keys(&pairs, stages.current)?;
        Ok(self.reply(pdu, &stages, data, identity))
    }

    /// Asks the policy to admit the login, once the text of the first request is complete.
    fn admit(
        &mut self,
        bhs: &Bhs,
        pairs: &[(&str, &str)],
        policy: &mut dyn LoginPolicy,
    ) -> Result<LoginIdentity, LoginError> {
        let identity = identify(bhs, pairs)?;
        let tsih = policy
            .admit(&identity)
            .map_err(|status| LoginError::NotAdmitted {
                initiator: identity.initiator.clone(),
                status,
            })?;
        self.admitted = Some(AdmittedLogin {
            identity: identity.clone(),
            tsih,
        });
        Ok(identity)
    }

    fn check_stages(&self, pdu: &Pdu, stages: &Stages) -> Result<(), LoginError> {
        if pdu.bhs.version_min() > 0 {
            return Err(LoginError::Version);
        }
        if stages.transit && stages.continues {
            return Err(LoginError::TransitAndContinue);
        }
        let is_first = self.admitted.is_none() && stages.current <= stage::OPERATIONAL;
        if stages.current != self.stage && !is_first {
            return Err(LoginError::WrongStage);
        }
        if stages.transit && (stages.next <= stages.current || stages.next == stage::RESERVED) {
            return Err(LoginError::WrongNextStage);
        }
        Ok(())
    }

    /// Returns the text that answers the keys of a request.
    fn answer_keys(
        &mut self,
        pairs: &[(&str, &str)],
        current_stage: u8,
    ) -> Result<Vec<u8>, LoginError> {
        let mut out = Vec::new();
        for (key, value) in pairs {
            match *key {
                "InitiatorName" | "InitiatorAlias" | "TargetName" | "SessionType" => {}
                "AuthMethod" if value.split(',').any(|method| method == "None") => {
                    text::push_pair(&mut out, "AuthMethod", "None");
                }
                "AuthMethod" => return Err(LoginError::AuthenticationRequired),
                _ => self.params.answer(&self.proposal, key, value, &mut out)?,
            }
        }
        if !self.portal_group_sent {
            text::push_pair(&mut out, "TargetPortalGroupTag", "1");
            self.portal_group_sent = true;
        }
        if current_stage == stage::OPERATIONAL {
            let length = self.params.max_recv_data_segment.to_string();
            text::push_pair(&mut out, "MaxRecvDataSegmentLength", &length);
        }
        Ok(out)
    }

    fn reply(
        &mut self,
        pdu: &Pdu,
        stages: &Stages,
        data: Vec<u8>,
        identity: LoginIdentity,
    ) -> LoginReply {
        let mut flags = stages.current << 2;
        let mut outcome = LoginOutcome::InProgress;
        if stages.transit {
            flags |= flag::FINAL | stages.next;
            self.stage = stages.next;
            if stages.next == stage::FULL_FEATURE {
                outcome = LoginOutcome::Completed(identity);
            }
        }
        LoginReply {
            bhs: self.response(pdu, flags),
            data,
            outcome,
        }
    }
}

/// Reads the identity of a login from its first request.
fn identify(bhs: &Bhs, pairs: &[(&str, &str)]) -> Result<LoginIdentity, LoginError> {
    let find = |key| pairs.iter().find(|pair| pair.0 == key).map(|pair| pair.1);
    let initiator = find("InitiatorName")
        .filter(|name| !name.is_empty())
        .ok_or(LoginError::MissingInitiatorName)?;
    let discovery = find("SessionType") == Some("Discovery");
    let target = find("TargetName");
    if target.is_none() && !discovery {
        return Err(LoginError::MissingTargetName);
    }
    Ok(LoginIdentity {
        initiator: initiator.to_owned(),
        target: target.map(str::to_owned),
        discovery,
        isid: bhs.isid(),
        tsih: bhs.tsih(),
    })
}
