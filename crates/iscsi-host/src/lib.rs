//! The host behind iSCSI.
