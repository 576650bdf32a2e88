//! Login phase of both sides (sections 6.3, 11.12 and 11.13).
mod initiator;
mod target;

pub(crate) use initiator::InitiatorLogin;
pub(crate) use target::{LoginOutcome, TargetLogin};

use crate::params::ParamError;
use crate::text::TextError;
use std::fmt;
use thiserror::Error;

/// Stages of a login: values of the CSG and NSG fields (section 11.12.3).
mod stage {
    /// Stage in which operational parameters are negotiated.
    pub(super) const OPERATIONAL: u8 = 1;
    /// Value that the standard reserves.
    pub(super) const RESERVED: u8 = 2;
    /// Full feature phase, in which commands can be sent.
    pub(super) const FULL_FEATURE: u8 = 3;
}

/// Initiator, target and session of a login, as stated in its first request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoginIdentity {
    /// `InitiatorName`.
    pub initiator: String,
    /// `TargetName`; `None` in a discovery session that names no target.
    pub target: Option<String>,
    /// Whether `SessionType` is Discovery.
    pub discovery: bool,
    /// Initiator session identifier (ISID).
    pub isid: [u8; 6],
    /// Target session identifying handle (TSIH); 0 for a new session.
    pub tsih: u16,
}

/// Status class and detail of a login response (section 11.13.5).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoginStatus {
    /// Status class: 0 for success, 2 for an initiator error, 3 for a target error.
    pub class: u8,
    /// Status detail, which identifies the error within its class.
    pub detail: u8,
}

impl LoginStatus {
    /// Initiator error that no other status describes.
    pub const INITIATOR_ERROR: LoginStatus = LoginStatus {
        class: 2,
        detail: 0,
    };
    /// Authentication failure: the target supports none of the offered methods.
    pub const AUTHENTICATION: LoginStatus = LoginStatus {
        class: 2,
        detail: 1,
    };
    /// The target does not exist.
    pub const NOT_FOUND: LoginStatus = LoginStatus {
        class: 2,
        detail: 3,
    };
    /// The target does not support the protocol versions in the request.
    pub const VERSION: LoginStatus = LoginStatus {
        class: 2,
        detail: 5,
    };
    /// The request lacks a required parameter, such as a name.
    pub const MISSING: LoginStatus = LoginStatus {
        class: 2,
        detail: 7,
    };
    /// The session that the TSIH identifies does not exist.
    pub const NO_SESSION: LoginStatus = LoginStatus {
        class: 2,
        detail: 10,
    };
    /// The request is invalid in the current stage of the login.
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

/// Policy of a target that decides which logins are admitted.
pub trait LoginPolicy {
    /// Admits a login and returns the handle of its session (TSIH, never 0).
    ///
    /// # Errors
    /// Returns the status with which to reject the login.
    fn admit(&mut self, identity: &LoginIdentity) -> Result<u16, LoginStatus>;
}

/// Reason for which a target rejects a login.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum LoginError {
    /// The initiator does not support version 0 of the protocol.
    #[error("initiator does not support protocol version 0")]
    Version,
    /// A request that ends its stage also announces more text.
    #[error("transit and continue bits of the login request are both set")]
    TransitAndContinue,
    /// The request is for a stage other than the current one.
    #[error("login request is not for the current stage of the login")]
    WrongStage,
    /// The next stage is reserved or does not come after the current one.
    #[error("next stage of the login does not follow the current one")]
    WrongNextStage,
    /// The login text, which may span several requests, is too long.
    #[error("login text exceeds 16 KiB")]
    TextTooLong,
    /// The login text is malformed.
    #[error(transparent)]
    Text(#[from] TextError),
    /// The first request has no `InitiatorName`.
    #[error("InitiatorName is missing from the first login request")]
    MissingInitiatorName,
    /// The first request of a normal session has no `TargetName`.
    #[error("TargetName is missing from the first login request of a normal session")]
    MissingTargetName,
    /// The login policy rejected the initiator.
    #[error("login policy does not admit initiator {initiator}")]
    NotAdmitted {
        /// `InitiatorName`.
        initiator: String,
        /// Status that the login policy returned.
        status: LoginStatus,
    },
    /// The initiator requires authentication.
    #[error("AuthMethod does not offer None, the only supported method")]
    AuthenticationRequired,
    /// An operational parameter is invalid.
    #[error(transparent)]
    Param(#[from] ParamError),
}

impl LoginError {
    /// Returns the status for the login response.
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
