//! The login phase, both sides (sections 6.3, 11.12 and 11.13).
mod initiator;
mod target;

pub(crate) use initiator::InitiatorLogin;
pub(crate) use target::{LoginOutcome, TargetLogin};

use crate::params::ParamError;
use crate::text::TextError;
use std::fmt;
use thiserror::Error;

/// Stages of a login, as CSG and NSG name them (section 11.12.3).
mod stage {
    /// Negotiation of operational parameters.
    pub(super) const OPERATIONAL: u8 = 1;
    /// A value that the standard reserves.
    pub(super) const RESERVED: u8 = 2;
    /// Commands can be sent.
    pub(super) const FULL_FEATURE: u8 = 3;
}

/// Who logs in to what, by the first login request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoginIdentity {
    /// `InitiatorName`.
    pub initiator: String,
    /// `TargetName`; none in a discovery session that names no target.
    pub target: Option<String>,
    /// Whether `SessionType` is Discovery.
    pub discovery: bool,
    /// Initiator session identifier.
    pub isid: [u8; 6],
    /// Target session identifying handle; 0 for a new session.
    pub tsih: u16,
}

/// Status class and detail of a login response (section 11.13.5).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoginStatus {
    /// 0 for success, 2 for an error of the initiator, 3 for one of the target.
    pub class: u8,
    /// Which error of its class.
    pub detail: u8,
}

impl LoginStatus {
    /// Initiator error: something else is wrong with the request.
    pub const INITIATOR_ERROR: LoginStatus = LoginStatus {
        class: 2,
        detail: 0,
    };
    /// Authentication failure: the target does not support any method that was offered.
    pub const AUTHENTICATION: LoginStatus = LoginStatus {
        class: 2,
        detail: 1,
    };
    /// The target does not exist.
    pub const NOT_FOUND: LoginStatus = LoginStatus {
        class: 2,
        detail: 3,
    };
    /// The target does not support the versions in the request.
    pub const VERSION: LoginStatus = LoginStatus {
        class: 2,
        detail: 5,
    };
    /// Missing parameter, such as a name.
    pub const MISSING: LoginStatus = LoginStatus {
        class: 2,
        detail: 7,
    };
    /// The session that the TSIH names does not exist.
    pub const NO_SESSION: LoginStatus = LoginStatus {
        class: 2,
        detail: 10,
    };
    /// The request is invalid in the present stage of the login.
    pub const INVALID: LoginStatus = LoginStatus {
        class: 2,
        detail: 11,
    };
    /// The target is not operational.
    pub const UNAVAILABLE: LoginStatus = LoginStatus {
        class: 3,
        detail: 1,
    };
    /// The target lacks the resources for another session.
    pub const OUT_OF_RESOURCES: LoginStatus = LoginStatus {
        class: 3,
        detail: 2,
    };
}

impl fmt::Display for LoginStatus {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:02x}{:02x}", self.class, self.detail)
    }
}

/// Decides at a target which logins are admitted.
pub trait LoginPolicy {
    /// Admits a login; returns the session's handle (TSIH, never 0).
    ///
    /// # Errors
    /// The status to reject the login with.
    fn admit(&mut self, identity: &LoginIdentity) -> Result<u16, LoginStatus>;
}

/// Why a target rejects a login.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum LoginError {
    /// The initiator does not support version 0 of the protocol.
    #[error("expected a version range with 0 in it")]
    Version,
    /// A request that ends its stage announces more text.
    #[error("transit and continue bits both set")]
    TransitAndContinue,
    /// The request is for another stage.
    #[error("stage is not the one this login is in")]
    WrongStage,
    /// The next stage is reserved, or not behind the present one.
    #[error("next stage does not follow the present one")]
    WrongNextStage,
    /// A text in several requests is too long.
    #[error("login text past 16 KiB")]
    TextTooLong,
    /// The text is malformed.
    #[error(transparent)]
    Text(#[from] TextError),
    /// The first request has no `InitiatorName`.
    #[error("InitiatorName: expected in the first request")]
    MissingInitiatorName,
    /// The first request of a normal session has no `TargetName`.
    #[error("TargetName: expected in a normal session")]
    MissingTargetName,
    /// The login policy rejected the initiator.
    #[error("{initiator} not let in")]
    NotAdmitted {
        /// `InitiatorName`.
        initiator: String,
        /// The policy's status.
        status: LoginStatus,
    },
    /// The initiator insists on authentication.
    #[error("AuthMethod: expected None among them")]
    AuthenticationRequired,
    /// An operational parameter is invalid.
    #[error(transparent)]
    Param(#[from] ParamError),
}

impl LoginError {
    /// The status that the login response carries.
    pub fn status(&self) -> LoginStatus {
        match self {
            LoginError::Version => LoginStatus::VERSION,
            LoginError::TransitAndContinue
            | LoginError::WrongStage
            | LoginError::WrongNextStage => LoginStatus::INVALID,
            LoginError::TextTooLong => LoginStatus::OUT_OF_RESOURCES,
            LoginError::Text(_) | LoginError::Param(_) => LoginStatus::INITIATOR_ERROR,
            LoginError::MissingInitiatorName | LoginError::MissingTargetName => {
                LoginStatus::MISSING
            }
            LoginError::NotAdmitted { status, .. } => *status,
            LoginError::AuthenticationRequired => LoginStatus::AUTHENTICATION,
        }
    }
}
