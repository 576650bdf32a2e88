//! The login phase, both sides (RFC 7143, sections 6.3 and 11.12 to 11.13).
use crate::params::{Params, ProposedParams};
use crate::pdu::{Bhs, Pdu, flag, opcode};
use crate::text;

const OPERATIONAL: u8 = 1;
const FULL_FEATURE: u8 = 3;
/// Most bytes of one text that comes in pieces (C bit): the keys of section 13 take under 2 KiB.
const TEXT_MOST: usize = 16 * 1024;

/// LoginIdentity logs in, as told by the first login request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoginIdentity {
    pub initiator: String,
    pub target: Option<String>,
    pub discovery: bool,
    pub isid: [u8; 6],
    pub tsih: u16,
}

/// Status class and detail of a login response (section 11.13.5).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoginStatus {
    pub class: u8,
    pub detail: u8,
}

impl LoginStatus {
    pub const INITIATOR_ERROR: LoginStatus = LoginStatus { class: 2, detail: 0 };
    pub const AUTHENTICATION: LoginStatus = LoginStatus { class: 2, detail: 1 };
    pub const NOT_FOUND: LoginStatus = LoginStatus { class: 2, detail: 3 };
    pub const VERSION: LoginStatus = LoginStatus { class: 2, detail: 5 };
    pub const TOO_MANY: LoginStatus = LoginStatus { class: 2, detail: 6 };
    pub const MISSING: LoginStatus = LoginStatus { class: 2, detail: 7 };
    pub const NO_SESSION: LoginStatus = LoginStatus { class: 2, detail: 10 };
    pub const INVALID: LoginStatus = LoginStatus { class: 2, detail: 11 };
    pub const UNAVAILABLE: LoginStatus = LoginStatus { class: 3, detail: 1 };
    pub const OUT_OF_RESOURCES: LoginStatus = LoginStatus { class: 3, detail: 2 };
}

/// Decides whether a login is let in; gives the session's handle (TSIH, never 0).
pub trait LoginPolicy {
    fn admit(&mut self, who: &LoginIdentity) -> Result<u16, LoginStatus>;
}

/// A target's side of one login.
#[derive(Default)]
pub struct TargetLogin {
    pub params: Params,
    wishes: ProposedParams,
    who: Option<LoginIdentity>,
    tsih: u16,
    stage: u8,
    told: bool,
    text: Vec<u8>,
}

/// What a login request leads to: the answer, and where the login stands.
pub struct Step {
    pub bhs: Bhs,
    pub data: Vec<u8>,
    pub state: State,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum State {
    Going,
    /// Logged in; the answer goes out first, then the agreed parameters hold.
    Done(LoginIdentity),
    /// Turned away, with the reason in words; the answer goes out, then the connection closes.
    Refused(LoginStatus, String),
}

impl TargetLogin {
    pub fn new(wishes: ProposedParams) -> Self {
        TargetLogin { params: Params::wishing(&wishes), wishes, ..TargetLogin::default() }
    }

    /// Takes a login request. The answer lacks its serial numbers.
    pub fn request(&mut self, pdu: &Pdu, admit: &mut dyn LoginPolicy) -> Step {
        match self.try_request(pdu, admit) {
            Ok(step) => step,
            Err((refusal, why)) => {
                let bhs = self
                    .answer(pdu, 0)
                    .with_byte(1, pdu.bhs.flags() & 0x0c)
                    .with_byte(36, refusal.class)
                    .with_byte(37, refusal.detail);
                Step { bhs, data: Vec::new(), state: State::Refused(refusal, why) }
            }
        }
    }

    fn answer(&self, pdu: &Pdu, flags: u8) -> Bhs {
        Bhs::new(opcode::LOGIN_RESPONSE, flags)
            .with_isid(pdu.bhs.isid())
            .with_u16(14, if self.tsih != 0 { self.tsih } else { pdu.bhs.tsih() })
            .with_itt(pdu.bhs.itt())
    }

    fn try_request(&mut self, pdu: &Pdu, admit: &mut dyn LoginPolicy) -> Result<Step, (LoginStatus, String)> {
        let bhs = &pdu.bhs;
        let (transit, more) = (bhs.is_final(), bhs.flags() & flag::CONTINUE != 0);
        let (csg, nsg) = ((bhs.flags() >> 2) & 3, bhs.flags() & 3);
        let invalid = |why: &str| (LoginStatus::INVALID, why.to_owned());
        if bhs.byte(3) > 0 {
            return Err((LoginStatus::VERSION, "expected a version range with 0 in it".into()));
        }
        if transit && more {
            return Err(invalid("transit and continue bits both set"));
        }
        if csg != self.stage && !(self.who.is_none() && csg <= OPERATIONAL) {
            return Err(invalid("stage is not the one this login is in"));
        }
        if transit && (nsg <= csg || nsg == 2) {
            return Err(invalid("next stage does not follow the present one"));
        }
        self.stage = csg;
        if self.text.len() + pdu.data.len() > TEXT_MOST {
            return Err((LoginStatus::OUT_OF_RESOURCES, "login text past 16 KiB".into()));
        }
        self.text.extend_from_slice(&pdu.data);
        if more {
            let bhs = self.answer(pdu, csg << 2);
            return Ok(Step { bhs, data: Vec::new(), state: State::Going });
        }
        let text = std::mem::take(&mut self.text);
        let pairs = text::pairs(&text).map_err(|e| (LoginStatus::INITIATOR_ERROR, e.0))?;
        if self.who.is_none() {
            let find = |key| pairs.iter().find(|p| p.0 == key).map(|p| p.1);
            let initiator = find("InitiatorName").filter(|n| !n.is_empty()).ok_or_else(|| {
                (LoginStatus::MISSING, "InitiatorName: expected in the first request".into())
            })?;
            let discovery = find("SessionType") == Some("Discovery");
            let target = find("TargetName");
            if target.is_none() && !discovery {
                return Err((LoginStatus::MISSING, "TargetName: expected in a normal session".into()));
            }
            let who = LoginIdentity {
                initiator: initiator.to_owned(),
                target: target.map(str::to_owned),
                discovery,
                isid: bhs.isid(),
                tsih: bhs.tsih(),
            };
            self.tsih = admit.admit(&who).map_err(|r| (r, format!("{} not let in", who.initiator)))?;
            self.who = Some(who);
        }
        let mut out = Vec::new();
        for (key, value) in &pairs {
            match *key {
                "InitiatorName" | "InitiatorAlias" | "TargetName" | "SessionType" => {}
                "AuthMethod" => {
                    if !value.split(',').any(|v| v == "None") {
                        return Err((
                            LoginStatus::AUTHENTICATION,
                            "AuthMethod: expected None among them".into(),
                        ));
                    }
                    text::put(&mut out, "AuthMethod", "None");
                }
                _ => self
                    .params
                    .answer(&self.wishes, key, value, &mut out)
                    .map_err(|why| (LoginStatus::INITIATOR_ERROR, why))?,
            }
        }
        if !self.told {
            text::put(&mut out, "TargetPortalGroupTag", "1");
            self.told = true;
        }
        if csg == OPERATIONAL {
            text::put(&mut out, "MaxRecvDataSegmentLength", &self.params.max_recv_data_segment.to_string());
        }
        let flags = csg << 2 | if transit { flag::FINAL | nsg } else { 0 };
        let mut state = State::Going;
        if transit {
            self.stage = nsg;
            if nsg == FULL_FEATURE {
                state = State::Done(self.who.clone().expect("known by now"));
            }
        }
        Ok(Step { bhs: self.answer(pdu, flags), data: out, state })
    }
}

/// An initiator's side of one login: straight into operational negotiation, then full feature.
pub struct InitiatorLogin {
    pub params: Params,
    isid: [u8; 6],
    sent: u32,
}

impl InitiatorLogin {
    /// The first request. `discovery` names no target.
    pub fn start(
        name: &str,
        target: Option<&str>,
        isid: [u8; 6],
        wishes: &ProposedParams,
    ) -> (Self, Bhs, Vec<u8>) {
        let mut data = Vec::new();
        text::put(&mut data, "InitiatorName", name);
        match target {
            Some(target) => {
                text::put(&mut data, "SessionType", "Normal");
                text::put(&mut data, "TargetName", target);
            }
            None => text::put(&mut data, "SessionType", "Discovery"),
        }
        Params::offer(wishes, &mut data);
        let login = InitiatorLogin { params: Params::wishing(wishes), isid, sent: 0 };
        let bhs = login.request(flag::FINAL | OPERATIONAL << 2 | FULL_FEATURE);
        (login, bhs, data)
    }

    fn request(&self, flags: u8) -> Bhs {
        Bhs::new(opcode::LOGIN_REQUEST, flags).with_immediate().with_isid(self.isid).with_itt(0)
    }

    /// Takes a response: none when logged in, else the next request. Error: why it came to nothing.
    pub fn response(&mut self, pdu: &Pdu) -> Result<Option<Bhs>, String> {
        let bhs = &pdu.bhs;
        if bhs.opcode() != opcode::LOGIN_RESPONSE {
            return Err(format!("opcode {:#04x} during login", bhs.opcode()));
        }
        if bhs.byte(36) != 0 {
            return Err(format!("login refused, status {:02x}{:02x}", bhs.byte(36), bhs.byte(37)));
        }
        for (key, value) in text::pairs(&pdu.data).map_err(|e| e.0)? {
            self.params.accept(key, value)?;
        }
        if bhs.is_final() && bhs.flags() & 3 == FULL_FEATURE {
            return Ok(None);
        }
        self.sent += 1;
        if self.sent > 8 {
            return Err("login goes on after eight requests".into());
        }
        Ok(Some(self.request(flag::FINAL | OPERATIONAL << 2 | FULL_FEATURE)))
    }
}
