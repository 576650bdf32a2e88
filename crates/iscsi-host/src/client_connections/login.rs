//! Logins of clients, as the admission controller decides them.
use super::ClientId;
use mallowseam_connection_policy::admission::{AdmissionController, LoginRejection};
use mallowseam_iscsi::login::{LoginIdentity, LoginPolicy, LoginStatus};

/// Passes a login to the admission controller.
pub(super) struct LoginAdmission<'a> {
    pub(super) admission: &'a mut AdmissionController,
    pub(super) client: ClientId,
    /// Connections that a login has taken over.
    pub(super) replaced: &'a mut Vec<ClientId>,
}

impl LoginPolicy for LoginAdmission<'_> {
    fn admit(&mut self, who: &LoginIdentity) -> Result<u16, LoginStatus> {
        let index = self.client as usize;
        let session = self.admission.login(
            index,
            &who.initiator,
            who.target.as_deref(),
            who.isid,
            who.tsih,
        );
        let session = session.map_err(|rejection| match rejection {
            LoginRejection::NoSuchTarget => LoginStatus::NOT_FOUND,
            LoginRejection::NoSuchSession => LoginStatus::NO_SESSION,
            LoginRejection::Draining => LoginStatus::UNAVAILABLE,
            LoginRejection::OutOfResources => LoginStatus::OUT_OF_RESOURCES,
        })?;
        self.replaced
            .extend(session.replaces.map(|index| index as ClientId));
        Ok(session.handle)
    }
}
