//! Passes logins of clients to the admission controller.
use super::ClientId;
use mallowseam_connection_policy::admission::{AdmissionController, LoginRejection};
use mallowseam_iscsi::login::{LoginIdentity, LoginPolicy, LoginStatus};

/// Login policy of one connection, which the admission controller decides.
pub(super) struct LoginAdmission<'a> {
    pub(super) admission: &'a mut AdmissionController,
    pub(super) client: ClientId,
    /// Receives the connections that a login replaces.
    pub(super) replaced: &'a mut Vec<ClientId>,
}

impl LoginPolicy for LoginAdmission<'_> {
    fn admit(&mut self, identity: &LoginIdentity) -> Result<u16, LoginStatus> {
        let index = self.client as usize;
        let session = self.admission.login(
            index,
            &identity.initiator,
            identity.target.as_deref(),
            identity.isid,
            identity.tsih,
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
