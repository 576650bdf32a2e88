//! Scripts that come with the testbed.

/// Script with its name.
#[derive(Clone, Copy, Debug)]
struct Script {
    /// Name of the script on the command line.
    name: &'static str,
    /// Text of the script.
    text: &'static str,
}

/// Script of a day with surges, over which placements are compared.
pub const DUE_DATE: &str = include_str!("../scripts/due-date.script");

/// Scripts for hosts behind iSCSI.
const REHEARSALS: [Script; 5] = [
    Script {
        name: "bad-day",
        text: include_str!("../scripts/bad-day.script"),
    },
    Script {
        name: "month-end",
        text: include_str!("../scripts/month-end.script"),
    },
    Script {
        name: "tariff-night",
        text: include_str!("../scripts/tariff-night.script"),
    },
    Script {
        name: "demo",
        text: include_str!("../scripts/demo.script"),
    },
    Script {
        name: "short",
        text: include_str!("../scripts/short.script"),
    },
];

/// Scripts for fleets.
const FLEETS: [Script; 3] = [
    Script {
        name: "cold-start",
        text: include_str!("../scripts/cold-start.fleet"),
    },
    Script {
        name: "cold-overload",
        text: include_str!("../scripts/cold-overload.fleet"),
    },
    Script {
        name: "cold-sum",
        text: include_str!("../scripts/cold-sum.fleet"),
    },
];

/// Returns the text of a script for hosts behind iSCSI; none if no script has this name.
pub fn rehearsal(name: &str) -> Option<&'static str> {
    text_of(&REHEARSALS, name)
}

/// Returns the text of a script for a fleet; none if no script has this name.
pub fn fleet(name: &str) -> Option<&'static str> {
    text_of(&FLEETS, name)
}

fn text_of(scripts: &[Script], name: &str) -> Option<&'static str> {
    scripts
        .iter()
        .find(|script| script.name == name)
        .map(|script| script.text)
}
