//! What members and control service say to each other: one JSON object a line.
use crate::state::State;
use crate::{Millis, Units};
use serde::{Deserialize, Serialize};

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ToControl {
    /// Opens a connection, with the hash of the last trail line that the host has taken up.
    Hello { host: String, version: u64, last: String },
    /// The host acts on this version from now on.
    ActsOn { version: u64 },
    /// The host cannot act on this version; it goes on with the one before.
    Against { version: u64, why: String },
    /// Answers `Ask`: by volume, what is lent and what is wanted beyond the even part.
    Report { asked: Millis, sent: Millis, version: u64, volumes: Vec<(String, Units, Units)> },
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ToMember {
    /// A whole state, with the hash of the line that led to it: what the host has does not lead there.
    Whole {
        state: Box<State>,
        last: String,
    },
    /// The next line of the trail.
    Line {
        text: String,
    },
    Ask {
        asked: Millis,
    },
    /// Answers a report: by volume, what may be used beyond the own part for a span from the report on.
    Granted {
        sent: Millis,
        span: Millis,
        volumes: Vec<(String, Units)>,
    },
}
